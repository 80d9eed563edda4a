package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

const host = "review.example"

var zones = []string{"ktm-a", "ktm-b", "ktm-c"}

// node is a process of the system; run.sh starts it with the settings file that the site writes.
type node struct {
	name, zone                                 string
	front, ready, directory, metrics, peerAddr string
}

// site is a small deployment: the platform's store, servers, and the settings of the nodes.
type site struct {
	directory string
	record    *record
	store     *store
	nodes     []*node
	servers   []*server
	version   int64
	random    func(n int) int
}

// record writes record.txt.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
	lines   [][]string
	times   []time.Duration
}

// line writes a line with the time since the start, the kind of event and pairs of names and values.
func (r *record) line(kind string, pairs ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var text strings.Builder
	fmt.Fprintf(&text, "%9.3f %-12s", time.Since(r.started).Seconds(), kind)
	for i := 0; i+1 < len(pairs); i += 2 {
		if pairs[i+1] != "" {
			fmt.Fprintf(&text, " %s=%s", pairs[i], pairs[i+1])
		}
	}
	text.WriteByte('\n')
	_, _ = io.WriteString(r.file, text.String())
	r.lines, r.times = append(r.lines, append([]string{kind}, pairs...)), append(r.times, time.Since(r.started))
}

// nextPort is the next port to try for a node; cases that run at the same time begin at different ones. Ports from 32768 on may be in use for outgoing connections when the node starts.
var nextPort = 12000 + os.Getpid()*97%16000

// freeAddress returns a loopback address with a free port.
func freeAddress() (string, error) {
	for range 1000 {
		address := fmt.Sprintf("127.0.0.1:%d", nextPort)
		nextPort++
		if listener, err := net.Listen("tcp", address); err == nil {
			return address, listener.Close()
		}
	}
	return "", errors.New("no free port")
}

// newSite starts the store with a listener for each node and writes the settings of the nodes.
func newSite(directory, recordPath string, nodes int, memoryMB []int) (*site, error) {
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	s := &site{directory: directory, record: &record{file: file, started: time.Now()}, store: newStore(), version: 1}
	for i := range nodes {
		n := &node{name: fmt.Sprintf("front-%d", i), zone: zones[i%len(zones)]}
		for _, address := range []*string{&n.front, &n.ready, &n.directory, &n.metrics, &n.peerAddr} {
			if *address, err = freeAddress(); err != nil {
				return nil, err
			}
		}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		go func() { _ = (&http.Server{Handler: s.store.handler(i)}).Serve(listener) }()
		// The fields and values of deploy/settings.yaml as the platform fills them in for the site himdan-roll.
		settings := fmt.Sprintf(`Instance: %q
DataCentre: %q
CallerAddress: %q
ReadyAddress: %q
DirectoryAddress: %q
MetricsAddress: %q
PeerAddress: %q
StoreAddress: %q
MemoryMegabytes: %d
DrainTime: 8s
LeaseTime: 3000ms
ReadsPerSecond: 2000
WritesPerSecond: 600
MaxRecordBytes: 262144
MaxAppendBytes: 2097152
`, n.name, n.zone, n.front, n.ready, n.directory, n.metrics, n.peerAddr, listener.Addr(), memoryMB[i%len(memoryMB)])
		if err := os.WriteFile(filepath.Join(directory, n.name+".yaml"), []byte(settings), 0o644); err != nil {
			return nil, err
		}
		s.nodes = append(s.nodes, n)
	}
	return s, nil
}

// addServer starts a server.
func (s *site) addServer(e *server) error {
	e.site = s
	s.servers = append(s.servers, e)
	return e.start()
}

// putConfig writes a desired state with these routes and services; its return is the ack.
func (s *site) putConfig(routes, services []map[string]any) {
	s.version += 3
	s.store.put("op", "config", map[string]any{
		"version": s.version, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 33554432, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	s.record.line("config-ack", "version", fmt.Sprint(s.version))
}

// awaitNodes tells run.sh to start the nodes and waits until all are ready.
func (s *site) awaitNodes(limit time.Duration) error {
	if err := os.WriteFile(filepath.Join(s.directory, "start"), nil, 0o644); err != nil {
		return err
	}
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, n := range s.nodes {
			if response, err := client.Get("http://" + n.ready + "/-/readyz"); err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(s.nodes) {
			s.record.line("ready", "nodes", fmt.Sprint(ready))
			return nil
		}
		if time.Now().After(end) {
			return errors.New("the nodes aren't ready in time")
		}
	}
}

// answer is what a client gets: a status, or no answer.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
}

func (a answer) String() string {
	if a.err != nil {
		return "none(" + strings.ReplaceAll(a.err.Error(), " ", "_") + ")"
	}
	return fmt.Sprint(a.status)
}

// send sends a client's request over a client's channels.
func send(client *http.Client, address, method, target, id string, deadline time.Duration, header map[string]string, body []byte) answer {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address, strings.NewReader(string(body)))
	if err != nil {
		return answer{err: err}
	}
	request.URL.Opaque = target
	request.Host = host
	if method == http.MethodPost {
		// Without GetBody the client's own transport doesn't send a request twice.
		request.GetBody = nil
	}
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	if id != "" {
		request.Header.Set("X-Request-Id", id)
	}
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return answer{response.StatusCode, response.Header, data, err}
}

// newClient returns a client. A client without kept channels opens a new one for each request.
func newClient(keep bool) *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: !keep, DisableCompression: true, MaxIdleConnsPerHost: 4}}
}

// results is the answer to a request for the results of a batch submission.
type results struct {
	Total   int `json:"total"`
	Next    int `json:"next_token"`
	Results []struct {
		ID    string `json:"id"`
		State string `json:"state"`
		Text  string `json:"text"`
	} `json:"results"`
}

func decodeResults(data []byte) (results, error) {
	var decoded results
	err := json.Unmarshal(data, &decoded)
	return decoded, err
}
