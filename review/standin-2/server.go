package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// server is a stand-in for a server of a service: a model engine if it has a model, otherwise a plain service.
type server struct {
	site    *site
	id      string
	service string
	zone    string
	address string
	models  []string
	slots   int
	// eventTime is the time between two events, events the length of a text and workTime that of a plain request.
	eventTime, workTime time.Duration

	mu       sync.Mutex
	state    string
	software string
	born     int64
	beats    int64
	version  map[string]int64
	accepted int64
	fence    int64
	busy     string
	http     *http.Server
	running  int
	// behave may answer a request in place of the server; it returns true if it has.
	behave func(s *server, w http.ResponseWriter, r *http.Request, body []byte) bool
}

func (s *server) start() {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if s.address != "" {
		listener, err = net.Listen("tcp", s.address)
	}
	check(err)
	s.address = listener.Addr().String()
	s.born = time.Now().UnixMilli()
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(listener) }()
	s.beat()
	go func(born int64) {
		for range time.Tick(1200 * time.Millisecond) {
			s.mu.Lock()
			gone := s.born != born
			s.mu.Unlock()
			if gone {
				return
			}
			s.beat()
		}
	}(s.born)
}

func (s *server) report() map[string]any {
	entry := map[string]any{"busy": s.busy != "", "sequence": s.accepted, "num_waiting": 0, "num_running": s.running, "born": s.born}
	if len(s.models) > 0 {
		entry["stage"] = "prefill_decode"
		entry["models"] = s.modelList()
	}
	return entry
}

func (s *server) modelList() []map[string]any {
	var models []map[string]any
	for _, name := range s.models {
		models = append(models, map[string]any{"name": name, "version": s.version[name], "adapters": []string{}})
	}
	return models
}

func (s *server) beat() {
	s.mu.Lock()
	s.beats++
	entry := map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": s.software, "slots": s.slots, "state": s.state,
		"cold_remaining_ms": 0, "sequence": s.beats, "born": s.born,
	}
	if len(s.models) > 0 {
		entry["stage"], entry["models"] = "prefill_decode", s.modelList()
	}
	s.mu.Unlock()
	s.site.store.put("keyed.servers", s.id, entry)
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("X-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/-/report":
		s.mu.Lock()
		report := s.report()
		s.mu.Unlock()
		writeJSON(w, http.StatusOK, report)
		return
	case "/-/order":
		s.order(w, body)
		return
	case "/healthz":
		w.Header().Set("X-Instance-Id", s.id)
		return
	}
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if s.behave != nil && s.behave(s, w, r, body) {
		return
	}
	s.mu.Lock()
	if s.busy != "" && s.busy == r.Header.Get("X-Model") || s.running >= s.slots+24 {
		s.mu.Unlock()
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.running++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
	}()
	s.site.recordRun(s.id, r, body)
	isComplete := false
	defer func() { s.site.recordEnd(s.id, id, isComplete) }()
	w.Header().Set("X-Server-Stamp", fmt.Sprintf("%s.%s", s.id, id))
	if len(s.models) > 0 {
		s.generate(w, r)
		isComplete = true
		return
	}
	select {
	case <-time.After(s.workTime):
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,%d", s.running, s.slots))
	fmt.Fprintf(w, "answer of %s to %s", s.id, id)
}

// eventsOf is the length of an item's text.
const eventsOf = 12

// eventData is the data of an event of an item, the same on each server.
func eventData(id string, number int) string { return fmt.Sprintf("%s piece %d", id, number) }

func (s *server) generate(w http.ResponseWriter, r *http.Request) {
	id, model := r.Header.Get("X-Request-Id"), r.Header.Get("X-Model")
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	s.mu.Lock()
	version := s.version[model]
	s.mu.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Weight-Versions", strconv.FormatInt(version, 10))
	flush := http.NewResponseController(w).Flush
	for number := after + 1; number <= eventsOf; number++ {
		select {
		case <-time.After(s.eventTime):
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
		s.mu.Lock()
		now := s.version[model]
		s.mu.Unlock()
		if now != version {
			version = now
			fmt.Fprintf(w, "x-weight-versions: %d\n", version)
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", number, eventData(id, number))
		if flush() != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

func (s *server) order(w http.ResponseWriter, body []byte) {
	var order struct {
		Operation, Model, Mode, Holder string
		Version                        int64
		Fence                          int64  `json:"fencing_token"`
		Expected                       *int64 `json:"expected"`
	}
	if json.Unmarshal(body, &order) != nil || order.Holder == "" || order.Fence == 0 || order.Operation != "version" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case order.Fence < s.fence:
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	case s.busy != "" || order.Expected != nil && *order.Expected != s.accepted:
		w.WriteHeader(http.StatusConflict)
		return
	}
	s.fence = order.Fence
	if s.version[order.Model] == order.Version {
		return
	}
	s.accepted++
	s.busy = order.Model
	time.AfterFunc(900*time.Millisecond, func() {
		s.mu.Lock()
		s.version[order.Model], s.busy = order.Version, ""
		s.mu.Unlock()
		s.beat()
	})
	w.WriteHeader(http.StatusAccepted)
}
