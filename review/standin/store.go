package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// answerTime is how long the store takes for an answer.
const answerTime = 4 * time.Millisecond

// store emulates the platform's metadata store: a log with topics, partitions and keyed topics. It has one listener for each node, so
// that it can tell the nodes apart.
type store struct {
	mu      sync.Mutex
	logs    map[string]*topicLog
	changed chan struct{}
	// fault is called for each call of a node; it may answer the call itself and return true.
	fault func(node int, w http.ResponseWriter, r *http.Request) bool
}

// topicLog holds the records of one partition.
type topicLog struct {
	first   int64
	records [][]byte
}

func (l *topicLog) end() int64 { return l.first + int64(len(l.records)) }

func newStore() *store {
	return &store{logs: map[string]*topicLog{}, changed: make(chan struct{})}
}

func (s *store) log(topic, part string) *topicLog {
	name := topic + "/" + part
	if s.logs[name] == nil {
		s.logs[name] = &topicLog{}
	}
	return s.logs[name]
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a keyed record, as the operator, trainers and servers do; its return is the ack.
func (s *store) put(topic, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	log := s.log("keyed."+topic, "0")
	log.records = append(log.records, append(append([]byte{byte(len(key))}, key...), data...))
	s.notify()
}

// remove writes a keyed record without a value.
func (s *store) remove(topic, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	log := s.log("keyed."+topic, "0")
	log.records = append(log.records, append([]byte{byte(len(key))}, key...))
	s.notify()
}

// handler serves the calls of one node.
func (s *store) handler(node int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.fault != nil && s.fault(node, w, r) {
			return
		}
		topic, part := r.URL.Query().Get("topic"), r.URL.Query().Get("part")
		switch r.URL.Path {
		case "/-/log-append":
			body, err := io.ReadAll(r.Body)
			if err != nil {
				panic(http.ErrAbortHandler)
			}
			time.Sleep(answerTime)
			status, answer := s.append(topic, part, r.URL.Query().Get("at"), body)
			writeJSON(w, status, answer)
		case "/-/log-read":
			s.read(w, r, topic, part)
		case "/-/log-newest":
			time.Sleep(answerTime)
			s.newest(w, r, topic)
		case "/-/log-trim":
			s.trim(w, r, topic, part)
		default:
			w.WriteHeader(http.StatusNotFound)
		}
	})
}

// append appends the records of a call, all or nothing.
func (s *store) append(topic, part, at string, body []byte) (int, map[string]int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	log := s.log(topic, part)
	offset := log.end()
	if at != "" && at != strconv.FormatInt(offset, 10) {
		return http.StatusPreconditionFailed, map[string]int64{"end": offset}
	}
	for len(body) >= 4 {
		size := 4 + int(binary.BigEndian.Uint32(body))
		log.records = append(log.records, slices.Clone(body[4:size]))
		body = body[size:]
	}
	s.notify()
	return http.StatusOK, map[string]int64{"offset": offset, "end": log.end()}
}

func (s *store) read(w http.ResponseWriter, r *http.Request, topic, part string) {
	query := r.URL.Query()
	from, _ := strconv.ParseInt(query.Get("from"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	maxKB, err := strconv.Atoi(query.Get("max_kb"))
	if err != nil {
		maxKB = 1024
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		log, changed := s.log(topic, part), s.changed
		first, end := log.first, log.end()
		var records [][]byte
		if from >= first && from < end {
			records = log.records[from-first:]
		}
		s.mu.Unlock()
		switch {
		case from < first:
			writeJSON(w, http.StatusGone, map[string]int64{"first": first})
			return
		case len(records) > 0:
			time.Sleep(answerTime)
			writeRecords(w, end, first, records, maxKB<<10)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeRecords(w, end, first, nil, 0)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeRecords(w http.ResponseWriter, end, first int64, records [][]byte, maxBytes int) {
	data := binary.BigEndian.AppendUint64(nil, uint64(end))
	data = binary.BigEndian.AppendUint64(data, uint64(first))
	for i, record := range records {
		if i > 0 && len(data)+len(record) > maxBytes {
			break
		}
		data = append(binary.BigEndian.AppendUint32(data, uint32(len(record))), record...)
	}
	_, _ = w.Write(data)
}

func (s *store) newest(w http.ResponseWriter, r *http.Request, topic string) {
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int64  `json:"offset"`
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	log := s.log(topic, "0")
	newest := map[string]item{}
	for i, record := range log.records {
		size := 1 + int(record[0])
		key := string(record[1:size])
		newest[key] = item{key, record[size:], log.first + int64(i)}
	}
	items, hasMore, after := []item{}, false, r.URL.Query().Get("after")
	for _, key := range slices.Sorted(maps.Keys(newest)) {
		if key <= after && after != "" || len(newest[key].Value) == 0 {
			continue
		}
		if len(items) == 500 {
			hasMore = true
			break
		}
		items = append(items, newest[key])
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": hasMore, "end": log.end()})
}

func (s *store) trim(w http.ResponseWriter, r *http.Request, topic, part string) {
	before, _ := strconv.ParseInt(r.URL.Query().Get("before"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	log := s.log(topic, part)
	if count := min(before, log.end()) - log.first; count > 0 {
		log.records, log.first = log.records[count:], log.first+count
	}
	writeJSON(w, http.StatusOK, map[string]int64{})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
