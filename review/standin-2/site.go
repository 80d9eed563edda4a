package main

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
		os.Exit(2)
	}
}

// site is a small deployment: the store, servers and the processes of the system, which run.sh starts and restarts.
type site struct {
	dir     string
	trouble bool
	store   *store
	nodes   []*node
	servers []*server
	record  *os.File
	started time.Time

	mu   sync.Mutex
	runs map[string][]string
	// ends has the end of each item's or request's last run, and completed those that a server has finished.
	ends      map[string]time.Time
	completed map[string]bool
}

// node is a process of the system.
type node struct {
	name, zone                string
	callers, ready, directory string
	peer                      string
}

func newSite(dir, record string, trouble bool) *site {
	file, err := os.Create(record)
	check(err)
	return &site{dir: dir, trouble: trouble, store: newStore(), record: file, started: time.Now(), runs: map[string][]string{},
		ends: map[string]time.Time{}, completed: map[string]bool{},
	}
}

// note writes a line to record.txt.
func (s *site) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f %s\n", time.Since(s.started).Seconds(), fmt.Sprintf(format, args...))
}

func (s *site) recordRun(server string, r *http.Request, _ []byte) {
	id := r.Header.Get("X-Request-Id")
	s.note("%s runs %s (Last-Event-Id %q)", server, id, r.Header.Get("Last-Event-Id"))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id] = append(s.runs[id], server)
}

// recordEnd records that a run has ended, and whether the server has finished it.
func (s *site) recordEnd(server, id string, isComplete bool) {
	if !isComplete {
		s.note("%s breaks off %s", server, id)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ends[id] = time.Now()
	s.completed[id] = s.completed[id] || isComplete
}

func (s *site) runsOf(id string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.runs[id]...)
}

// usedPorts are those that freeAddress has returned; they lie below the system's range for outgoing connections.
var usedPorts = map[int]bool{}

func freeAddress() string {
	for range 1000 {
		port := 20000 + rand.Intn(10000)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		listener, err := net.Listen("tcp", address)
		if err != nil || usedPorts[port] {
			continue
		}
		usedPorts[port] = true
		check(listener.Close())
		return address
	}
	check(errors.New("no free port"))
	return ""
}

var zones = []string{"ktm-a", "ktm-b", "ktm-c"}

// addNode writes the settings of a process, those of himdan-roll on deploy/settings.yaml; run.sh then starts it.
func (s *site) addNode(name string) *node {
	n := &node{
		name: name, zone: zones[len(s.nodes)%len(zones)], callers: freeAddress(), ready: freeAddress(), directory: freeAddress(),
	}
	n.peer = freeAddress()
	settings := []string{
		"Instance: " + name, "DataCentre: " + n.zone, "CallerAddress: " + n.callers, "ReadyAddress: " + n.ready,
		"DirectoryAddress: " + n.directory, "PeerAddress: " + n.peer, "StoreAddress: " + s.store.listen(name),
		"MemoryMegabytes: 244", "DrainTime: 8s", "LeaseTime: 3000ms", "CancelTime: 3000ms", "EndpointLeaveTime: 2000ms",
		"DesiredTime: 2000ms", "ReadsPerSecond: 2000", "WritesPerSecond: 600", "MaxRecordBytes: 262144", "MaxAppendBytes: 2097152",
	}
	check(os.WriteFile(filepath.Join(s.dir, name+".yaml"), []byte(strings.Join(settings, "\n")+"\n"), 0o600))
	s.nodes = append(s.nodes, n)
	return n
}

// pid returns the id of a node's process.
func (s *site) pid(n *node) int {
	data, err := os.ReadFile(filepath.Join(s.dir, n.name+".pid"))
	if err != nil {
		return 0
	}
	pid, _ := strconv.Atoi(strings.TrimSpace(string(data)))
	return pid
}

func (s *site) signal(n *node, signal syscall.Signal) {
	pid := s.pid(n)
	if pid == 0 {
		check(fmt.Errorf("no process of %s", n.name))
	}
	s.note("signal %v to %s", signal, n.name)
	_ = syscall.Kill(pid, signal)
}

// launch makes run.sh start the processes and waits until all are ready.
func (s *site) launch() {
	var names []string
	for _, n := range s.nodes {
		names = append(names, n.name)
	}
	check(os.WriteFile(filepath.Join(s.dir, "nodes.tmp"), []byte(strings.Join(names, "\n")+"\n"), 0o600))
	check(os.Rename(filepath.Join(s.dir, "nodes.tmp"), filepath.Join(s.dir, "nodes")))
	for _, n := range s.nodes {
		s.awaitReady(n, 40*time.Second)
	}
	s.note("all processes are ready")
}

func (s *site) awaitReady(n *node, limit time.Duration) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + n.ready + "/-/readyz")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
	}
	check(fmt.Errorf("%s isn't ready", n.name))
}

// addEngines adds model engines that serve one model, and addService plain servers.
func (s *site) addEngines(count int, service, model string) {
	for i := range count {
		e := &server{
			site: s, id: fmt.Sprintf("%s-%d", service, i), service: service, zone: zones[i%len(zones)], models: []string{model}, slots: 12,
			eventTime: 40 * time.Millisecond, state: "ready", software: "v1", version: map[string]int64{model: 1},
		}
		s.servers = append(s.servers, e)
		e.start()
	}
}

func (s *site) addService(count int, service string) {
	for i := range count {
		e := &server{
			site: s, id: fmt.Sprintf("%s-%d", service, i), service: service, zone: zones[i%len(zones)], slots: 6,
			workTime: 25 * time.Millisecond, state: "ready", software: "v1",
		}
		s.servers = append(s.servers, e)
		e.start()
	}
}

// desired is the desired state with a rollout route /r/ and further routes.
func desired(version int, routes ...map[string]any) map[string]any {
	rollout := map[string]any{
		"name": "roll", "host": "h.example", "path_prefix": "/r/", "kind": "rollout", "timeout_ms": 10000, "target_latency_ms": 400,
		"priority": 1, "service": "llm", "max_attempts": 3, "retention_s": 40.0, "result_deadline_ms": 7500, "single_version": false,
		"session_affinity": true, "resumable": true,
	}
	return map[string]any{
		"version": version, "routes": append([]map[string]any{rollout}, routes...),
		"services": []map[string]any{
			{"name": "records", "health_path": "/healthz", "max_connections": 100},
			{"name": "llm", "health_path": "/healthz", "max_connections": 150, "engine": map[string]any{
				"slots": 12, "kv_cache_tokens": 38617, "models": []map[string]any{{"name": "m"}},
			}},
			{"name": "app", "health_path": "/healthz", "max_connections": 100},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 33554432, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// lot returns the body of a batch submission with groups of items.
func lot(id string, items int, minVersion int) []byte {
	var list []map[string]any
	for i := range items {
		item := fmt.Sprintf("%s-i%d", id, i)
		list = append(list, map[string]any{
			"id": item, "path": "/r/x/" + item, "headers": map[string]string{"X-Model": "m", "X-Token-Usage": "32,100"},
			"body": base64.StdEncoding.EncodeToString([]byte("body of " + item)), "tokens": 132, "group": fmt.Sprintf("%s-g%d", id, i/4),
		})
	}
	data, err := json.Marshal(map[string]any{"step": 0, "model": "m", "min_version": minVersion, "group_count": items / 4, "items": list})
	check(err)
	return data
}

// answer is what a client gets; status 0 for a channel without an answer.
type answer struct {
	status     int
	body       []byte
	retryAfter time.Duration
}

// call makes one client attempt on a new channel.
func (s *site) call(method, address, path, id string, headers map[string]string, body []byte, limit time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	check(err)
	request.Host = "h.example"
	request.Close = true
	if id != "" {
		request.Header.Set("X-Request-Id", id)
	}
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := (&http.Transport{DisableCompression: true}).RoundTrip(request)
	if err != nil {
		return answer{}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{}
	}
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	return answer{response.StatusCode, data, time.Duration(seconds * float64(time.Second))}
}

func batchID(round, i int) string { return fmt.Sprintf("lot-%d-%d", round, i) }

func itemID(lot string, i int) string { return fmt.Sprintf("%s-i%d", lot, i) }
