package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// The sizes that the pages name: of a partition, above which its oldest records expire, and of all records, from which on appends are
// refused with 507. Nothing expires by its age within the time of a script.
const (
	partitionBytes = 200 << 20
	storeBytes     = 400 << 20
)

// partition is one partition of a topic; first is the offset of its oldest record.
type partition struct {
	records [][]byte
	first   int64
	bytes   int
}

func (p *partition) end() int64 { return p.first + int64(len(p.records)) }

// store is the platform's metadata store as PROTOCOL.md describes it: a log with keyed topics.
type store struct {
	mu    sync.Mutex
	parts map[string]*partition
	// bytes is the size of all records, and refused the number of appends that got 507.
	bytes, refused int
	changed        chan struct{}
	// appended counts the bytes that were appended to each partition.
	appended map[string]int
	// filter, if it isn't nil, may take over a call: it returns true if it has dealt with it.
	filter func(w http.ResponseWriter, r *http.Request) bool
}

func newStore() *store {
	return &store{parts: map[string]*partition{}, appended: map[string]int{}, changed: make(chan struct{})}
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
	s.add(s.part("keyed."+topic, "0"), append(append([]byte{byte(len(key))}, key...), value...))
	s.notify()
}

// add appends a record; the lock is held.
func (s *store) add(p *partition, record []byte) {
	p.records, p.bytes, s.bytes = append(p.records, record), p.bytes+len(record), s.bytes+len(record)
	for p.bytes > partitionBytes {
		s.drop(p)
	}
}

// drop deletes the oldest record of a partition; the lock is held.
func (s *store) drop(p *partition) {
	p.bytes, s.bytes = p.bytes-len(p.records[0]), s.bytes-len(p.records[0])
	p.records, p.first = p.records[1:], p.first+1
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
		s.mu.Lock()
		for p, before := s.part(topic, part), query64(r, "before", 0); p.first < before && len(p.records) > 0; {
			s.drop(p)
		}
		s.mu.Unlock()
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
	if s.bytes >= storeBytes {
		s.refused++
		s.mu.Unlock()
		w.WriteHeader(http.StatusInsufficientStorage)
		return
	}
	offset := p.end()
	if at := query64(r, "at", -1); at >= 0 && at != offset {
		s.mu.Unlock()
		reply(w, http.StatusPreconditionFailed, map[string]any{"end": offset})
		return
	}
	for _, record := range records {
		s.add(p, record)
	}
	s.appended[topic+"/"+part] += total
	end := p.end()
	s.notify()
	s.mu.Unlock()
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
		end, first := p.end(), p.first
		var records [][]byte
		if from >= first && from < end {
			records = p.records[from-first:]
		}
		s.mu.Unlock()
		if from < first {
			reply(w, http.StatusGone, map[string]any{"first": first})
			return
		}
		if len(records) > 0 || over {
			data := binary.BigEndian.AppendUint64(nil, uint64(end))
			data = binary.BigEndian.AppendUint64(data, uint64(first))
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
	for i, record := range p.records {
		offset := p.first + int64(i)
		if len(record) < 1 || len(record) < 1+int(record[0]) {
			continue
		}
		size := 1 + int(record[0])
		newest[string(record[1:size])] = item{string(record[1:size]), record[size:], offset}
	}
	end := p.end()
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

// sizes returns the size of all records, the appends that got 507, and the bytes that were appended to each partition.
func (s *store) sizes() (size, refused int, appended map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bytes, s.refused, maps.Clone(s.appended)
}
