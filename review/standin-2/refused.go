package main

import (
	"math/rand"
	"sync"
	"time"
)

func init() { scenarios["refused"] = playRefused }

// playRefused: the store turns two of six machines away with 503 for a second at a time, first one and then the other, and loses the
// answers of a third of the writes, which it executes seconds later. A client submits batches at the first machine and, after a 503, once
// more at the other one. A batch that got 503 at both attempts must not run.
func playRefused(s *site) bool {
	random := rand.New(rand.NewSource(time.Now().UnixNano()))
	s.addEngines(3, "llm", "m")
	var nodes []*node
	for _, name := range []string{"front-1", "front-2", "front-3", "front-4", "front-5", "front-6"} {
		nodes = append(nodes, s.addNode(name))
	}
	s.store.put("keyed.op", "config", desired(3))
	s.launch()
	time.Sleep(4 * time.Second)

	var mu sync.Mutex
	away, losing := map[string]bool{}, false
	s.store.mu.Lock()
	s.store.intercept = func(call storeCall) verdict {
		mu.Lock()
		defer mu.Unlock()
		switch {
		case away[call.Machine]:
			return verdict{Status: 503}
		case losing && call.Path == "/-/log-append" && random.Float64() < 0.3:
			return verdict{Lose: true, LoseDelay: time.Duration(2000+random.Intn(2000)) * time.Millisecond}
		}
		return verdict{}
	}
	s.store.mu.Unlock()
	turn := func(n *node, isAway bool) {
		mu.Lock()
		defer mu.Unlock()
		away[n.name] = isAway && s.trouble
		s.note("store turns %s away: %v", n.name, away[n.name])
	}
	lose := func(on bool) {
		mu.Lock()
		defer mu.Unlock()
		losing = on && s.trouble
	}
	first, second := nodes[0], nodes[5]
	type batch struct {
		id       string
		statuses []int
	}
	var batches []*batch
	const rounds, perRound = 8, 10
	for round := range rounds {
		lose(true)
		turn(first, true)
		var current []*batch
		submit := func(n *node, pending []*batch) (refused []*batch) {
			var group sync.WaitGroup
			for _, b := range pending {
				group.Add(1)
				go func() {
					defer group.Done()
					got := s.call("POST", n.callers, "/r/"+b.id, b.id, nil, lot(b.id, 4, 1), 4*time.Second)
					s.note("%s at %s: %d", b.id, n.name, got.status)
					mu.Lock()
					defer mu.Unlock()
					if b.statuses = append(b.statuses, got.status); got.status == 503 {
						refused = append(refused, b)
					}
				}()
			}
			group.Wait()
			return refused
		}
		for i := range perRound {
			current = append(current, &batch{id: batchID(round, i)})
		}
		batches = append(batches, current...)
		refused := submit(first, current)
		turn(first, false)
		time.Sleep(300 * time.Millisecond) // Retry-After
		turn(second, true)
		submit(second, refused)
		turn(second, false)
		lose(false)
		time.Sleep(5 * time.Second)
	}
	time.Sleep(3 * time.Second)
	broken, promised, accepted := 0, 0, 0
	for _, b := range batches {
		isRefused := true
		for _, status := range b.statuses {
			isRefused = isRefused && (status == 503 || status == 429)
		}
		runs := 0
		for i := range 4 {
			runs += len(s.runsOf(itemID(b.id, i)))
		}
		switch {
		case !isRefused:
			accepted++
		case runs > 0:
			broken++
			promised++
			s.note("REFUSED broken: %s was answered %v and %d runs of its items began", b.id, b.statuses, runs)
		default:
			promised++
		}
	}
	s.note("%d batches, %d refused at every attempt, %d of them ran; %d of %d writes lost their answer", len(batches), promised, broken, s.store.lost, s.store.writes)
	return broken > 0
}
