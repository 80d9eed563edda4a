package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// runItemPath submits batches to a rollout route. Their items name a path of the model servers that doesn't begin with the prefix of the
// route. No item may be errored: servers answer neither 422 nor 500, and neither the batch nor its route ends.
func runItemPath(directory, recordPath string, trouble bool) (bool, error) {
	s, err := newSite(directory, recordPath, 3, []int{189, 244, 244})
	if err != nil {
		return false, err
	}
	if err := s.addEngines(4); err != nil {
		return false, err
	}
	s.putConfig([]map[string]any{rolloutRoute("train")}, []map[string]any{engineService()})
	if err := s.awaitNodes(40 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	client := newClient(false)
	errored, listed := 0, 0
	for k := range 5 {
		id := fmt.Sprintf("c0ffee%02x", k)
		var list []map[string]any
		for i := range 16 {
			item := fmt.Sprintf("%s%02x", id, i)
			path := "/train/" + item
			if trouble {
				path = "/v1/generate/" + item
			}
			list = append(list, map[string]any{
				"id": item, "path": path, "headers": map[string]string{"X-Model": "m0", "X-Token-Usage": "271,20"},
				"body": []byte("prompt of " + item), "tokens": 291, "group": fmt.Sprintf("%s%d", id, i/8),
			})
		}
		data, err := json.Marshal(map[string]any{"step": k, "model": "m0", "min_version": 1, "group_count": 2, "items": list})
		if err != nil {
			return false, err
		}
		a := send(client, s.nodes[k%3].front, http.MethodPost, "/train/"+id, id, 2*time.Second, nil, data)
		s.record.line("submitted", "id", id, "answer", a.String())
		time.Sleep(3 * time.Second)
		a = send(client, s.nodes[(k+1)%3].front, http.MethodGet, "/-/lots/"+id+"?after=0", "", 2*time.Second, nil, nil)
		page, err := decodeResults(a.body)
		if err != nil {
			return false, err
		}
		for _, result := range page.Results {
			listed++
			if result.State == "errored" {
				errored++
			}
		}
		s.record.line("read", "id", id, "answer", a.String(), "total", fmt.Sprint(page.Total), "results", fmt.Sprint(len(page.Results)))
		send(client, s.nodes[0].front, http.MethodDelete, "/-/lots/"+id, "", 2*time.Second, nil, nil)
	}
	s.record.line("verdict", "listed", fmt.Sprint(listed), "errored", fmt.Sprint(errored))
	return errored > 0, nil
}
