package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// runSplit submits one step for each of three models, one after the other, long after the last weight version was named. The desired
// state splits the routes between the service with most model servers and a small one. No unfinished item of a step may be at no server
// for 5 s when its time is up.
func runSplit(directory, recordPath string, trouble bool) (bool, error) {
	const (
		engines    = 11
		newEngines = 1
		groups     = 7
		groupSize  = 8
		events     = 20
		stepTime   = 12 * time.Second // the trainer's time limit
		maxIdle    = 5 * time.Second
	)
	s, err := newSite(directory, recordPath, 3, []int{189, 244, 244})
	if err != nil {
		return false, err
	}
	models := []string{"m0", "m1", "m2"}
	add := func(id, service string, zone string) error {
		return s.addServer(&server{
			id: id, service: service, zone: zone, slots: 12, models: models, events: func(string) int { return events }, interval: 50 * time.Millisecond,
		})
	}
	for i := range engines {
		if err := add(fmt.Sprintf("i-llm-%02d", i), "dan-llm", zones[i%3]); err != nil {
			return false, err
		}
	}
	for i := range newEngines {
		if err := add(fmt.Sprintf("i-new-%02d", i), "dan-llm-new", zones[i%3]); err != nil {
			return false, err
		}
	}
	var services []map[string]any
	for _, name := range []string{"dan-llm", "dan-llm-new"} {
		service := engineService()
		service["name"] = name
		service["engine"].(map[string]any)["models"] = []map[string]any{{"name": "m0"}, {"name": "m1"}, {"name": "m2"}}
		services = append(services, service)
	}
	routes := func(split bool) []map[string]any {
		var list []map[string]any
		for _, name := range models {
			route := rolloutRoute(name)
			if split {
				delete(route, "service")
				route["traffic_split"] = []map[string]any{{"service": "dan-llm", "weight": 90}, {"service": "dan-llm-new", "weight": 10}}
			}
			list = append(list, route)
		}
		return list
	}
	s.putConfig(routes(false), services)
	if err := s.awaitNodes(40 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // the nodes are in touch
	s.putConfig(routes(trouble), services)
	s.record.line("desired-state", "split", fmt.Sprint(trouble))
	for version := 2; version <= 3; version++ {
		for _, name := range models {
			s.store.put("op", "version/"+name, map[string]any{"model": name, "version": version})
			s.record.line("version-named", "model", name, "version", fmt.Sprint(version))
		}
		time.Sleep(10 * time.Second)
	}
	client, broken := newClient(false), 0
	for k, name := range models {
		id := fmt.Sprintf("c0ffee%02x", k)
		submitted := map[string]time.Duration{}
		var list []map[string]any
		for i := range groups * groupSize {
			item := fmt.Sprintf("%s%02x", id, i)
			list = append(list, map[string]any{
				"id": item, "path": "/" + name + "/" + item, "headers": map[string]string{
					"X-Model": name, "X-Token-Usage": "271,1160", "X-Prompt-Prefix": fmt.Sprintf("a%d%02x:255,%s:16", k, i/groupSize, item),
					"X-Length-Hint": fmt.Sprint(58 * events),
				}, "body": []byte("prompt of " + item), "tokens": 1431, "group": fmt.Sprintf("%s%02x", id, i/groupSize),
			})
			submitted[item] = 0
		}
		data, err := json.Marshal(map[string]any{"step": 3, "model": name, "min_version": 2, "group_count": groups, "items": list})
		if err != nil {
			return false, err
		}
		started := time.Now()
		a := send(client, s.nodes[k%3].front, http.MethodPost, "/"+name+"/"+id, id, 2*time.Second, nil, data)
		s.record.line("submitted", "id", id, "model", name, "items", fmt.Sprint(len(list)), "answer", a.String())
		if a.status != http.StatusAccepted {
			return false, fmt.Errorf("the step isn't accepted: %v", a)
		}
		at := time.Since(s.record.started)
		for item := range submitted {
			submitted[item] = at
		}
		listed, after := map[string]bool{}, 0
		for time.Since(started) < stepTime && after < len(list) {
			a := send(client, s.nodes[(k+1)%3].front, http.MethodGet, fmt.Sprintf("/-/lots/%s?after=%d", id, after), "", 2*time.Second, nil, nil)
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
		idle := s.countIdle(submitted, listed, maxIdle)
		broken += idle
		s.record.line("step-ends", "id", id, "after", fmt.Sprint(time.Since(started).Round(time.Millisecond)), "listed", fmt.Sprint(after),
			"of", fmt.Sprint(len(list)), "idle", fmt.Sprint(idle))
		send(client, s.nodes[0].front, http.MethodDelete, "/-/lots/"+id, "", 2*time.Second, nil, nil)
		time.Sleep(time.Second)
	}
	for _, e := range s.servers {
		s.record.line("versions", "server", e.id, "service", e.service, "models", fmt.Sprint(e.versions))
	}
	s.record.line("verdict", "idle", fmt.Sprint(broken))
	return broken > 0, nil
}

// countIdle returns how many items that are neither listed nor finished have been at no server for a time. It returns none unless others
// of the step have begun, and if an item began in the last 3 s. since holds when each item was submitted.
func (s *site) countIdle(since map[string]time.Duration, listed map[string]bool, maxIdle time.Duration) int {
	now := time.Since(s.record.started)
	finished, runs, recent := map[string]bool{}, map[string]int{}, 0
	for i, line := range s.record.lines {
		switch line[0] {
		case "run": // run server S id ID
			if _, ok := since[line[4]]; ok {
				since[line[4]] = now // until it is cut or finished
				runs[line[4]]++
			}
			if now-s.record.times[i] < 3*time.Second {
				recent++
			}
		case "cut":
			if _, ok := since[line[4]]; ok {
				since[line[4]] = s.record.times[i]
			}
		case "finished":
			finished[line[4]] = true
		}
	}
	idle := 0
	if len(runs) == 0 || recent > 0 {
		return 0
	}
	for item, at := range since {
		if !finished[item] && !listed[item] && now-at >= maxIdle {
			idle++
			s.record.line("idle", "item", item, "runs", fmt.Sprint(runs[item]), "for", fmt.Sprint((now - at).Round(time.Millisecond)))
		}
	}
	return idle
}
