package jujubenode_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/entry/services/jujubenode"
)

// TestSaidLeavingGetsNoWork sends nothing more to endpoints that said in an answer that they leave, requests and items
// alike, although their entries say that they are ready. Load pattern: servers are replaced under load, and their entries
// change seconds later or never.
func TestSaidLeavingGetsNoWork(t *testing.T) {
	s := newSite(t)
	var mu sync.Mutex
	calls := map[model.EndpointID]int{}
	s.engines.answer = func(_ context.Context, call jujubenode.Call) (jujubenode.Answer, error) {
		mu.Lock()
		defer mu.Unlock()
		calls[call.Endpoint]++
		return jujubenode.Answer{Status: 200, Stamp: "stamp"}, nil
	}
	a, _, _ := s.start("a")
	forward := func(id string) {
		t.Helper()
		_, err := a.Forward(t.Context(), scoringRoute, jujubenode.PlainRequest{
			ID: model.RequestID(id), Method: "GET", URI: "/score/x", Host: "h", Deadline: time.Now().Add(time.Second),
		})
		assert.NilError(t, err)
	}
	a.NoteLeaving("plain0", 0) // an answer of the incarnation before
	for range 40 {
		forward("r")
	}
	assert.Assert(t, calls["plain0"] > 0 && calls["plain1"] > 0)
	before := calls["plain0"]
	a.NoteLeaving("plain0", 1)
	a.NoteLeaving("e1", 1)
	for range 40 {
		forward("r")
	}
	assert.Equal(t, calls["plain0"], before)
	assert.NilError(t, a.Submit(t.Context(), route, newSubmission("s1", 6)))
	readAll(t, a, "s1")
	s.engines.mu.Lock()
	defer s.engines.mu.Unlock()
	assert.DeepEqual(t, s.engines.used, map[model.EndpointID]bool{"e2": true})
	assert.Equal(t, len(s.engines.runs), 6)
}
