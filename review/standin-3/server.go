package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// eventInterval is the time between two events of a run.
var eventInterval = 20 * time.Millisecond

const (
	loadTime    = 900 * time.Millisecond
	heartbeat   = 1200 * time.Millisecond
	engineSlots = 12
	plainSlots  = 6
)

// server is a sound server of a service: a model server if it has versions, else one of a plain service.
type server struct {
	site    *site
	id      string
	service string
	zone    string
	address string
	// before, if it isn't nil, may take over a request; it returns true if it has dealt with it.
	before func(w http.ResponseWriter, r *http.Request, body []byte) bool

	mu       sync.Mutex
	born     int64
	sequence int64
	orders   int64
	fence    int64
	versions map[string]int64
	loading  string
	running  int
	down     bool
}

func (v *server) entry(report bool) []byte {
	v.mu.Lock()
	defer v.mu.Unlock()
	slots := plainSlots
	if v.versions != nil {
		slots = engineSlots
	}
	entry := map[string]any{
		"service": v.service, "address": v.address, "zone": v.zone, "version": "v1", "slots": slots, "state": "ready",
		"born": v.born, "cold_remaining_ms": 0, "sequence": v.sequence,
	}
	if v.versions != nil {
		models := []map[string]any{}
		for _, name := range models3 {
			if version, ok := v.versions[name]; ok {
				models = append(models, map[string]any{"name": name, "version": version, "adapters": []string{}})
			}
		}
		entry["models"], entry["stage"] = models, "prefill_decode"
	}
	if report {
		entry["sequence"], entry["busy"] = v.orders, v.loading != ""
		entry["num_running"], entry["num_waiting"] = v.running, 0
		entry["kv_used"], entry["kv_total"], entry["handles"] = 0, 38617, 0
	}
	data, _ := json.Marshal(entry)
	return data
}

func (v *server) start() {
	listener, err := net.Listen("tcp", v.address)
	if err != nil {
		fatal("listen: %v", err)
	}
	go func() { _ = http.Serve(listener, v) }()
	go func() {
		for {
			v.mu.Lock()
			v.sequence++
			down := v.down
			v.mu.Unlock()
			if !down {
				v.site.store.put("servers", v.id, v.entry(false))
			}
			time.Sleep(heartbeat)
		}
	}()
}

func (v *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if id := r.Header.Get("X-Expect-Instance"); id != "" && id != v.id {
		w.Header().Set("X-Instance-Id", v.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if v.before != nil && v.before(w, r, body) {
		return
	}
	switch r.URL.Path {
	case "/-/report":
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(v.entry(true))
	case "/-/order":
		v.order(w, body)
	case "/healthz":
		w.Header().Set("X-Instance-Id", v.id)
	default:
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		if v.versions != nil {
			v.generate(w, r)
			return
		}
		v.answer(w, r, body)
	}
}

func stampOf(id string) string { return "3e1b.07.5a2.600.0." + id }

func (v *server) answer(w http.ResponseWriter, r *http.Request, body []byte) {
	id := r.Header.Get("X-Request-Id")
	v.site.ran(v.id, id)
	time.Sleep(25 * time.Millisecond)
	w.Header().Set("X-Server-Stamp", stampOf(id))
	w.Header().Set("X-Server-Load", fmt.Sprintf("1,0,%d", plainSlots))
	_, _ = w.Write(append([]byte("answer to "+id+" "), body...))
}

// pieces returns the number of events of an item.
func pieces(item string) int {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(item))
	return 8 + int(hash.Sum32()%16)
}

// piece returns the data of an event of an item.
func piece(item string, number int) string { return fmt.Sprintf("%s-event-%d", item, number) }

// text returns the whole output of an item.
func text(item string) string {
	all := ""
	for number := 1; number <= pieces(item); number++ {
		if number > 1 {
			all += "\n"
		}
		all += piece(item, number)
	}
	return all
}

func (v *server) generate(w http.ResponseWriter, r *http.Request) {
	item, name := r.Header.Get("X-Request-Id"), r.Header.Get("X-Model")
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	v.mu.Lock()
	if v.running >= 2*engineSlots {
		v.mu.Unlock()
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	v.running++
	version := v.versions[name]
	v.mu.Unlock()
	number := after + 1
	defer func() {
		v.mu.Lock()
		v.running--
		v.mu.Unlock()
		v.site.left(item, number > pieces(item))
	}()
	v.site.ran(v.id, item)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Server-Stamp", stampOf(item))
	w.Header().Set("X-Weight-Versions", strconv.FormatInt(version, 10))
	control := http.NewResponseController(w)
	for ; number <= pieces(item); number++ {
		time.Sleep(eventInterval)
		v.mu.Lock()
		current := v.versions[name]
		v.mu.Unlock()
		if current != version {
			version = current
			_, _ = fmt.Fprintf(w, "x-weight-versions: %d\n", version)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", number, piece(item, number)); err != nil || control.Flush() != nil {
			return
		}
	}
}

func (v *server) order(w http.ResponseWriter, body []byte) {
	var order struct {
		Model    string `json:"model"`
		Version  int64  `json:"version"`
		Holder   string `json:"holder"`
		Fence    int64  `json:"fencing_token"`
		Expected *int64 `json:"expected"`
	}
	if json.Unmarshal(body, &order) != nil || order.Holder == "" || order.Fence <= 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case order.Fence < v.fence:
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	case v.versions[order.Model] >= order.Version:
		v.fence = order.Fence
		return
	case v.loading != "" || order.Expected != nil && *order.Expected != v.orders:
		w.WriteHeader(http.StatusConflict)
		return
	}
	v.fence, v.loading = order.Fence, order.Model
	v.orders++
	time.AfterFunc(loadTime, func() {
		v.mu.Lock()
		v.versions[order.Model], v.loading = order.Version, ""
		v.mu.Unlock()
	})
	w.WriteHeader(http.StatusAccepted)
}
