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

// TestLeavingEndpointGetsNoWork checks that an endpoint that announced in a response that it is leaving gets no more
// requests and items, although its registry entry is still in the state ready. When servers are replaced under load,
// their entries change seconds later or never.
func TestLeavingEndpointGetsNoWork(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, cluster *testCluster) {
		var mu sync.Mutex
		calls := map[model.EndpointID]int{}
		cluster.engines.respond = func(_ context.Context, call jujubenode.Call) (jujubenode.Response, error) {
			mu.Lock()
			defer mu.Unlock()
			calls[call.Endpoint]++
			return jujubenode.Response{Status: 200, Stamp: "stamp"}, nil
		}
		a, _, _ := cluster.start("a")
		forward := func(id string) {
			t.Helper()
			_, err := a.Forward(t.Context(), scoringRoute, jujubenode.PlainRequest{
				ID: model.RequestID(id), Method: "GET", URI: "/score/x", Host: "h", Deadline: time.Now().Add(time.Second),
			})
			assert.NilError(t, err)
		}
		a.MarkLeaving("plain0", 0) // refers to the previous incarnation and has no effect
		for range 40 {
			forward("r")
		}
		assert.Assert(t, calls["plain0"] > 0 && calls["plain1"] > 0)
		before := calls["plain0"]
		a.MarkLeaving("plain0", 1)
		a.MarkLeaving("e1", 1)
		for range 40 {
			forward("r")
		}
		assert.Equal(t, calls["plain0"], before)
		assert.NilError(t, a.Submit(t.Context(), route, newSubmission("s1", 6)))
		readAll(t, a, "s1")
		cluster.engines.mu.Lock()
		defer cluster.engines.mu.Unlock()
		assert.DeepEqual(t, cluster.engines.used, map[model.EndpointID]bool{"e2": true})
		assert.Equal(t, len(cluster.engines.runs), 6)
	}, "a")
}
