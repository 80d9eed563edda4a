package jujuberouter_test

import (
	"fmt"
	"math/rand"
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

// TestFreeServerWhileRestrictedWait guards against a request that waits for the next tick although an endpoint is free, because a retry
// that may not go there waits before it.
func TestFreeServerWhileRestrictedWait(t *testing.T) {
	for _, organisation := range []model.OrganisationName{"o", "p"} {
		r := newRouter(2, 0)
		r.SetHolding(4)
		at := start.Add(time.Millisecond)
		route := func(id int, organisation model.OrganisationName, exclude ...model.EndpointID) router.DecisionKind {
			request := newRequest(id, model.PriorityInteractive, "")
			request.Organisation, request.Exclude = organisation, exclude
			return r.Route(at, request).Kind
		}
		assert.Equal(t, route(0, "o", "e000"), router.Dispatch)
		r.ReportLoad(at, model.LoadReport{Endpoint: "e001", Incarnation: 1, At: at, Slots: 4, Running: 4, Waiting: 3})
		assert.Equal(t, route(1, "o", "e000"), router.Wait)
		assert.Equal(t, route(2, organisation), router.Dispatch, organisation)
	}
}

// TestLowerClassWhileHolding guards against scoring calls that are refused on arrival because of all waiting requests of a higher class,
// of which only maxSkips go before each of them.
func TestLowerClassWhileHolding(t *testing.T) {
	r := router.New(router.LeastExpectedWait{}, router.Settings{Instance: "i", ServiceTime: 50 * time.Millisecond}, rand.New(rand.NewSource(1)))
	r.PutEndpoint(start, model.Endpoint{ID: "e", Kind: model.KindService, Service: "s", Incarnation: 1})
	r.SetHolding(1)
	at := start.Add(time.Millisecond)
	r.ReportLoad(at, model.LoadReport{Endpoint: "e", Incarnation: 1, At: at, Slots: 4, Running: 4, Waiting: 3})
	route := func(id int, priority model.Priority, left time.Duration) router.DecisionKind {
		return r.Route(at, router.Request{
			ID: model.RequestID(fmt.Sprint(id)), Kind: model.KindService, Service: "s", Priority: priority, Arrived: at, Deadline: at.Add(left),
		}).Kind
	}
	for id := range 60 {
		assert.Assert(t, route(id, model.PriorityInteractive, 10*time.Second) != router.Refuse)
	}
	assert.Equal(t, route(60, model.PriorityTrainer, 400*time.Millisecond), router.Wait)
}
