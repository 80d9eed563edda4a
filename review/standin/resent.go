package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// runResent sends requests of an unsafe route, with the methods GET and POST, with and without the header Idempotency-Key, each on a new channel, while some of the servers lose a
// few of their answers by resetting the channel. No request may run more than once.
func runResent(directory, recordPath string, trouble bool) (bool, error) {
	const (
		clients  = 12
		perPhase = 4 * time.Second // the longest time of the impairment in the site file
		phases   = 6
	)
	s, err := newSite(directory, recordPath, 3, []int{189, 244})
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	active := false
	random := newRandom(1)
	for i := range 4 {
		e := &server{id: fmt.Sprintf("i-%d", i), service: "ledger", zone: zones[i%3], slots: 6, workTime: func(id string) time.Duration {
			return time.Duration(10+hashOf(id)%30) * time.Millisecond
		}}
		if i%2 == 0 { // share 0.5, x 0.05
			e.loseAnswer = func(string) bool {
				mu.Lock()
				defer mu.Unlock()
				return active && random.Float64() < 0.05
			}
		}
		if err := s.addServer(e); err != nil {
			return false, err
		}
	}
	s.putConfig([]map[string]any{{
		"name": "r-post", "host": host, "path_prefix": "/post/", "kind": "unsafe", "timeout_ms": 2000, "target_latency_ms": 150, "priority": 2,
		"service": "ledger", "max_attempts": 2,
	}}, []map[string]any{{"name": "ledger", "health_path": "/healthz", "max_connections": 96, "protocol": "h1", "tls": false}})
	if err := s.awaitNodes(40 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // the nodes are in touch
	end := time.Now().Add(phases * 2 * perPhase)
	var group sync.WaitGroup
	for c := range clients {
		group.Add(1)
		go func() {
			defer group.Done()
			client := newClient(false)
			for k := 0; time.Now().Before(end); k++ {
				id, n := fmt.Sprintf("%02x%06x", c, k), s.nodes[(c+k)%len(s.nodes)]
				method, body, header := http.MethodPost, []byte("one entry"), map[string]string{}
				switch k % 3 {
				case 0:
					method, body = http.MethodGet, nil
				case 1:
					header["Idempotency-Key"] = id
				}
				s.record.line("sent", "id", id, "method", method, "idempotency-key", header["Idempotency-Key"], "node", n.name)
				a := send(client, n.front, method, "/post/"+id, id, 2*time.Second, header, body)
				s.record.line("answered", "id", id, "method", method, "answer", a.String())
				time.Sleep(60 * time.Millisecond)
			}
		}()
	}
	for range phases {
		time.Sleep(perPhase)
		mu.Lock()
		active = trouble
		mu.Unlock()
		s.record.line("answers-lost", "from", "now")
		time.Sleep(perPhase)
		mu.Lock()
		active = false
		mu.Unlock()
		s.record.line("answers-lost", "until", "now")
	}
	group.Wait()
	return s.judgeRuns(), nil
}

// judgeRuns reports whether a request ran more than once, or ran and was answered with a status that promises that it hasn't.
func (s *site) judgeRuns() bool {
	runs, methods, promised := map[string]int{}, map[string]string{}, map[string]string{}
	lost := 0
	for _, line := range s.record.lines {
		value := map[string]string{}
		for i := 1; i+1 < len(line); i += 2 {
			value[line[i]] = line[i+1]
		}
		switch line[0] {
		case "sent":
			methods[value["id"]] = value["method"]
			if value["idempotency-key"] != "" {
				methods[value["id"]] = "POST with Idempotency-Key"
			}
		case "run":
			runs[value["id"]]++
		case "answer-lost":
			lost++
		case "answered":
			switch value["answer"] {
			case "408", "421", "429", "503":
				promised[value["id"]] = value["answer"]
			}
		}
	}
	twice, refused := map[string]int{}, 0
	for id, count := range runs {
		if count > 1 {
			twice[methods[id]]++
		}
		if promised[id] != "" {
			refused++
		}
	}
	s.record.line("verdict", "requests-run", fmt.Sprint(len(runs)), "answers-lost", fmt.Sprint(lost),
		"twice-GET", fmt.Sprint(twice[http.MethodGet]), "twice-POST", fmt.Sprint(twice[http.MethodPost]),
		"twice-POST-with-Idempotency-Key", fmt.Sprint(twice["POST with Idempotency-Key"]), "refused-and-run", fmt.Sprint(refused))
	return len(twice) > 0 || refused > 0
}
