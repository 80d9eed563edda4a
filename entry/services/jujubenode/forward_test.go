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

// TestSecondTryFollowsTarget sends a request that may be repeated to a second endpoint after a part of its route's target
// latency, so that slow services aren't asked twice for each request.
func TestSecondTryFollowsTarget(t *testing.T) {
	for name, c := range map[string]struct {
		target time.Duration
		least  time.Duration
	}{
		"quick route":    {150 * time.Millisecond, 90 * time.Millisecond},
		"slow route":     {time.Second, 600 * time.Millisecond},
		"without target": {0, 90 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			var mu sync.Mutex
			var asked []time.Time
			s.engines.answer = func(ctx context.Context, _ jujubenode.Call) (jujubenode.Answer, error) {
				mu.Lock()
				asked = append(asked, time.Now())
				isFirst := len(asked) == 1
				mu.Unlock()
				if isFirst {
					<-ctx.Done()
					return jujubenode.Answer{}, jujubenode.ErrCall{Ran: model.RanUnknown, Reason: "silent"}
				}
				return jujubenode.Answer{Status: 200, Stamp: "stamp"}, nil
			}
			a, _, _ := s.start("a")
			route := *scoringRoute
			route.Kind, route.TargetLatency = jujubedesired.Safe, c.target
			began := time.Now()
			answer, err := a.Forward(t.Context(), &route, jujubenode.PlainRequest{
				ID: "r", Method: "GET", URI: "/score/x", Host: "h", Deadline: began.Add(20 * time.Second),
			})
			assert.NilError(t, err)
			assert.Equal(t, answer.Stamp, "stamp")
			assert.Equal(t, len(asked), 2)
			assert.Assert(t, asked[1].Sub(began) >= c.least, "the second try began after %v", asked[1].Sub(began))
		})
	}
}
