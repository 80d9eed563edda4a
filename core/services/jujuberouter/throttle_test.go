package jujuberouter_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeerror"
	router "jujubepier.example/core/services/jujuberouter"
)

// TestThrottledEndpoints guards against requests to endpoints whose rate is used up, and against requests that wait for one until
// their deadline: callers keep sending while first one, then all endpoints of a service allow no more.
func TestThrottledEndpoints(t *testing.T) {
	r := newRouter(2, 0)
	now, id := start, 0
	route := func(priority model.Priority) router.Decision {
		id++
		return r.Route(now, newRequest(id, priority, ""))
	}
	until := now.Add(400 * time.Millisecond)
	r.Throttle("e000", model.PriorityTrainer, until)
	used := map[model.EndpointID]bool{}
	for range 20 {
		used[route(model.PriorityInteractive).Endpoint] = true
		assert.Equal(t, route(model.PriorityTrainer).Endpoint, model.EndpointID("e001"))
	}
	assert.Assert(t, used["e000"], "callers' requests may use an endpoint that only lower priorities can't")

	r.Throttle("e000", model.PriorityInteractive, until)
	for range 20 {
		assert.Equal(t, route(model.PriorityInteractive).Endpoint, model.EndpointID("e001"))
	}

	r.Throttle("e001", model.PriorityInteractive, until.Add(time.Second))
	longest := time.Duration(0)
	for range 20 {
		refused := route(model.PriorityInteractive)
		assert.Equal(t, refused.Kind, router.Refuse)
		assert.Equal(t, refused.Code, jujubeerror.CodeOverloaded)
		assert.Assert(t, refused.RetryAfter >= 400*time.Millisecond && refused.RetryAfter < 800*time.Millisecond, "%v", refused.RetryAfter)
		longest = max(longest, refused.RetryAfter)
	}
	assert.Assert(t, longest > 500*time.Millisecond, "refused callers return together")

	now = until
	assert.Equal(t, route(model.PriorityInteractive).Endpoint, model.EndpointID("e000"))
}

// TestEjectedInsteadOfThrottled guards against refusals while the only endpoint with a permit is one that failed before.
func TestEjectedInsteadOfThrottled(t *testing.T) {
	r := newRouter(2, 0)
	first := r.Route(start, newRequest(1, model.PriorityInteractive, ""))
	r.Finish(start, "1", router.Outcome{ConnectionRefused: true})
	for _, id := range []model.EndpointID{"e000", "e001"} {
		if id != first.Endpoint {
			r.Throttle(id, model.PriorityInteractive, start.Add(time.Second))
		}
	}
	second := r.Route(start, newRequest(2, model.PriorityInteractive, ""))
	assert.Equal(t, second.Endpoint, first.Endpoint)
}
