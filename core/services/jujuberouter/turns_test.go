package jujuberouter_test

import (
	"cmp"
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	model "jujubepier.example/core/models/jujubemodel"
	router "jujubepier.example/core/services/jujuberouter"
)

// flow is an organisation that sends requests at a rate.
type flow struct {
	level           int
	perSecond       float64
	arrived, served int
}

// simulateFlows sends the requests of organisations to an endpoint with four slots and counts those that are served in time.
func simulateFlows(flows []flow, seed int64) {
	const slots, service, deadline, length, tick = 4, 25 * time.Millisecond, 150 * time.Millisecond, 20 * time.Second, 50 * time.Millisecond
	random := rand.New(rand.NewSource(seed))
	r := router.New(router.LeastExpectedWait{}, router.Settings{Instance: "i", ServiceTime: service}, rand.New(rand.NewSource(seed)))
	r.SetLimits(model.Limits{Services: map[model.ServiceName]model.ServiceLimits{"s": {MaxInFlightPerEndpoint: slots}}})
	r.PutEndpoint(start, model.Endpoint{ID: "e", Kind: model.KindService, Service: "s", Incarnation: 1})
	r.ReportLoad(start, model.LoadReport{Endpoint: "e", Incarnation: 1, At: start, Slots: slots})
	type event struct {
		at   time.Time
		flow int
		end  model.RequestID
		tick bool
	}
	events := []event{{at: start, tick: true}}
	add := func(e event) {
		at, _ := slices.BinarySearchFunc(events, e, func(a, b event) int { return cmp.Or(a.at.Compare(b.at), -1) })
		events = slices.Insert(events, at, e)
	}
	next := func(now time.Time, i int) {
		add(event{at: now.Add(time.Duration(random.ExpFloat64() / flows[i].perSecond * float64(time.Second))), flow: i})
	}
	owners := map[model.RequestID]int{}
	for i := range flows {
		next(start, i)
	}
	for number := 0; events[0].at.Before(start.Add(length)); number++ {
		e := events[0]
		events = events[1:]
		var decisions []router.Decision
		switch {
		case e.tick:
			decisions = r.Tick(e.at)
			add(event{at: e.at.Add(tick), tick: true})
		case e.end != "":
			decisions = r.Finish(e.at, e.end, router.Outcome{OK: true})
		default:
			next(e.at, e.flow)
			id := model.RequestID(fmt.Sprint(number))
			owners[id] = e.flow
			flows[e.flow].arrived++
			decisions = []router.Decision{r.Route(e.at, router.Request{
				ID: id, Kind: model.KindService, Service: "s", Organisation: model.OrganisationName(fmt.Sprint(e.flow)), Level: flows[e.flow].level,
				Arrived: e.at, Deadline: e.at.Add(deadline),
			})}
		}
		for _, decision := range decisions {
			if decision.Kind == router.Dispatch {
				flows[owners[decision.Request]].served++
				add(event{at: e.at.Add(service), end: decision.Request})
			}
		}
	}
}

// TestSharesOfOrganisations guards against an organisation of which less than a quarter of the share of all is served under overload: one
// that sends most of the requests, one of many small ones, and one of a higher level.
func TestSharesOfOrganisations(t *testing.T) {
	const capacity = 160.0 // 4 slots, 25 ms
	rapid.Check(t, func(t *rapid.T) {
		flows := make([]flow, rapid.IntRange(2, 40).Draw(t, "organisations"))
		total := 0.0
		for i := range flows {
			flows[i].perSecond = float64(rapid.SampledFrom([]int{1, 1, 2, 4, 40}).Draw(t, "weight"))
			flows[i].level = rapid.SampledFrom([]int{0, 0, 1, 2}).Draw(t, "level")
			total += flows[i].perSecond
		}
		load := rapid.Float64Range(1, 4).Draw(t, "load")
		for i := range flows {
			flows[i].perSecond *= load * capacity / total
		}
		simulateFlows(flows, 1)
		arrived, served := 0, 0
		for _, f := range flows {
			arrived, served = arrived+f.arrived, served+f.served
		}
		assert.Assert(t, float64(served) > 0.8*min(float64(arrived), capacity*20), "%d of %d are served", served, arrived)
		for i, f := range flows {
			if f.arrived >= 100 {
				share, all := float64(f.served)/float64(f.arrived), float64(served)/float64(arrived)
				assert.Assert(t, share >= all/4, "%d: %.3f of %d, of all %.3f: %+v", i, share, f.arrived, all, flows)
			}
		}
	})
}

// TestLevelsAndTurns guards against requests of a higher level that are served before those of a lower one, and against an organisation
// with many waiting requests that delays the few of another one.
func TestLevelsAndTurns(t *testing.T) {
	r := newRouter(1, 1)
	route := func(id string, organisation model.OrganisationName, level int) {
		t.Helper()
		request := newRequest(0, model.PriorityInteractive, "")
		request.ID, request.Organisation, request.Level, request.Arrived = model.RequestID(id), organisation, level, start
		assert.Equal(t, r.Route(start, request).Kind == router.Dispatch, id == "first")
	}
	route("first", "x", 0)
	for i := range 6 {
		route(fmt.Sprint("large", i), "large", 0)
		route(fmt.Sprint("low", i), "low", 1)
	}
	route("small", "small", 0)
	order := []string{}
	for current := model.RequestID("first"); len(order) < 7; {
		decisions := r.Finish(start, current, router.Outcome{})
		current = decisions[0].Request
		order = append(order, string(current))
	}
	assert.Assert(t, slices.Contains(order[:3], "small"), "%v", order)
	low := 0
	for _, id := range order {
		if id[:3] == "low" {
			low++
		}
	}
	assert.Assert(t, low <= 1, "%v", order)
}

// TestHolding guards against requests that wait at an endpoint, in the order of their arrival, instead of here, and against requests that
// are held although the endpoint has no waiting ones any more, or doesn't report at all.
func TestHolding(t *testing.T) {
	r := newRouter(1, 0)
	report := func(at time.Time, waiting int) {
		r.ReportLoad(at, model.LoadReport{Endpoint: "e000", Incarnation: 1, At: at, Running: 16, Waiting: waiting, Slots: 16})
	}
	decide := func(at time.Time, id int) router.DecisionKind {
		return r.Route(at, newRequest(id, model.PriorityInteractive, "")).Kind
	}
	at := start.Add(time.Millisecond)
	report(at, 5)
	assert.Equal(t, decide(at, 1), router.Dispatch, "not held without organisations")
	assert.Equal(t, decide(at, 2), router.Dispatch)
	r.SetHolding(8)
	assert.Equal(t, decide(at, 3), router.Wait, "two of sixteen slots are in flight")
	decisions := r.Finish(at, "1", router.Outcome{OK: true})
	assert.Assert(t, len(decisions) == 1 && decisions[0].Request == "3" && decisions[0].Kind == router.Dispatch)
	assert.Equal(t, decide(at, 4), router.Wait)
	report(at.Add(time.Millisecond), 0)
	assert.Equal(t, len(r.Tick(at.Add(time.Millisecond))), 1)
	report(at.Add(2*time.Millisecond), 5)
	assert.Equal(t, decide(at.Add(2*time.Millisecond), 5), router.Wait)
	assert.Equal(t, len(r.Tick(at.Add(time.Second))), 1, "the report is old")
}
