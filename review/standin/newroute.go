package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"sync"
	"time"
)

// addEngines starts the model servers of the site himdan-roll.
func (s *site) addEngines(count int) error {
	for i := range count {
		e := &server{id: fmt.Sprintf("i-llm-%d", i), service: "dan-llm", zone: zones[i%len(zones)], slots: 12, models: []string{"m0"}}
		if err := s.addServer(e); err != nil {
			return err
		}
	}
	return nil
}

func engineService() map[string]any {
	return map[string]any{
		"name": "dan-llm", "health_path": "/healthz", "max_connections": 150, "protocol": "h1", "tls": false, "engine": map[string]any{
			"slots": 12, "kv_cache_tokens": 38617, "kv_token_bytes": 35136, "link_mbps": 5900000.0, "moves": true, "backups": true, "stride": 58,
			"most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []map[string]any{{"name": "m0"}},
		},
	}
}

func rolloutRoute(name string) map[string]any {
	return map[string]any{
		"name": "r-" + name, "host": host, "path_prefix": "/" + name + "/", "kind": "rollout", "timeout_ms": 10000, "target_latency_ms": 400,
		"priority": 1, "service": "dan-llm", "max_attempts": 3, "retention_s": 40.0, "result_deadline_ms": 7500, "single_version": false,
		"session_affinity": true, "resumable": true,
	}
}

// submission returns the body of a batch submission with groups of items.
func submission(route, id string, groups, size int) []byte {
	var items []map[string]any
	for g := range groups {
		for i := range size {
			item := fmt.Sprintf("%s%02x%02x", id, g, i)
			items = append(items, map[string]any{
				"id": item, "path": fmt.Sprintf("/%s/%s", route, item), "headers": map[string]string{
					"X-Model": "m0", "X-Token-Usage": "271,20", "X-Prompt-Prefix": fmt.Sprintf("%s%02x:255,%s:16", id, g, item),
				}, "body": []byte("prompt of " + item), "tokens": 291, "group": fmt.Sprintf("%s%02x", id, g),
			})
		}
	}
	data, err := json.Marshal(map[string]any{"step": 0, "model": "m0", "min_version": 1, "group_count": groups, "items": items})
	if err != nil {
		panic(err)
	}
	return data
}

// runNewRoute adds rollout routes, one after the other, and submits a step to each as soon as a node serves the route. No item may be
// errored: no server fails one, and no route ends before its batch submission has.
func runNewRoute(directory, recordPath string, trouble bool) (bool, error) {
	s, err := newSite(directory, recordPath, 7, []int{189, 244, 244})
	if err != nil {
		return false, err
	}
	if err := s.addEngines(11); err != nil {
		return false, err
	}
	const (
		refusedTime = 9 * time.Second // the longest time of the impairment in the site files
		calmTime    = 7 * time.Second
		periods     = 5
		trainers    = 3
	)
	// The store turns two of the seven machines away, less than the share of 0.33, by not answering them.
	var mu sync.Mutex
	refused := map[int]bool{}
	s.store.fault = func(node int, _ http.ResponseWriter, r *http.Request) bool {
		mu.Lock()
		isRefused := refused[node]
		mu.Unlock()
		if isRefused {
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		}
		return isRefused
	}
	services := []map[string]any{engineService()}
	var routes []map[string]any
	for k := range 9 {
		routes = append(routes, rolloutRoute(fmt.Sprintf("idle%d", k)))
	}
	s.putConfig(routes, services)
	if err := s.awaitNodes(40 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // the nodes are in touch
	client := newClient(false)
	errored := 0
	k := 0
	for period := range periods {
		mu.Lock()
		refused = map[int]bool{}
		if trouble {
			refused = map[int]bool{period % 7: true, (period + 3) % 7: true}
		}
		mu.Unlock()
		s.record.line("store-turns-away", "nodes", fmt.Sprint(refused))
		for end := time.Now().Add(refusedTime); time.Now().Before(end); k++ {
			// The routes of three trainers are added, as many as the site has. The oldest ones go; their batch submissions were ended
			// long ago.
			for trainer := range trainers {
				routes = append(routes, rolloutRoute(fmt.Sprintf("step%d-%d", k, trainer)))
			}
			routes = routes[trainers:]
			s.putConfig(routes, services)
			var group sync.WaitGroup
			counts, errs := make([]int, trainers), make([]error, trainers)
			for trainer := range trainers {
				group.Add(1)
				go func() {
					defer group.Done()
					id := fmt.Sprintf("%02x%04x", trainer, k)
					counts[trainer], errs[trainer] = s.train(client, newRandom(int64(trainers*k+trainer)), fmt.Sprintf("step%d-%d", k, trainer), id)
				}()
			}
			group.Wait()
			for trainer := range trainers {
				if errs[trainer] != nil {
					return false, errs[trainer]
				}
				errored += counts[trainer]
			}
		}
		mu.Lock()
		refused = map[int]bool{}
		mu.Unlock()
		s.record.line("store-turns-away", "nodes", "none")
		time.Sleep(calmTime)
	}
	s.record.line("verdict", "errored", fmt.Sprint(errored))
	return errored > 0, nil
}

// train submits a step to a route that has just been added and reads its results. It returns the number of errored items.
func (s *site) train(client *http.Client, random *rand.Rand, route, prefix string) (int, error) {
	errored := 0
	id, accepted := "", false
	for try := 0; try < 50 && !accepted; try++ {
		n := s.nodes[random.Intn(len(s.nodes))]
		id = fmt.Sprintf("%s%02x", prefix, try)
		a := send(client, n.front, http.MethodPost, "/"+route+"/"+id, id, 2*time.Second, nil, submission(route, id, 7, 8))
		s.record.line("submitted", "id", id, "route", route, "node", n.name, "answer", a.String())
		accepted = a.status == http.StatusAccepted
		if !accepted {
			time.Sleep(3 * time.Millisecond)
		}
	}
	if !accepted {
		return 0, fmt.Errorf("no node accepts a batch submission for %s", route)
	}
	after, total := 0, 56
	for end := time.Now().Add(5 * time.Second); after < total && time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		n := s.nodes[random.Intn(len(s.nodes))]
		a := send(client, n.front, http.MethodGet, fmt.Sprintf("/-/lots/%s?after=%d", id, after), "", 2*time.Second, nil, nil)
		if a.status != http.StatusOK {
			s.record.line("read", "id", id, "node", n.name, "answer", a.String())
			continue
		}
		page, err := decodeResults(a.body)
		if err != nil {
			return 0, err
		}
		for i, result := range page.Results {
			if result.State == "errored" {
				errored++
				s.record.line("errored", "id", id, "position", fmt.Sprint(after+i), "item", result.ID)
			}
		}
		after, total = page.Next, page.Total
	}
	s.record.line("listed", "id", id, "results", fmt.Sprint(after), "total", fmt.Sprint(total))
	send(client, s.nodes[0].front, http.MethodDelete, "/-/lots/"+id, "", 2*time.Second, nil, nil)
	return errored, nil
}
