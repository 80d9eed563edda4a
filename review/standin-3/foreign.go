package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

const (
	stepItems = 300
	// stepTime is the trainer's time limit for a step, and idleTime how long an item may be at no server.
	stepTime = 12 * time.Second
	idleTime = 5 * time.Second
)

// foreignCase: another writer adds an entry for each model server, with a service that no desired state names. It names no server to use,
// and the servers' own entries hold, which they go on to write.
func foreignCase(directory, record string, trouble bool) bool {
	s := newSite(directory, record, 3, 3, 2, 244, nil)
	s.start()
	lot := fmt.Sprintf("%016x", time.Now().UnixNano())
	return s.playStep(lot, lotBody(lot, stepItems, "body"), func() {
		if !trouble {
			return
		}
		for _, v := range s.servers[:3] {
			entry := map[string]any{}
			_ = json.Unmarshal(v.entry(false), &entry)
			entry["service"], entry["born"] = "vidu220", time.Now().UnixMilli()
			data, _ := json.Marshal(entry)
			s.store.put("servers", v.id, data)
			s.logf("another writer adds servers/%s: %s", v.id, data)
		}
	})
}

// playStep submits the batch of a step, calls meanwhile a second later, and reports whether the step's items were run in its time as the
// rule LOST asks.
func (s *site) playStep(lot string, body []byte, meanwhile func()) bool {
	sentAt := time.Now()
	status, _ := s.instances[0].call(http.MethodPost, lotPrefix+lot, lot, map[string]string{"Content-Type": "application/json", "X-Deadline-Ms": "12000"}, body)
	s.logf("sent batch %s to %s: %d items: answered %d", lot, s.instances[0].name, stepItems, status)
	if status != http.StatusAccepted {
		fatal("the batch isn't accepted")
	}
	time.Sleep(time.Second)
	if meanwhile != nil {
		meanwhile()
	}
	// Each second: how many items have begun, and how busy the servers are.
	most := 0
	for time.Since(sentAt) < stepTime {
		time.Sleep(time.Second)
		s.mu.Lock()
		begun := 0
		for i := range stepItems {
			if len(s.runs[itemID(lot, i)]) > 0 {
				begun++
			}
		}
		s.mu.Unlock()
		running := 0
		for _, v := range s.servers[:3] {
			v.mu.Lock()
			running += v.running
			v.mu.Unlock()
		}
		if time.Since(sentAt) > stepTime-idleTime {
			most = max(most, running)
		}
		s.logf("%d of %d items have begun; the servers run %d, with %d slots", begun, stepItems, running, 3*engineSlots)
	}
	listed := s.collect(lot, stepItems, time.Second)
	s.mu.Lock()
	waiting, begun := 0, 0
	for i := range stepItems {
		at, ok := s.lastAt[itemID(lot, i)]
		switch {
		case !ok:
			waiting++
		case s.finished[itemID(lot, i)]:
			begun++
		case time.Since(at) > idleTime && len(s.runs[itemID(lot, i)]) > 0:
			waiting++
		}
	}
	s.mu.Unlock()
	s.logf("at the step's time limit: %d results are listed, %d items finished at a server, %d have been at no server for the last 5 s or never", listed, begun, waiting)
	return waiting == 0 || begun == 0 || most >= 3*engineSlots/2
}
