package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { scenarios["route"] = playRoute }

// playRoute: another writer writes entries for a server from which fields are missing and that name another service than the server's
// own. No request of that other service may run at the server.
func playRoute(s *site) bool {
	s.addEngines(2, "llm", "m")
	s.addService(3, "app")
	s.addService(3, "records")
	for i := range 7 {
		s.addNode(fmt.Sprintf("front-%d", i+1))
	}
	plain := func(name, prefix, service string) map[string]any {
		return map[string]any{
			"name": name, "host": "h.example", "path_prefix": prefix, "kind": "safe", "service": service, "max_attempts": 2, "timeout_ms": 1500,
			"target_latency_ms": 150, "priority": 2,
		}
	}
	s.store.put("keyed.op", "config", desired(3, plain("plain", "/s/", "app"), plain("records", "/t/", "records")))
	s.launch()
	time.Sleep(4 * time.Second)
	var mu sync.Mutex
	stop := make(chan struct{})
	var group sync.WaitGroup
	statuses := map[int]int{}
	sent := 0
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
			id, n := fmt.Sprintf("records-%d", i), s.nodes[i%len(s.nodes)]
			group.Add(1)
			go func() {
				defer group.Done()
				got := s.call("POST", n.callers, "/t/"+id, id, map[string]string{"X-Deadline-Ms": "1500"}, []byte("x"), 2*time.Second)
				s.note("%s at %s: %d %s", id, n.name, got.status, got.body)
				mu.Lock()
				defer mu.Unlock()
				sent++
				statuses[got.status]++
			}()
		}
	}()
	time.Sleep(2 * time.Second)
	other := s.servers[2]
	for range 5 {
		if s.trouble {
			s.store.put("keyed.servers", other.id, map[string]any{
				"service": "records", "address": other.address, "zone": other.zone, "slots": other.slots, "state": "ready",
			})
			s.note("another writer writes an entry for %s without born, version and sequence", other.id)
		}
		time.Sleep(400 * time.Millisecond)
	}
	time.Sleep(10 * time.Second)
	close(stop)
	group.Wait()
	wrong := 0
	for i := range sent {
		for _, server := range s.runsOf(fmt.Sprintf("records-%d", i)) {
			if server == other.id {
				wrong++
			}
		}
	}
	s.note("%d requests, answers %v, %d of them ran at %s of service app", sent, statuses, wrong, other.id)
	return wrong > 0
}
