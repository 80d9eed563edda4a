package jujuberouter_test

import (
	"flag"
	"fmt"
	"math/rand"
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	model "jujubepier.example/core/models/jujubemodel"
	router "jujubepier.example/core/services/jujuberouter"
)

func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20", "rapid.steps": "60"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// reference is the reference model of the property test: the router's inputs and the decisions that it has made.
type reference struct {
	t        *rapid.T
	router   *router.Router[router.LeastExpectedWait]
	now      time.Time
	next     int
	requests map[model.RequestID]router.Request
	waiting  map[model.RequestID]bool
	running  map[model.RequestID]model.EndpointID
	present  map[model.EndpointID]model.Incarnation
	leaving  map[model.EndpointID]bool
	loads    map[model.EndpointID]model.LoadReport
}

func drawEndpointID(t *rapid.T) model.EndpointID {
	return model.EndpointID(fmt.Sprintf("e%d", rapid.IntRange(0, 5).Draw(t, "endpoint")))
}

// drawRequestID draws a request of a map, or an unknown one.
func drawRequestID[V any](t *rapid.T, requests map[model.RequestID]V) model.RequestID {
	ids := []model.RequestID{"unknown"}
	for id := range requests {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return rapid.SampledFrom(ids).Draw(t, "request")
}

// apply checks the decisions of one call and applies them to the model.
func (s *reference) apply(decisions []router.Decision) {
	for _, d := range decisions {
		assert.Assert(s.t, s.waiting[d.Request], "decision on a request that isn't waiting: %+v", d)
		if d.Kind == router.Wait {
			continue
		}
		delete(s.waiting, d.Request)
		if d.Kind == router.Refuse {
			continue
		}
		incarnation, ok := s.present[d.Endpoint]
		assert.Assert(s.t, ok && !s.leaving[d.Endpoint], "dispatched to a removed or leaving endpoint: %+v", d)
		assert.Equal(s.t, d.Incarnation, incarnation)
		request := s.requests[d.Request]
		assert.Assert(s.t, !slices.Contains(request.Exclude, d.Endpoint))
		assert.Assert(s.t, len(request.Only) == 0 || slices.Contains(request.Only, d.Endpoint))
		assert.Assert(s.t, s.loads[d.Endpoint].Version >= request.MinVersion)
		s.running[d.Request] = d.Endpoint
	}
	dispatched := func(match func(router.Decision) bool) bool {
		return slices.ContainsFunc(decisions, func(d router.Decision) bool { return d.Kind == router.Dispatch && match(d) })
	}
	for _, e := range s.router.Endpoints(s.now) {
		if dispatched(func(d router.Decision) bool { return d.Endpoint == e.Endpoint.ID }) {
			assert.Assert(s.t, e.InFlight <= e.Share, "share of an endpoint exceeded: %+v", e)
		}
	}
	for _, share := range s.router.TrainerShares() {
		if dispatched(func(d router.Decision) bool { return s.requests[d.Request].Trainer == share.Trainer }) {
			assert.Assert(s.t, share.InFlight <= share.Share, "share of a trainer exceeded: %+v", share)
		}
	}
}

// check compares the router's counts with the model's.
func (s *reference) check(t *rapid.T) {
	counts := make(map[model.EndpointID]int)
	trainers := make(map[model.TrainerID]int)
	for id, endpoint := range s.running {
		counts[endpoint]++
		trainers[s.requests[id].Trainer]++
	}
	for _, e := range s.router.Endpoints(s.now) {
		assert.Equal(t, e.InFlight, counts[e.Endpoint.ID], "in flight on %s", e.Endpoint.ID)
		if last := s.loads[e.Endpoint.ID]; last.Incarnation == e.Load.Incarnation {
			assert.Assert(t, !e.Load.At.Before(last.At), "a late report replaced a newer one")
		}
		s.loads[e.Endpoint.ID] = e.Load
	}
	for _, share := range s.router.TrainerShares() {
		assert.Equal(t, share.InFlight, trainers[share.Trainer], "in flight of %s", share.Trainer)
	}
	assert.Equal(t, s.router.QueueLength(), len(s.waiting))
}

// TestRouterInvariants guards against counts that leak, dispatches that a limit or an endpoint's state forbids, and decisions
// that are lost or made twice.
func TestRouterInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &reference{
			t: t, now: time.Unix(1000, 0), requests: map[model.RequestID]router.Request{}, waiting: map[model.RequestID]bool{},
			running: map[model.RequestID]model.EndpointID{}, present: map[model.EndpointID]model.Incarnation{},
			leaving: map[model.EndpointID]bool{}, loads: map[model.EndpointID]model.LoadReport{},
		}
		s.router = router.New(router.LeastExpectedWait{}, router.Settings{Instance: "i", MaxQueued: 8}, rand.New(rand.NewSource(1)))
		s.router.SetLimits(model.Limits{
			Trainers: map[model.TrainerID]model.TrainerLimits{"a": {Share: 1, MaxInFlight: 3}, "b": {Share: 3, MaxInFlight: 9}},
			Models:   map[model.ModelName]model.ModelLimits{"m": {MaxInFlightPerEndpoint: 3}},
			Callers:  map[model.CallerID]model.CallerLimits{"c": {RequestsPerSecond: 50, MaxInFlight: 12}},
		})
		t.Repeat(map[string]func(*rapid.T){
			"": s.check,
			"Put": func(t *rapid.T) {
				id := drawEndpointID(t)
				if rapid.Bool().Draw(t, "restart") || s.present[id] == 0 {
					s.next++
					s.present[id], s.leaving[id] = model.Incarnation(s.next), false
					s.loads[id] = model.LoadReport{}
				}
				s.router.PutEndpoint(s.now, model.Endpoint{ID: id, Kind: model.KindEngine, Model: "m", Incarnation: s.present[id]})
			},
			"Leave": func(t *rapid.T) {
				id := drawEndpointID(t)
				s.router.MarkLeaving(s.now, id)
				s.leaving[id] = true
			},
			"Remove": func(t *rapid.T) {
				id := drawEndpointID(t)
				s.router.RemoveEndpoint(s.now, id)
				delete(s.present, id)
			},
			"Load": func(t *rapid.T) {
				id := drawEndpointID(t)
				s.router.ReportLoad(s.now, model.LoadReport{
					Endpoint: id, Incarnation: s.present[id] - model.Incarnation(rapid.IntRange(0, 1).Draw(t, "old")),
					At:      s.now.Add(-time.Duration(rapid.IntRange(0, 3000).Draw(t, "late")) * time.Millisecond),
					Running: rapid.IntRange(0, 8).Draw(t, "running"), Slots: 8, TokensPerSecond: 50,
					Version: model.WeightVersion(rapid.IntRange(0, 2).Draw(t, "version")),
				})
			},
			"Members": func(t *rapid.T) {
				live := rapid.IntRange(1, 3).Draw(t, "live")
				s.router.SetMembers(live, rapid.IntRange(0, live-1).Draw(t, "rank"))
			},
			"Route": func(t *rapid.T) {
				for range rapid.IntRange(1, 6).Draw(t, "requests") {
					s.next++
					request := router.Request{
						ID: model.RequestID(fmt.Sprintf("r%d", s.next)), Kind: model.KindEngine, Model: "m", Prefix: uint64(s.next % 3),
						Caller:   rapid.SampledFrom([]model.CallerID{"", "c"}).Draw(t, "caller"),
						Trainer:  rapid.SampledFrom([]model.TrainerID{"", "a", "b"}).Draw(t, "trainer"),
						Priority: model.Priority(rapid.IntRange(0, 2).Draw(t, "priority")), Tokens: 50,
						Deadline:   s.now.Add(time.Duration(rapid.IntRange(0, 9000).Draw(t, "deadline")) * time.Millisecond),
						MinVersion: model.WeightVersion(rapid.IntRange(0, 1).Draw(t, "min")), Retry: rapid.Bool().Draw(t, "retry"),
					}
					if rapid.Bool().Draw(t, "restricted") {
						request.Exclude = []model.EndpointID{drawEndpointID(t)}
						request.Only = []model.EndpointID{drawEndpointID(t), drawEndpointID(t)}
					}
					s.requests[request.ID], s.waiting[request.ID] = request, true
					s.apply([]router.Decision{s.router.Route(s.now, request)})
				}
			},
			"Finish": func(t *rapid.T) {
				id := drawRequestID(t, s.running)
				delete(s.running, id)
				outcome := router.Outcome{OK: rapid.Bool().Draw(t, "ok"), Tokens: 20}
				outcome.Failed = !outcome.OK && rapid.Bool().Draw(t, "failed")
				s.apply(s.router.Finish(s.now, id, outcome))
			},
			"Cancel": func(t *rapid.T) {
				id := drawRequestID(t, s.requests)
				delete(s.running, id)
				s.apply(s.router.Cancel(s.now, id))
				assert.Assert(t, !s.waiting[id], "cancelled without a final decision")
			},
			"Tick": func(t *rapid.T) {
				s.now = s.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "step")) * time.Millisecond)
				s.apply(s.router.Tick(s.now))
				for id := range s.waiting {
					assert.Assert(t, s.now.Before(s.requests[id].Deadline), "%s waits past its deadline", id)
				}
			},
		})
	})
}

// TestSharesAddUp guards against instances' shares that don't add up to the limit.
func TestSharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		live, limit := rapid.IntRange(1, 40).Draw(t, "live"), rapid.IntRange(1, 100).Draw(t, "limit")
		plain, trainers, endpoints := 0, 0, 0
		for rank := range live {
			r := router.New(router.Random{}, router.Settings{}, rand.New(rand.NewSource(1)))
			r.SetMembers(live, rank)
			r.SetLimits(model.Limits{
				Trainers: map[model.TrainerID]model.TrainerLimits{"a": {MaxInFlight: limit}},
				Models:   map[model.ModelName]model.ModelLimits{"m": {MaxInFlightPerEndpoint: limit}},
			})
			r.PutEndpoint(time.Unix(1, 0), model.Endpoint{ID: "e", Kind: model.KindEngine, Model: "m"})
			plain += router.Share(limit, live, rank)
			trainers += r.TrainerShares()[0].Share
			endpoints += r.Endpoints(time.Unix(1, 0))[0].Share
		}
		assert.DeepEqual(t, []int{plain, trainers, endpoints}, []int{limit, limit, limit})
	})
}
