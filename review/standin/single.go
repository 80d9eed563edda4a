package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// runSingle submits a step to a route with single_version while some of the model servers have the version before the newest one, and
// replaces just these servers, one after the other. No unfinished item of the step may be at no server for 5 s.
func runSingle(directory, recordPath string, trouble bool) (bool, error) {
	const (
		engines      = 5
		items        = 40
		stepTime     = 12 * time.Second // the trainer's time limit
		drainTime    = 2100 * time.Millisecond
		gap          = 860 * time.Millisecond
		maxIdle      = 5 * time.Second
		stableWindow = 3 * time.Second
	)
	s, err := newSite(directory, recordPath, 3, []int{189, 244})
	if err != nil {
		return false, err
	}
	// One item in four is long: 70 events, where the site has up to 143. A long one takes 3.5 s.
	events := func(item string) int {
		if hashOf(item)%4 == 0 {
			return 70
		}
		return 10
	}
	newEngine := func(id string, zone string) *server {
		return &server{id: id, service: "dan-llm", zone: zone, slots: 12, models: []string{"m0"}, events: events, interval: 50 * time.Millisecond}
	}
	for i := range engines {
		if err := s.addServer(newEngine(fmt.Sprintf("i-llm-%d", i), zones[i%len(zones)])); err != nil {
			return false, err
		}
	}
	route := rolloutRoute("kata")
	route["single_version"] = true
	s.putConfig([]map[string]any{route}, []map[string]any{engineService()})
	if err := s.awaitNodes(40 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // the nodes are in touch
	s.store.put("op", "version/m0", map[string]any{"model": "m0", "version": 2})
	s.record.line("version-named", "model", "m0", "version", "2")
	time.Sleep(8 * time.Second)
	client := newClient(false)
	const id = "c0ffee00"
	var list []map[string]any
	for i := range items {
		item := fmt.Sprintf("%s%02x", id, i)
		list = append(list, map[string]any{
			"id": item, "path": "/kata/" + item, "headers": map[string]string{
				"X-Model": "m0", "X-Token-Usage": "271,4060", "X-Prompt-Prefix": fmt.Sprintf("aa%02x:255,%s:16", i/8, item),
				"X-Length-Hint": fmt.Sprint(58 * events(item)),
			}, "body": []byte("prompt of " + item), "tokens": 4331, "group": fmt.Sprintf("g%d", i/8),
		})
	}
	body, err := json.Marshal(map[string]any{"step": 2, "model": "m0", "min_version": 1, "group_count": items / 8, "items": list})
	if err != nil {
		return false, err
	}
	started := time.Now()
	a := send(client, s.nodes[0].front, http.MethodPost, "/kata/"+id, id, 2*time.Second, nil, body)
	s.record.line("submitted", "id", id, "answer", a.String())
	if a.status != http.StatusAccepted {
		return false, fmt.Errorf("the batch submission got %s", a)
	}
	time.Sleep(300 * time.Millisecond)
	replaced := 0
	for _, e := range append([]*server(nil), s.servers...) {
		e.mu.Lock()
		version := e.version("m0")
		e.mu.Unlock()
		s.record.line("server", "id", e.id, "version", fmt.Sprint(version))
		if version != 1 || !trouble || replaced == 2 {
			continue
		}
		replaced++ // share 0.4, one at a time; the new one starts first and has the newest version
		next := newEngine(e.id+"-next", e.zone)
		next.versions = map[string]int64{"m0": 2}
		if err := s.addServer(next); err != nil {
			return false, err
		}
		time.Sleep(100 * time.Millisecond)
		e.leave(drainTime)
		time.Sleep(gap - 100*time.Millisecond)
	}
	listed, after := map[string]bool{}, 0
	for time.Since(started) < stepTime {
		a := send(client, s.nodes[1].front, http.MethodGet, fmt.Sprintf("/-/lots/%s?after=%d", id, after), "", 2*time.Second, nil, nil)
		page, err := decodeResults(a.body)
		if a.status != http.StatusOK || err != nil {
			s.record.line("read", "answer", a.String())
		}
		for _, result := range page.Results {
			listed[result.ID] = true
			s.record.line("listed", "item", result.ID, "state", result.State)
		}
		after = max(after, page.Next)
		time.Sleep(200 * time.Millisecond)
	}
	s.record.line("time-is-up", "listed", fmt.Sprint(after), "of", fmt.Sprint(items))
	return s.judgeIdle(listed, maxIdle, stableWindow), nil
}

// judgeIdle reports whether an item that isn't listed, and that no server has finished, has been at no server for the last while. The
// time begins a stable window after the last server has left.
func (s *site) judgeIdle(listed map[string]bool, maxIdle, stableWindow time.Duration) bool {
	last, finished, runs := map[string]time.Duration{}, map[string]bool{}, map[string]int{}
	var steadySince time.Duration
	end := time.Since(s.record.started)
	for i, line := range s.record.lines {
		switch line[0] {
		case "run": // run server S id ID
			last[line[4]] = end // until it is cut or finished
			runs[line[4]]++
		case "cut":
			last[line[4]] = s.record.times[i]
		case "finished":
			finished[line[4]] = true
		case "left":
			steadySince = s.record.times[i] + stableWindow
		}
	}
	idle := 0
	for item, at := range last {
		if !finished[item] && !listed[item] && end-max(at, steadySince) >= maxIdle {
			idle++
			s.record.line("idle", "item", item, "runs", fmt.Sprint(runs[item]), "for", fmt.Sprint((end - at).Round(time.Millisecond)),
				"steady-for", fmt.Sprint((end - max(at, steadySince)).Round(time.Millisecond)))
		}
	}
	s.record.line("verdict", "items-run", fmt.Sprint(len(runs)), "idle", fmt.Sprint(idle))
	return idle > 0
}
