package jujuberouter_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	model "jujubepier.example/core/models/jujubemodel"
	router "jujubepier.example/core/services/jujuberouter"
)

// TestSecondCopyIsNotHeld guards against a second copy that waits behind other requests while requests are held, and against one that
// passes them while they aren't.
func TestSecondCopyIsNotHeld(t *testing.T) {
	r := newRouter(1, 0)
	r.SetHolding(8)
	at := start.Add(time.Millisecond)
	r.ReportLoad(at, model.LoadReport{Endpoint: "e000", Incarnation: 1, At: at, Running: 16, Waiting: 5, Slots: 16})
	route := func(r *router.Router[router.LeastExpectedWait], id int, isSecond bool) router.DecisionKind {
		request := newRequest(id, model.PriorityInteractive, "")
		request.SecondCopy = isSecond
		return r.Route(at, request).Kind
	}
	for id := range 2 {
		assert.Equal(t, route(r, id, false), router.Dispatch)
	}
	assert.Equal(t, route(r, 2, false), router.Wait)
	assert.Equal(t, route(r, 3, true), router.Dispatch)
	limited := newRouter(1, 1)
	assert.Equal(t, route(limited, 0, false), router.Dispatch)
	assert.Equal(t, route(limited, 1, true), router.Wait)
}
