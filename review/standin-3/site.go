package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	host       = "ficu95.example"
	lotPrefix  = "/pufi791/"
	safePrefix = "/lohu930/"
)

// models3 are the models of the model servers.
var models3 = []string{"daka510000", "rada7437b5"}

// site is a small deployment on loopback addresses.
type site struct {
	directory string
	record    *os.File
	memoryMB  int
	store     *store
	servers   []*server
	instances []*instance

	mu sync.Mutex
	// runs holds the servers that began to work on a request, lastAt when one last did or ended, and finished the items that one finished.
	runs     map[string][]string
	lastAt   map[string]time.Time
	finished map[string]bool
}

// instance is a process of the program.
type instance struct {
	site      *site
	name      string
	zone      string
	settings  string
	addresses map[string]string

	mu      sync.Mutex
	process *os.Process
	// ended counts the processes that ended without a signal of this script, and killed those that the platform killed for their memory.
	ended, killed int
	stopping      bool
	peakKB        int
}

func fatal(format string, values ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", values...)
	if current != nil {
		current.stop()
		_ = os.RemoveAll(current.directory)
	}
	os.Exit(2)
}

var current *site

// logf writes a line to the record.
func (s *site) logf(format string, values ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	line := fmt.Sprintf(format, values...)
	fmt.Fprintf(s.record, "%s %s\n", time.Now().UTC().Format("15:04:05.000"), line)
}

// ran notes that a server began to work on a request.
func (s *site) ran(server, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id] = append(s.runs[id], server)
	s.lastAt[id] = time.Now()
}

// maxLoggedRuns bounds the lines about runs in the record.
const maxLoggedRuns = 1000

// logRuns writes what the servers have run to the record.
func (s *site) logRuns() {
	s.mu.Lock()
	var lines []string
	for id, servers := range s.runs {
		state := "not finished"
		if s.finished[id] {
			state = "finished"
		}
		lines = append(lines, fmt.Sprintf("run %s at %s, %s", id, strings.Join(servers, " "), state))
	}
	s.mu.Unlock()
	slices.Sort(lines)
	for _, line := range lines[:min(len(lines), maxLoggedRuns)] {
		s.logf("%s", line)
	}
	s.logf("%d requests were run", len(lines))
}

// left notes that a request is at a server no more, and whether the server has finished it.
func (s *site) left(id string, finished bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastAt[id] = time.Now()
	s.finished[id] = s.finished[id] || finished
}

var lastPort = 7000

// freeAddress returns a free address of a loopback network that depends on the process, so that ports for outgoing connections and other
// runs don't collide with it.
func freeAddress() string {
	for range 100 {
		lastPort++
		address := fmt.Sprintf("127.%d.%d.1:%d", 10+os.Getpid()>>8%200, 1+os.Getpid()%250, lastPort)
		if listener, err := net.Listen("tcp", address); err == nil {
			_ = listener.Close()
			return address
		}
	}
	fatal("no free port")
	return ""
}

// newSite starts the store and the servers, and writes the settings of the instances.
func newSite(directory, record string, instances, engines, plain, memoryMB int, route map[string]any) *site {
	file, err := os.Create(record)
	if err != nil {
		fatal("record: %v", err)
	}
	s := &site{directory: directory, record: file, memoryMB: memoryMB, store: newStore(), runs: map[string][]string{}, lastAt: map[string]time.Time{}, finished: map[string]bool{}}
	current = s
	storeAddress := freeAddress()
	listener, err := net.Listen("tcp", storeAddress)
	if err != nil {
		fatal("store: %v", err)
	}
	go func() { _ = http.Serve(listener, s.store) }()
	zones := []string{"ktm-a", "ktm-b", "ktm-c"}
	born := time.Now().UnixMilli()
	for i := range engines + plain {
		v := &server{site: s, id: fmt.Sprintf("i-%08x", 0x7f3a0000+i), service: "huvo11a", zone: zones[i%3], address: freeAddress(), born: born}
		if i < engines {
			v.versions = map[string]int64{models3[0]: 1, models3[1]: 1}
		} else {
			v.service = "wuno96b"
		}
		s.servers = append(s.servers, v)
	}
	lot := map[string]any{
		"name": "r-lot", "host": host, "path_prefix": lotPrefix, "kind": "rollout", "timeout_ms": 10000, "target_latency_ms": 400, "priority": 1,
		"service": "huvo11a", "max_attempts": 3, "retention_s": 40.0, "result_deadline_ms": 7500, "single_version": false, "session_affinity": true, "resumable": true,
	}
	safe := map[string]any{
		"name": "r-safe", "host": host, "path_prefix": safePrefix, "kind": "safe", "timeout_ms": 1500, "target_latency_ms": 150, "priority": 2,
		"service": "wuno96b", "max_attempts": 2,
	}
	for name, value := range route {
		safe[name] = value
	}
	config, _ := json.Marshal(map[string]any{
		"version": 7, "routes": []any{lot, safe},
		"services": []any{
			map[string]any{"name": "huvo11a", "health_path": "/healthz", "max_connections": 150, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 12, "kv_cache_tokens": 38617, "kv_token_bytes": 35136, "link_mbps": 5900000.0, "models": []any{map[string]any{"name": models3[0]}, map[string]any{"name": models3[1]}},
			}},
			map[string]any{"name": "wuno96b", "health_path": "/healthz", "max_connections": 100, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 33554432, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	s.store.put("op", "config", config)
	for i := range instances {
		inst := &instance{site: s, name: fmt.Sprintf("front-%s-%d", zones[i%3], i), zone: zones[i%3], addresses: map[string]string{}}
		var text bytes.Buffer
		fmt.Fprintf(&text, "Instance: %q\nDataCentre: %q\n", inst.name, inst.zone)
		for _, key := range []string{"CallerAddress", "ReadyAddress", "DirectoryAddress", "MetricsAddress", "PeerAddress"} {
			inst.addresses[key] = freeAddress()
			fmt.Fprintf(&text, "%s: %q\n", key, inst.addresses[key])
		}
		fmt.Fprintf(&text, "StoreAddress: %q\nMemoryMegabytes: %d\nDrainTime: 8s\nLeaseTime: 3000ms\nCancelTime: 3000ms\n", storeAddress, memoryMB)
		fmt.Fprintf(&text, "EndpointLeaveTime: 2000ms\nDesiredTime: 2000ms\nReadsPerSecond: 2000\nWritesPerSecond: 600\nMaxRecordBytes: 262144\nMaxAppendBytes: 2097152\n")
		inst.settings = filepath.Join(directory, inst.name+".yaml")
		if err := os.WriteFile(inst.settings, text.Bytes(), 0o600); err != nil {
			fatal("settings: %v", err)
		}
		s.instances = append(s.instances, inst)
	}
	return s
}

// start starts the servers and the instances, and waits until these are ready.
func (s *site) start() {
	for _, v := range s.servers {
		v.start()
	}
	for _, inst := range s.instances {
		inst.start()
	}
	for _, inst := range s.instances {
		if !inst.awaitReady(20 * time.Second) {
			fatal("%s isn't ready", inst.name)
		}
	}
	time.Sleep(2 * time.Second)
}

func (s *site) stop() {
	for _, inst := range s.instances {
		inst.mu.Lock()
		inst.stopping = true
		if inst.process != nil {
			_ = inst.process.Signal(syscall.SIGCONT)
			_ = inst.process.Kill()
		}
		inst.mu.Unlock()
	}
	time.Sleep(200 * time.Millisecond)
}

func (inst *instance) start() {
	log, err := os.OpenFile(filepath.Join(inst.site.directory, inst.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fatal("log: %v", err)
	}
	defer func() { _ = log.Close() }()
	inst.mu.Lock()
	defer inst.mu.Unlock()
	if inst.stopping {
		return
	}
	process, err := os.StartProcess(program(), []string{"target/jujubepier", "serve"}, &os.ProcAttr{
		Env:   []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "JUJUBEPIER_BOOT=" + inst.settings},
		Files: []*os.File{nil, log, log}, Sys: &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL},
	})
	if err != nil {
		fatal("start: %v", err)
	}
	inst.process = process
	go inst.watch(process)
}

// watch does what the platform does: it kills a process that takes more than the machine's memory, and starts one that has ended again.
func (inst *instance) watch(process *os.Process) {
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(5 * time.Millisecond):
			}
			kb := residentKB(process.Pid)
			inst.mu.Lock()
			inst.peakKB = max(inst.peakKB, kb)
			over := kb > inst.site.memoryMB<<10
			if over {
				inst.killed++
			}
			inst.mu.Unlock()
			if over {
				inst.site.logf("%s takes %d KB of its %d MB: the platform kills it", inst.name, kb, inst.site.memoryMB)
				_ = process.Kill()
				return
			}
		}
	}()
	state, _ := process.Wait()
	close(done)
	inst.mu.Lock()
	stopping := inst.stopping
	if !stopping {
		inst.ended++
	}
	inst.mu.Unlock()
	if !stopping {
		inst.site.logf("%s has ended: %v", inst.name, state)
		time.Sleep(300 * time.Millisecond)
		inst.start()
	}
}

// residentKB returns the memory that a process has of its own; the pages of the program's file don't count.
func residentKB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if strings.HasPrefix(line, "RssAnon:") {
			kb, _ := strconv.Atoi(strings.Fields(line)[1])
			return kb
		}
	}
	return 0
}

var probe = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func (inst *instance) isReady() bool {
	response, err := probe.Get("http://" + inst.addresses["ReadyAddress"] + "/-/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (inst *instance) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if inst.isReady() {
			return true
		}
	}
	return false
}

// client makes each call on a new channel, as PROTOCOL.md has it for the calls of batch submissions.
var client = &http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

// call sends a request to an instance and returns the status, 0 if there is no answer, and the body.
func (inst *instance) call(method, path, id string, header map[string]string, body []byte) (int, []byte) {
	request, err := http.NewRequest(method, "http://"+inst.addresses["CallerAddress"]+path, bytes.NewReader(body))
	if err != nil {
		fatal("request: %v", err)
	}
	request.Host = host
	if id != "" {
		request.Header.Set("X-Request-Id", id)
	}
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, []byte(err.Error())
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, []byte(err.Error())
	}
	return response.StatusCode, data
}

// result is a listed item.
type result struct {
	ID       string  `json:"id"`
	State    string  `json:"state"`
	Text     string  `json:"text"`
	Versions []int64 `json:"versions"`
}

type page struct {
	Total   int      `json:"total"`
	Next    int      `json:"next_token"`
	Results []result `json:"results"`
}

func (inst *instance) readLot(lot string, after int) (int, page) {
	status, body := inst.call(http.MethodGet, fmt.Sprintf("/-/lots/%s?after=%d", lot, after), "", map[string]string{"X-Wait-Ms": "1000"}, nil)
	var p page
	if status == http.StatusOK {
		if err := json.Unmarshal(body, &p); err != nil {
			return 0, p
		}
	}
	return status, p
}

// lotBody returns the body of a batch submission.
func lotBody(lot string, items int, body string) []byte {
	list := make([]map[string]any, items)
	for i := range list {
		id := itemID(lot, i)
		list[i] = map[string]any{
			"id": id, "path": lotPrefix + "3/" + id, "body": []byte(body), "tokens": 940, "group": fmt.Sprintf("g%s%d", lot, i/8),
			"headers": map[string]string{"X-Model": models3[0], "X-Token-Usage": "540,400", "X-Prompt-Prefix": fmt.Sprintf("9c2e41:300,%s:240", id)},
		}
	}
	data, _ := json.Marshal(map[string]any{"step": 0, "model": models3[0], "min_version": 1, "group_count": max(1, items/8), "items": list})
	return data
}

func itemID(lot string, number int) string { return fmt.Sprintf("%s%08x", lot[:8], number) }

// program is the program of the deploy file.
func program() string {
	if path := os.Getenv("PROGRAM"); path != "" {
		return path
	}
	return "target/jujubepier"
}
