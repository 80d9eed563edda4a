package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// runPoison sends, beside ordinary requests of a safe route, a request that crashes each server that begins to run it. It comes again
// each second, at any node. After it has crashed three servers, and the stable window has passed, it may reach servers in three more
// retries only. The variable METHOD replaces the method GET of all requests.
func runPoison(directory, recordPath string, trouble bool) (bool, error) {
	const (
		clients      = 6
		poisons      = 45
		stableWindow = 3 * time.Second
		mostRetries  = 3
	)
	method := http.MethodGet
	if os.Getenv("METHOD") != "" {
		method = os.Getenv("METHOD")
	}
	s, err := newSite(directory, recordPath, 3, []int{189, 244})
	if err != nil {
		return false, err
	}
	for i := range 6 {
		e := &server{
			id: fmt.Sprintf("i-%d", i), service: "belt-app", zone: zones[i%3], slots: 6, downTime: 4500 * time.Millisecond,
			workTime: func(id string) time.Duration { return time.Duration(10+hashOf(id)%30) * time.Millisecond },
			crashes:  func(r *http.Request) bool { return r.URL.Path == "/belts/crash" },
		}
		if err := s.addServer(e); err != nil {
			return false, err
		}
	}
	s.putConfig([]map[string]any{{
		"name": "r-belts", "host": host, "path_prefix": "/belts/", "kind": "safe", "timeout_ms": 1500, "target_latency_ms": 150, "priority": 2,
		"service": "belt-app", "max_attempts": 2,
	}}, []map[string]any{{"name": "belt-app", "health_path": "/healthz", "max_connections": 100, "protocol": "h1", "tls": false}})
	if err := s.awaitNodes(40 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // the nodes are in touch
	stop := make(chan struct{})
	var group sync.WaitGroup
	for c := range clients {
		group.Add(1)
		go func() {
			defer group.Done()
			client := newClient(false)
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				id, n := fmt.Sprintf("%02x%06x", c, k), s.nodes[(c+k)%len(s.nodes)]
				a := send(client, n.front, method, "/belts/"+id, id, 1500*time.Millisecond, nil, nil)
				s.record.line("answered", "id", id, "answer", a.String())
			}
		}()
	}
	time.Sleep(3 * time.Second)
	client, random := newClient(false), newRandom(1)
	for k := range poisons {
		if !trouble {
			time.Sleep(time.Second)
			continue
		}
		id, n := fmt.Sprintf("ff%06x", k), s.nodes[random.Intn(len(s.nodes))]
		a := send(client, n.front, method, "/belts/crash", id, 1500*time.Millisecond, nil, nil)
		s.record.line("poison", "id", id, "node", n.name, "answer", a.String())
		time.Sleep(time.Second)
	}
	close(stop)
	group.Wait()
	crashes, late := 0, map[string]bool{}
	var third time.Duration
	for i, line := range s.record.lines {
		if line[0] == "crashed" {
			if crashes++; crashes == 3 {
				third = s.record.times[i]
			}
		}
		// line is: run server S id ID ...
		if line[0] == "run" && strings.HasPrefix(line[4], "ff") && crashes >= 3 && s.record.times[i]-third > stableWindow {
			late[line[4]] = true
		}
	}
	s.record.line("verdict", "crashes", fmt.Sprint(crashes), "late-retries-that-reached-servers", fmt.Sprint(len(late)))
	return len(late) > mostRetries, nil
}
