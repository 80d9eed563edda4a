package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store: topics with partitions, appends, long-polling reads and keyed topics.
type store struct {
	mu      sync.Mutex
	logs    map[string]*topicLog
	changed chan struct{}
	// intercept decides about one call of a machine before it is executed; nil for a sound store.
	intercept func(call storeCall) verdict
	delay     time.Duration
	// writes and lost count the append calls that reached the store, and those whose answer was lost.
	writes, lost int
}

type topicLog struct {
	records [][]byte
	first   int
}

// storeCall is a call as the interceptor sees it.
type storeCall struct {
	Machine string
	Path    string
	Topic   string
	Part    int
	Body    []byte
}

// verdict is what happens to a call. At most one field is set.
type verdict struct {
	// Status refuses the call without effect.
	Status int
	// Lose executes the call after LoseDelay and never answers it.
	Lose      bool
	LoseDelay time.Duration
	// Silent neither executes nor answers the call.
	Silent bool
	// Reset resets the channel without executing the call.
	Reset bool
	// Delay delays the execution.
	Delay time.Duration
}

func newStore() *store {
	return &store{logs: map[string]*topicLog{}, changed: make(chan struct{}), delay: 2 * time.Millisecond}
}

// listen serves one machine on an address of its own, so that the store can tell machines apart.
func (s *store) listen(machine string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	go func() {
		_ = (&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(machine, w, r) })}).Serve(listener)
	}()
	return listener.Addr().String()
}

func (s *store) log(topic string, part int) *topicLog {
	name := topic + "/" + strconv.Itoa(part)
	if s.logs[name] == nil {
		s.logs[name] = &topicLog{}
	}
	return s.logs[name]
}

// append adds records; the lock is held.
func (s *store) append(topic string, part int, records [][]byte) int {
	l := s.log(topic, part)
	offset := l.first + len(l.records)
	l.records = append(l.records, records...)
	close(s.changed)
	s.changed = make(chan struct{})
	return offset
}

// put writes a record of a keyed topic, as the operator and servers do.
func (s *store) put(topic, key string, value any) {
	data, err := json.Marshal(value)
	check(err)
	if value == nil {
		data = nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(topic, 0, [][]byte{append(append([]byte{byte(len(key))}, key...), data...)})
}

func (s *store) serve(machine string, w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	query := r.URL.Query()
	part, _ := strconv.Atoi(query.Get("part"))
	topic := query.Get("topic")
	var v verdict
	s.mu.Lock()
	intercept := s.intercept
	s.mu.Unlock()
	if intercept != nil {
		v = intercept(storeCall{machine, r.URL.Path, topic, part, body})
	}
	isAppend := r.URL.Path == "/-/log-append"
	switch {
	case v.Status != 0:
		w.WriteHeader(v.Status)
		return
	case v.Reset:
		hijackAndReset(w)
		return
	case v.Silent:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case v.Lose && isAppend:
		s.mu.Lock()
		s.writes, s.lost = s.writes+1, s.lost+1
		s.mu.Unlock()
		time.AfterFunc(v.LoseDelay, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.execute(topic, part, query.Get("at"), body)
		})
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	time.Sleep(s.delay + v.Delay)
	switch r.URL.Path {
	case "/-/log-append":
		s.mu.Lock()
		s.writes++
		status, answer := s.execute(topic, part, query.Get("at"), body)
		s.mu.Unlock()
		writeJSON(w, status, answer)
	case "/-/log-read":
		s.read(w, r, topic, part)
	case "/-/log-newest":
		s.newest(w, topic, query.Get("after"))
	case "/-/log-trim":
		before, _ := strconv.Atoi(query.Get("before"))
		s.mu.Lock()
		if l := s.log(topic, part); before > l.first {
			count := min(before-l.first, len(l.records))
			l.records, l.first = l.records[count:], l.first+count
		}
		s.mu.Unlock()
		writeJSON(w, http.StatusOK, map[string]any{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// execute appends the records of a body if the condition holds; the lock is held.
func (s *store) execute(topic string, part int, at string, body []byte) (int, map[string]any) {
	l := s.log(topic, part)
	end := l.first + len(l.records)
	if at != "" && at != strconv.Itoa(end) {
		return http.StatusPreconditionFailed, map[string]any{"end": end}
	}
	var records [][]byte
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		if size > len(body)-4 {
			return http.StatusBadRequest, map[string]any{}
		}
		records = append(records, append([]byte(nil), body[4:4+size]...))
		body = body[4+size:]
	}
	offset := s.append(topic, part, records)
	return http.StatusOK, map[string]any{"offset": offset, "end": offset + len(records)}
}

func (s *store) read(w http.ResponseWriter, r *http.Request, topic string, part int) {
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	limit, _ := strconv.Atoi(r.URL.Query().Get("max_kb"))
	if limit == 0 {
		limit = 1024
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		l, changed := s.log(topic, part), s.changed
		first, end := l.first, l.first+len(l.records)
		var records [][]byte
		if from >= first && from < end {
			records = l.records[from-first:]
		}
		s.mu.Unlock()
		if from < first {
			writeJSON(w, http.StatusGone, map[string]any{"first": first})
			return
		}
		if len(records) == 0 && wait > 0 {
			select {
			case <-changed:
				continue
			case <-timer.C:
				wait = 0
				continue
			case <-r.Context().Done():
				return
			}
		}
		data := binary.BigEndian.AppendUint64(nil, uint64(end))
		data = binary.BigEndian.AppendUint64(data, uint64(first))
		for i, record := range records {
			if i > 0 && len(data)+len(record) > limit<<10 {
				break
			}
			data = binary.BigEndian.AppendUint32(data, uint32(len(record)))
			data = append(data, record...)
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(data)))
		_, _ = w.Write(data)
		return
	}
}

func (s *store) newest(w http.ResponseWriter, topic, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.log(topic, 0)
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	newest := map[string]item{}
	for i, record := range l.records {
		key := string(record[1 : 1+int(record[0])])
		value := record[1+int(record[0]):]
		if len(value) == 0 {
			delete(newest, key)
			continue
		}
		newest[key] = item{key, base64.StdEncoding.EncodeToString(value), l.first + i}
	}
	items := []item{}
	for key, it := range newest {
		if key > after {
			items = append(items, it)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	hasMore := len(items) > 500
	items = items[:min(500, len(items))]
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": hasMore, "end": l.first + len(l.records)})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	data, err := json.Marshal(value)
	check(err)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func hijackAndReset(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// hasBytes reports whether a record body contains a text, for interceptors.
func hasBytes(body []byte, text string) bool { return strings.Contains(string(body), text) }
