package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { scenarios["drain"] = playDrain }

// drainTime is the bound drain_ms.
const drainTime = 2 * time.Second

// playDrain: another writer writes entries for a server in the servers' topic, from which fields are missing. Seconds later that server
// reports that it is draining, and goes on serving for a while. No request that a client sends over drain_ms after that report was
// acknowledged may reach it.
func playDrain(s *site) bool {
	s.addEngines(2, "llm", "m")
	s.addService(3, "app")
	for i := range 7 {
		s.addNode(fmt.Sprintf("front-%d", i+1))
	}
	s.store.put("keyed.op", "config", desired(3, map[string]any{
		"name": "plain", "host": "h.example", "path_prefix": "/s/", "kind": "safe", "service": "app", "max_attempts": 2, "timeout_ms": 1500,
		"target_latency_ms": 150, "priority": 2,
	}))
	s.launch()
	time.Sleep(4 * time.Second)

	var mu sync.Mutex
	sentAt, arrivedAt := map[string]time.Time{}, map[string]time.Time{}
	leaving := s.servers[2]
	leaving.behave = func(e *server, w http.ResponseWriter, r *http.Request, _ []byte) bool {
		e.mu.Lock()
		isDraining := e.state == "draining"
		e.mu.Unlock()
		if isDraining {
			w.Header().Set("Server-Leaving", "1")
		}
		mu.Lock()
		defer mu.Unlock()
		arrivedAt[r.Header.Get("X-Request-Id")] = time.Now()
		return false
	}
	// Six requests a second, as on the sheet, at the nodes in turn.
	stop := make(chan struct{})
	var group sync.WaitGroup
	statuses := map[int]int{}
	group.Add(1)
	go func() {
		defer group.Done()
		ticker := time.NewTicker(time.Second / 6)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			id, n := fmt.Sprintf("plain-%d", i), s.nodes[i%len(s.nodes)]
			group.Add(1)
			go func() {
				defer group.Done()
				mu.Lock()
				sentAt[id] = time.Now()
				mu.Unlock()
				got := s.call("POST", n.callers, "/s/"+id, id, map[string]string{"X-Deadline-Ms": "1500"}, []byte("x"), 2*time.Second)
				s.note("%s at %s: %d", id, n.name, got.status)
				mu.Lock()
				defer mu.Unlock()
				statuses[got.status]++
			}()
		}
	}()
	time.Sleep(2 * time.Second)
	for range 5 {
		if s.trouble {
			s.store.put("keyed.servers", leaving.id, map[string]any{
				"service": leaving.service, "address": leaving.address, "zone": leaving.zone, "slots": leaving.slots, "state": "ready",
			})
			s.note("another writer writes an entry for %s without born, version and sequence", leaving.id)
		}
		time.Sleep(400 * time.Millisecond)
	}
	time.Sleep(6 * time.Second)
	leaving.mu.Lock()
	leaving.state = "draining"
	leaving.mu.Unlock()
	leaving.beat()
	drainedAt := time.Now()
	s.note("the store has acknowledged that %s is draining", leaving.id)
	time.Sleep(10 * time.Second)
	close(stop)
	group.Wait()
	late := 0
	for id, at := range arrivedAt {
		if after := sentAt[id].Sub(drainedAt); after > drainTime && at.Sub(drainedAt) > drainTime {
			late++
			s.note("DRAIN broken: %s was sent %.2f s and reached %s %.2f s after the acknowledgement", id, after.Seconds(), leaving.id, at.Sub(drainedAt).Seconds())
		}
	}
	s.note("%d requests, answers %v, %d late ones", len(sentAt), statuses, late)
	return late > 0
}
