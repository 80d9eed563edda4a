package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// server emulates a server of the platform: a model engine, or a server of a plain service when it has no models.
type server struct {
	site    *site
	id      string
	service string
	zone    string
	slots   int
	models  []string
	address string
	// events returns the number of events of an item, and interval is the time between two of them.
	events   func(item string) int
	interval time.Duration
	born     int64
	// loseAnswer reports whether the answer of a request that has run is lost: its channel is reset.
	loseAnswer func(id string) bool
	// workTime returns how long a plain request takes.
	workTime func(id string) time.Duration

	// crashes reports whether a request crashes the server when it begins to run.
	crashes func(r *http.Request) bool
	// downTime is how long the server is down after a crash.
	downTime time.Duration
	boot     int

	mu      sync.Mutex
	running int
	// versions are the weight versions of the models; a model that isn't listed has version 1. loading is the model that is being
	// loaded, orders the number of accepted orders, and fence the highest fence number.
	versions map[string]int64
	loading  string
	orders   int64
	fence    int64
	draining bool
	// listener and conns are those of the current process.
	listener net.Listener
	conns    map[net.Conn]bool
}

// entry returns the server's entry in the store.
func (e *server) entry() map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := "ready"
	if e.draining {
		state = "draining"
	}
	entry := map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": e.slots, "state": state,
		"cold_remaining_ms": 0, "born": e.born, "sequence": 1,
	}
	if models := e.modelList(); models != nil {
		entry["stage"], entry["models"] = "prefill_decode", models
	}
	return entry
}

// modelList returns the models with their versions; the caller holds e.mu.
func (e *server) modelList() []map[string]any {
	var models []map[string]any
	for _, name := range e.models {
		models = append(models, map[string]any{"name": name, "version": e.version(name), "adapters": []string{}})
	}
	return models
}

// version returns the version of a model; the caller holds e.mu.
func (e *server) version(name string) int64 { return max(1, e.versions[name]) }

// loadTime is how long a change of version takes.
const loadTime = 900 * time.Millisecond

// order handles an order to load a version, after the runs or under them, as its mode says.
func (e *server) order(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Model    string `json:"model"`
		Version  int64  `json:"version"`
		Mode     string `json:"mode"`
		Holder   string `json:"holder"`
		Fence    int64  `json:"fencing_token"`
		Expected *int64 `json:"expected"`
	}
	if json.NewDecoder(r.Body).Decode(&order) != nil || order.Holder == "" || order.Fence <= 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	status := http.StatusAccepted
	switch {
	case order.Fence < e.fence:
		status = http.StatusPreconditionFailed
	case e.version(order.Model) >= order.Version:
		status = http.StatusOK
	case e.loading != "" || order.Expected != nil && *order.Expected != e.orders:
		status = http.StatusConflict
	}
	e.site.record.line("order", "server", e.id, "model", order.Model, "version", fmt.Sprint(order.Version), "mode", order.Mode,
		"holder", order.Holder, "fence", fmt.Sprint(order.Fence), "answer", fmt.Sprint(status))
	w.WriteHeader(status)
	if status != http.StatusAccepted {
		return
	}
	e.fence, e.loading = order.Fence, order.Model
	e.orders++
	go func() {
		for order.Mode == "await" {
			e.mu.Lock()
			running := e.running
			e.mu.Unlock()
			if running == 0 {
				break
			}
			time.Sleep(5 * time.Millisecond)
		}
		time.Sleep(loadTime)
		e.mu.Lock()
		if e.versions == nil {
			e.versions = map[string]int64{}
		}
		e.versions[order.Model], e.loading = order.Version, ""
		e.mu.Unlock()
		e.site.store.put("servers", e.id, e.entry())
	}()
}

// leave drains the server: it reports that to the store, serves on for the drain time and a little longer, and exits.
func (e *server) leave(drainTime time.Duration) {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	e.site.store.put("servers", e.id, e.entry())
	e.site.record.line("draining", "server", e.id)
	time.AfterFunc(drainTime, func() {
		e.mu.Lock()
		conns := e.conns
		_ = e.listener.Close()
		e.mu.Unlock()
		for conn := range conns {
			_ = conn.Close()
		}
		e.site.store.remove("servers", e.id)
		e.site.record.line("left", "server", e.id)
	})
}

// start begins to serve on a loopback address and registers the server.
func (e *server) start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e.serve(listener)
	return nil
}

// serve begins a process of the server.
func (e *server) serve(listener net.Listener) {
	e.mu.Lock()
	e.address, e.born, e.listener, e.conns, e.running = listener.Addr().String(), time.Now().UnixMilli(), listener, map[net.Conn]bool{}, 0
	e.mu.Unlock()
	track := func(conn net.Conn, state http.ConnState) {
		e.mu.Lock()
		defer e.mu.Unlock()
		if state == http.StateClosed || state == http.StateHijacked {
			delete(e.conns, conn)
		} else if listener == e.listener {
			e.conns[conn] = true
		}
	}
	go func() { _ = (&http.Server{Handler: e, ConnState: track}).Serve(listener) }()
	e.site.store.put("servers", e.id, e.entry())
}

// crash ends the process of the server: it resets all channels and accepts no more. The server is back after downTime, with a new id at
// the same address. The entry of the process is removed after three ping intervals.
func (e *server) crash() {
	e.mu.Lock()
	id, address, conns := e.id, e.address, e.conns
	_ = e.listener.Close()
	e.conns = map[net.Conn]bool{}
	e.mu.Unlock()
	for conn := range conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	time.AfterFunc(3*pingInterval, func() { e.site.store.remove("servers", id) })
	time.AfterFunc(e.downTime, func() {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			e.site.record.line("restart-failed", "server", id)
			return
		}
		e.mu.Lock()
		e.boot++
		e.id = fmt.Sprintf("%s-%d", strings.SplitN(e.id, "+", 2)[0]+"+", e.boot)
		e.mu.Unlock()
		e.serve(listener)
		e.site.record.line("restarted", "server", e.id)
	})
}

// pingInterval is heartbeat_ms of the settings.
const pingInterval = 1200 * time.Millisecond

func (e *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get("X-Expect-Instance"); id != "" && id != e.id {
		w.Header().Set("X-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/-/report":
		e.mu.Lock()
		defer e.mu.Unlock()
		writeJSON(w, http.StatusOK, map[string]any{
			"stage": "prefill_decode", "models": e.modelList(), "busy": e.loading != "", "sequence": e.orders, "num_waiting": 0, "num_running": e.running,
			"kv_used": 0, "kv_total": 38617, "handles": 0, "born": e.born,
		})
		return
	case "/-/order":
		e.order(w, r)
		return
	case "/healthz":
		w.Header().Set("X-Instance-Id", e.id)
		return
	}
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if id == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	e.mu.Lock()
	if e.draining {
		w.Header().Set("Server-Leaving", "1")
		w.Header().Set("Connection", "close")
	}
	expected := r.Header.Get("X-Expect-Version")
	if e.models != nil && expected != "" && expected != fmt.Sprint(e.version(r.Header.Get("X-Model"))) {
		e.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if e.running >= 4*e.slots || e.loading != "" && e.loading == r.Header.Get("X-Model") {
		e.mu.Unlock()
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.running++
	load := fmt.Sprintf("%d,0,%d", e.running, e.slots)
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	e.site.record.line("run", "server", e.id, "id", id, "method", r.Method, "target", r.RequestURI, "after", r.Header.Get("Last-Event-Id"))
	if e.crashes != nil && e.crashes(r) {
		e.site.record.line("crashed", "server", e.id, "id", id)
		e.crash()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Server-Load", load)
	w.Header().Set("X-Server-Stamp", fmt.Sprintf("%s.%s", e.id, id))
	if e.models != nil {
		e.generate(w, r, id)
		return
	}
	if e.workTime != nil {
		time.Sleep(e.workTime(id))
	}
	if e.loseAnswer != nil && e.loseAnswer(id) {
		e.site.record.line("answer-lost", "server", e.id, "id", id)
		resetChannel(w)
		return
	}
	_, _ = fmt.Fprintf(w, "%s ran %s with %d bytes", e.id, id, len(body))
}

// resetChannel resets the channel of a request.
func resetChannel(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// eventInterval is the time between two events of an engine.
const eventInterval = 15 * time.Millisecond

// eventCount returns the number of events of an item.
func eventCount(item string) int { return 4 + int(hashOf(item)%12) }

func hashOf(text string) uint32 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(text))
	return hash.Sum32()
}

// generate sends the events of an item after the one in Last-Event-Id.
func (e *server) generate(w http.ResponseWriter, r *http.Request, item string) {
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	name := r.Header.Get("X-Model")
	e.mu.Lock()
	version := e.version(name)
	e.mu.Unlock()
	w.Header().Set("X-Weight-Versions", fmt.Sprint(version))
	count, interval := eventCount(item), eventInterval
	if e.events != nil {
		count, interval = e.events(item), e.interval
	}
	control := http.NewResponseController(w)
	for number := after + 1; number <= count; number++ {
		time.Sleep(interval)
		e.mu.Lock()
		current := e.version(name)
		e.mu.Unlock()
		line := ""
		if current != version {
			version, line = current, fmt.Sprintf("x-weight-versions: %d\n", current)
		}
		if _, err := fmt.Fprintf(w, "%sid: %d\ndata: %s.%d\n\n", line, number, item, number); err != nil || control.Flush() != nil {
			e.site.record.line("cut", "server", e.id, "id", item, "event", fmt.Sprint(number))
			return
		}
	}
	e.site.record.line("finished", "server", e.id, "id", item, "version", fmt.Sprint(version))
}
