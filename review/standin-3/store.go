package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// partition is one partition of a topic; nothing expires within the time of a script.
type partition struct {
	records [][]byte
}

// store is the platform's metadata store as PROTOCOL.md describes it: a log with keyed topics.
type store struct {
	mu      sync.Mutex
	parts   map[string]*partition
	changed chan struct{}
	// filter, if it isn't nil, may take over a call: it returns true if it has dealt with it.
	filter func(w http.ResponseWriter, r *http.Request) bool
	// onAppend, if it isn't nil, is called after each append, without the lock.
	onAppend func(topic string, records [][]byte)
}

func newStore() *store {
	return &store{parts: map[string]*partition{}, changed: make(chan struct{})}
}

func (s *store) part(topic, part string) *partition {
	name := topic + "/" + part
	if s.parts[name] == nil {
		s.parts[name] = &partition{}
	}
	return s.parts[name]
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a record under a key, as the operator, the trainers and the servers do.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part("keyed."+topic, "0")
	p.records = append(p.records, append(append([]byte{byte(len(key))}, key...), value...))
	s.notify()
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	filter := s.filter
	s.mu.Unlock()
	if filter != nil && filter(w, r) {
		return
	}
	query := r.URL.Query()
	topic, part := query.Get("topic"), query.Get("part")
	switch r.URL.Path {
	case "/-/log-append":
		s.appendRecords(w, r, topic, part)
	case "/-/log-read":
		s.read(w, r, topic, part)
	case "/-/log-newest":
		s.newest(w, r, topic)
	case "/-/log-trim":
		reply(w, http.StatusOK, map[string]any{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, status int, value any) {
	data, _ := json.Marshal(value)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) appendRecords(w http.ResponseWriter, r *http.Request, topic, part string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	var records [][]byte
	total := 0
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		if size > 262144 || size > len(body)-4 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		records, total = append(records, body[4:4+size]), total+size
		body = body[4+size:]
	}
	if total > 2097152 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(2*time.Millisecond + time.Duration(total)*time.Second/(20<<20))
	s.mu.Lock()
	p := s.part(topic, part)
	offset := int64(len(p.records))
	if at := query64(r, "at", -1); at >= 0 && at != offset {
		s.mu.Unlock()
		reply(w, http.StatusPreconditionFailed, map[string]any{"end": offset})
		return
	}
	p.records = append(p.records, records...)
	end, onAppend := int64(len(p.records)), s.onAppend
	s.notify()
	s.mu.Unlock()
	if onAppend != nil {
		onAppend(topic, records)
	}
	reply(w, http.StatusOK, map[string]any{"offset": offset, "end": end})
}

func query64(r *http.Request, name string, missing int64) int64 {
	number, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return missing
	}
	return number
}

func (s *store) read(w http.ResponseWriter, r *http.Request, topic, part string) {
	from, maxBytes := query64(r, "from", 0), query64(r, "max_kb", 1024)<<10
	timer := time.NewTimer(time.Duration(query64(r, "wait_ms", 0)) * time.Millisecond)
	defer timer.Stop()
	for over := false; ; {
		s.mu.Lock()
		p, changed := s.part(topic, part), s.changed
		end := int64(len(p.records))
		var records [][]byte
		if from < end {
			records = p.records[from:]
		}
		s.mu.Unlock()
		if len(records) > 0 || over {
			data := binary.BigEndian.AppendUint64(nil, uint64(end))
			data = binary.BigEndian.AppendUint64(data, 0)
			for i, record := range records {
				if i > 0 && int64(len(data)+len(record)) > maxBytes {
					break
				}
				data = append(binary.BigEndian.AppendUint32(data, uint32(len(record))), record...)
			}
			_, _ = w.Write(data)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) newest(w http.ResponseWriter, r *http.Request, topic string) {
	s.mu.Lock()
	p := s.part(topic, "0")
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int64  `json:"offset"`
	}
	newest := map[string]item{}
	for offset, record := range p.records {
		if len(record) < 1 || len(record) < 1+int(record[0]) {
			continue
		}
		size := 1 + int(record[0])
		newest[string(record[1:size])] = item{string(record[1:size]), record[size:], int64(offset)}
	}
	end := int64(len(p.records))
	s.mu.Unlock()
	items := []item{}
	after := r.URL.Query().Get("after")
	for _, i := range newest {
		if len(i.Value) > 0 && i.Key > after {
			items = append(items, i)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > 500
	reply(w, http.StatusOK, map[string]any{"items": items[:min(len(items), 500)], "has_more": more, "end": end})
}
