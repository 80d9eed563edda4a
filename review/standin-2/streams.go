package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"sync"
	"time"
)

func init() { scenarios["safestream"] = playSafeStream }

// playSafeStream: servers run requests of a streaming route that can't be resumed, and lose the answers of one in twenty by a reset. The
// route's kind is safe. Counts the requests that run more than once.
func playSafeStream(s *site) bool {
	s.addEngines(5, "llm", "m")
	for i := range 3 {
		s.addNode(fmt.Sprintf("front-%d", i+1))
	}
	s.store.put("keyed.op", "config", desired(3, map[string]any{
		"name": "stream", "host": "h.example", "path_prefix": "/s/", "kind": "safe", "service": "llm", "max_attempts": 3, "timeout_ms": 8000,
		"target_latency_ms": 400, "streaming": true, "resumable": false,
	}))
	random := rand.New(rand.NewSource(time.Now().UnixNano()))
	var mu sync.Mutex
	for _, e := range s.servers {
		e.behave = func(e *server, w http.ResponseWriter, r *http.Request, _ []byte) bool {
			mu.Lock()
			isLost := s.trouble && random.Float64() < 0.05
			mu.Unlock()
			if isLost {
				s.recordRun(e.id, r, nil)
				hijackAndReset(w)
			}
			return isLost
		}
	}
	s.launch()
	time.Sleep(3 * time.Second)
	const clients, perClient = 12, 20
	var group sync.WaitGroup
	for client := range clients {
		group.Add(1)
		go func() {
			defer group.Done()
			for k := range perClient {
				id := fmt.Sprintf("stream-%d-%d", client, k)
				got := s.call("POST", s.nodes[(client+k)%3].callers, "/s/"+id, id, map[string]string{"X-Deadline-Ms": "8000", "X-Model": "m"}, []byte("x"), 9*time.Second)
				s.note("%s: %d, %d bytes", id, got.status, len(got.body))
			}
		}()
	}
	group.Wait()
	twice := 0
	for client := range clients {
		for k := range perClient {
			if runs := s.runsOf(fmt.Sprintf("stream-%d-%d", client, k)); len(runs) > 1 {
				twice++
			}
		}
	}
	s.note("%d requests, %d ran more than once", clients*perClient, twice)
	return twice > 0
}
