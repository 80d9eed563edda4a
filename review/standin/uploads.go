package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// pid returns the id of a node's present process, which run-case.sh writes; 0 if there is none.
func (s *site) pid(n *node) int {
	data, err := os.ReadFile(filepath.Join(s.directory, n.name+".pid"))
	if err != nil {
		return 0
	}
	pid, _ := strconv.Atoi(strings.TrimSpace(string(data)))
	return pid
}

// memoryOf returns the anonymous resident memory of a process, in MB; the pages of its program file aren't counted.
func memoryOf(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "RssAnon:" {
			kilobytes, _ := strconv.Atoi(fields[1])
			return kilobytes >> 10
		}
	}
	return 0
}

// watchMemory kills, as the platform does, each process that exceeds the memory of its machine. It returns the highest memory of each
// node once stop is closed.
func (s *site) watchMemory(limits []int, stop <-chan struct{}) []int {
	peaks, killed := make([]int, len(s.nodes)), make([]int, len(s.nodes))
	for {
		for i, n := range s.nodes {
			pid := s.pid(n)
			if pid == 0 || pid == killed[i] {
				continue
			}
			memory := memoryOf(pid)
			peaks[i] = max(peaks[i], memory)
			if memory > limits[i] {
				killed[i] = pid
				_ = syscall.Kill(pid, syscall.SIGKILL)
				s.record.line("killed", "node", n.name, "memory-mb", fmt.Sprint(memory), "limit-mb", fmt.Sprint(limits[i]))
			}
		}
		select {
		case <-stop:
			return peaks
		case <-time.After(3 * time.Millisecond):
		}
	}
}

// pacedBody is a request body that a client sends at the rate of its link.
type pacedBody struct {
	left, sent int
	started    time.Time
}

func (b *pacedBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	if b.started.IsZero() {
		b.started = time.Now()
	}
	time.Sleep(time.Until(b.started.Add(time.Duration(float64(b.sent) / clientBytesPerSecond * float64(time.Second)))))
	n := min(len(p), b.left)
	b.left, b.sent = b.left-n, b.sent+n
	return n, nil
}

// clientBytesPerSecond is the rate of a client's link.
const clientBytesPerSecond = 20 << 20

// post sends a POST over a client's kept channels, and reports whether the channel had been used before.
func post(client *http.Client, address, target, id string, deadline time.Duration, size int) (a answer, kept bool) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { kept = info.Reused }})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+target, &pacedBody{left: size})
	if err != nil {
		return answer{err: err}, false
	}
	request.Host, request.ContentLength = host, int64(size)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	request.Header.Set("X-Request-Id", id)
	response, err := client.Do(request)
	if err != nil {
		return answer{err: err}, kept
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return answer{response.StatusCode, response.Header, data, err}, kept
}

// runUploads sends ordinary requests over kept channels, and beside them uploads that are a little smaller than max_body_bytes. No node
// may close a kept channel, more than three times, instead of answering a request that it has passed on.
func runUploads(directory, recordPath string, trouble bool) (bool, error) {
	const (
		callers    = 36
		uploaders  = 12
		uploadSize = 30 << 20 // max_body_bytes is 32 << 20
		timeLimit  = 2 * time.Second
		length     = 60 * time.Second
	)
	memory := []int{189, 244, 244}
	s, err := newSite(directory, recordPath, len(memory), memory)
	if err != nil {
		return false, err
	}
	for i := range 3 {
		e := &server{
			id: fmt.Sprintf("i-%d", i), service: "belt-app", zone: zones[i], slots: 16,
			workTime: func(id string) time.Duration { return time.Duration(10+hashOf(id)%30) * time.Millisecond },
		}
		if err := s.addServer(e); err != nil {
			return false, err
		}
	}
	s.putConfig([]map[string]any{{
		"name": "r-belts", "host": host, "path_prefix": "/belts/", "kind": "safe", "timeout_ms": timeLimit.Milliseconds(), "target_latency_ms": 150,
		"priority": 2, "service": "belt-app", "max_attempts": 2,
	}}, []map[string]any{{"name": "belt-app", "health_path": "/healthz", "max_connections": 100, "protocol": "h1", "tls": false}})
	if err := s.awaitNodes(40 * time.Second); err != nil {
		return false, err
	}
	stop, peaks := make(chan struct{}), make(chan []int, 1)
	go func() { peaks <- s.watchMemory(memory, stop) }()
	time.Sleep(4 * time.Second) // the nodes are in touch
	end := time.Now().Add(length)
	var group sync.WaitGroup
	client := func(prefix byte, c, size int, pause time.Duration) {
		defer group.Done()
		client, random := newClient(true), newRandom(int64(prefix)<<8+int64(c))
		for k := 0; time.Now().Before(end); k++ {
			id, n := fmt.Sprintf("%02x%02x%04x", prefix, c, k), s.nodes[random.Intn(len(s.nodes))]
			a, kept := post(client, n.front, "/belts/"+id, id, timeLimit, size)
			s.record.line("answered", "id", id, "node", n.name, "bytes", fmt.Sprint(size), "kept", fmt.Sprint(kept), "answer", a.String())
			time.Sleep(pause/2 + time.Duration(random.Int63n(int64(pause))))
		}
	}
	for c := range callers {
		group.Add(1)
		go client(0xca, c, 600, 40*time.Millisecond)
	}
	for c := range uploaders {
		size := 600
		if trouble {
			size = uploadSize
		}
		group.Add(1)
		go client(0xfe, c, size, time.Second)
	}
	group.Wait()
	close(stop)
	ran, killed, cut := map[string]bool{}, map[string]int{}, 0
	for _, line := range s.record.lines {
		switch line[0] {
		case "run": // run server S id ID ...
			ran[line[4]] = true
		case "killed": // killed node N ...
			killed[line[2]]++
		case "answered": // answered id ID node N bytes B kept K answer A
			if line[8] == "true" && strings.HasPrefix(line[10], "none(") && ran[line[2]] {
				cut++
			}
		}
	}
	s.record.line("verdict", "peak-memory-mb", fmt.Sprint(<-peaks), "killed", fmt.Sprint(killed), "kept-channels-closed-on-requests-that-ran", fmt.Sprint(cut))
	return cut > 3, nil
}
