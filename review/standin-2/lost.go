package main

import (
	"fmt"
	"time"
)

func init() { scenarios["lost"] = playLost }

// playLost: while a step runs, another writer writes entries for all model servers, twice, from which fields are missing. The step's
// items must go on being placed.
func playLost(s *site) bool {
	const engines, items, stepTime, idleTime = 11, 232, 12 * time.Second, 5 * time.Second
	s.addEngines(engines, "llm", "m")
	for _, e := range s.servers {
		e.eventTime = 120 * time.Millisecond
	}
	for i := range 7 {
		s.addNode(fmt.Sprintf("front-%d", i+1))
	}
	s.store.put("keyed.op", "config", desired(3))
	s.launch()
	time.Sleep(4 * time.Second)
	// An earlier step shows that all is well.
	if got := s.call("POST", s.nodes[1].callers, "/r/before", "before", nil, lot("before", 56, 1), 4*time.Second); got.status != 202 {
		check(fmt.Errorf("the first batch is answered %d", got.status))
	}
	time.Sleep(5 * time.Second)
	done := 0
	for i := range 56 {
		if s.completed[itemID("before", i)] {
			done++
		}
	}
	s.note("%d of 56 items of an earlier step are done in 5 s", done)

	began := time.Now()
	got := s.call("POST", s.nodes[0].callers, "/r/step", "step", nil, lot("step", items, 1), 4*time.Second)
	s.note("the step is answered %d", got.status)
	if got.status != 202 {
		check(fmt.Errorf("the step is answered %d", got.status))
	}
	time.Sleep(time.Second)
	for range 2 {
		for _, e := range s.servers {
			if s.trouble {
				s.store.put("keyed.servers", e.id, map[string]any{
					"service": e.service, "address": e.address, "zone": e.zone, "slots": e.slots, "state": "ready",
				})
			}
		}
		s.note("another writer writes an entry for each server without born, models, version and sequence: %v", s.trouble)
		time.Sleep(300 * time.Millisecond)
	}
	time.Sleep(time.Until(began.Add(stepTime)))
	now := time.Now()
	s.mu.Lock()
	begun, finished, idle, never := 0, 0, 0, 0
	for i := range items {
		id := itemID("step", i)
		switch {
		case s.completed[id]:
			finished++
		case len(s.runs[id]) == 0:
			never++
			idle++
		case !s.ends[id].IsZero() && now.Sub(s.ends[id]) > idleTime:
			idle++
		}
		if len(s.runs[id]) > 0 {
			begun++
		}
	}
	s.mu.Unlock()
	running := 0
	for _, e := range s.servers {
		e.mu.Lock()
		running += e.running
		e.mu.Unlock()
	}
	s.note("at the step's time limit: %d of %d items have begun, %d are finished; %d have been at no server for 5 s or more, %d of them never; %d runs on %d slots",
		begun, items, finished, idle, never, running, engines*12)
	read := s.call("GET", s.nodes[2].callers, "/-/lots/step?after=0", "", nil, nil, 4*time.Second)
	s.note("results are answered %d, %d bytes", read.status, len(read.body))
	isBroken := idle > 0 && begun > 0 && running < engines*12/2
	if isBroken {
		s.note("LOST broken")
	}
	return isBroken
}
