package jujubenode_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubedesired"
	"jujubepier.example/entry/services/jujubenode"
)

// TestSecondTryFollowsTarget checks that a retryable request is hedged only after a fraction of its route's target
// latency. A fixed delay would send every request to a slow service twice.
func TestSecondTryFollowsTarget(t *testing.T) {
	for name, test := range map[string]struct {
		target   time.Duration
		minDelay time.Duration
	}{
		"quick route":    {150 * time.Millisecond, 90 * time.Millisecond},
		"slow route":     {time.Second, 600 * time.Millisecond},
		"without target": {0, 90 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			cluster := newTestCluster(t)
			var mu sync.Mutex
			var calledAt []time.Time
			cluster.engines.respond = func(ctx context.Context, _ jujubenode.Call) (jujubenode.Response, error) {
				mu.Lock()
				calledAt = append(calledAt, time.Now())
				isFirst := len(calledAt) == 1
				mu.Unlock()
				if isFirst {
					<-ctx.Done()
					return jujubenode.Response{}, jujubenode.ErrCall{Ran: model.RanUnknown, Reason: "silent"}
				}
				return jujubenode.Response{Status: 200, Stamp: "stamp"}, nil
			}
			a, _, _ := cluster.start("a")
			route := *scoringRoute
			route.Kind, route.TargetLatency = jujubedesired.Safe, test.target
			startedAt := time.Now()
			response, err := a.Forward(t.Context(), &route, jujubenode.PlainRequest{
				ID: "r", Method: "GET", URI: "/score/x", Host: "h", Deadline: startedAt.Add(20 * time.Second),
			})
			assert.NilError(t, err)
			assert.Equal(t, response.Stamp, "stamp")
			assert.Equal(t, len(calledAt), 2)
			assert.Assert(t, calledAt[1].Sub(startedAt) >= test.minDelay, "the second attempt started after %v", calledAt[1].Sub(startedAt))
		})
	}
}
