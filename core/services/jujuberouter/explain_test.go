package jujuberouter_test

import (
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

// newExplained returns a router with limits of each kind, and a throttled, an ejected, a drained and a full endpoint at times.
func newExplained(seed int64) *router.Router[router.LeastExpectedWait] {
	r := router.New(router.LeastExpectedWait{}, router.Settings{Instance: "i", MaxQueued: 8, MaxWatched: 4}, rand.New(rand.NewSource(seed)))
	r.SetLimits(model.Limits{
		Trainers: map[model.TrainerID]model.TrainerLimits{"a": {Share: 1, MaxInFlight: 3}, "b": {Share: 3, MaxInFlight: 9}},
		Models:   map[model.ModelName]model.ModelLimits{"m": {MaxInFlightPerEndpoint: 3}},
		Callers:  map[model.CallerID]model.CallerLimits{"c": {RequestsPerSecond: 3, MaxInFlight: 6}},
	})
	r.SetHolding(2)
	return r
}

func drawExplained(t *rapid.T, now time.Time, id int) router.Request {
	request := router.Request{
		ID: model.RequestID(fmt.Sprintf("r%d", id)), Kind: model.KindEngine, Model: "m", Prefix: uint64(rapid.IntRange(0, 3).Draw(t, "prefix")),
		Caller:       rapid.SampledFrom([]model.CallerID{"", "c"}).Draw(t, "caller"),
		Trainer:      rapid.SampledFrom([]model.TrainerID{"", "a", "b"}).Draw(t, "trainer"),
		Organisation: rapid.SampledFrom([]model.OrganisationName{"", "x", "y"}).Draw(t, "organisation"),
		Level:        rapid.IntRange(0, 1).Draw(t, "level"),
		Priority:     model.Priority(rapid.IntRange(-1, 3).Draw(t, "priority")), Tokens: 50,
		Deadline:      now.Add(time.Duration(rapid.IntRange(0, 30000).Draw(t, "deadline")) * time.Millisecond),
		MinVersion:    model.WeightVersion(rapid.IntRange(0, 1).Draw(t, "min")),
		PreferVersion: model.WeightVersion(rapid.IntRange(0, 2).Draw(t, "prefer")), Retry: rapid.Bool().Draw(t, "retry"),
	}
	if rapid.IntRange(0, 3).Draw(t, "restricted") == 0 {
		request.Exclude, request.Only = []model.EndpointID{drawEndpointID(t)}, []model.EndpointID{drawEndpointID(t), drawEndpointID(t)}
	}
	return request
}

// checkExplanation compares an explanation with the decision of the same router on the same request.
func checkExplanation(t *rapid.T, e model.RouteExplanation, d router.Decision) {
	assert.Equal(t, e.Decision, string(d.Kind), "%+v", e)
	assert.Equal(t, e.Code, d.Code)
	assert.Equal(t, e.HeldElsewhere, d.HeldElsewhere)
	after := e.RetryAfter.Std()
	assert.Assert(t, after <= d.RetryAfter && d.RetryAfter <= 2*after, "retry-after %s, explained %s", d.RetryAfter, after)
	usable := 0
	for _, endpoint := range e.Endpoints {
		if endpoint.Excluded == "" {
			usable++
		}
	}
	switch d.Kind {
	case router.Dispatch:
		assert.Assert(t, slices.Contains(e.Choices, d.Endpoint), "%s isn't in %v", d.Endpoint, e.Choices)
		assert.Equal(t, usable, d.Considered, "candidates in %+v", e.Endpoints)
		at := slices.IndexFunc(e.Endpoints, func(x model.EndpointExplanation) bool { return x.Endpoint == d.Endpoint })
		chosen := e.Endpoints[at]
		assert.Equal(t, chosen.Excluded, model.Exclusion(""))
		assert.DeepEqual(t, []any{chosen.ExpectedWait.Std(), chosen.Running, chosen.Waiting, chosen.InFlight, chosen.KeepsPrompt},
			[]any{d.ExpectedWait, d.Running, d.Waiting, d.InFlight, d.CachedPrefix})
	default:
		assert.Equal(t, e.Reason, d.Reason)
		assert.Equal(t, e.ExpectedWait.Std(), d.ExpectedWait)
	}
}

// TestExplainChangesNothing guards against an explanation that changes a later decision, and against one that differs from the
// decision. One of two routers with the same random numbers and inputs explains each request before it decides.
func TestExplainChangesNothing(t *testing.T) {
	kinds := map[router.DecisionKind]int{}
	excluded := map[model.Exclusion]int{}
	rapid.Check(t, func(t *rapid.T) {
		now, next := time.Unix(1000, 0), 0
		plain, explained := newExplained(1), newExplained(1)
		both := func(call func(*router.Router[router.LeastExpectedWait]) []router.Decision) {
			assert.DeepEqual(t, call(explained), call(plain))
		}
		var sent []model.RequestID
		do := func(call func(*router.Router[router.LeastExpectedWait])) { call(plain); call(explained) }
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				assert.DeepEqual(t, explained.Queues(), plain.Queues())
				assert.DeepEqual(t, explained.Endpoints(now), plain.Endpoints(now))
			},
			"Put": func(t *rapid.T) {
				id, incarnation := drawEndpointID(t), model.Incarnation(rapid.IntRange(1, 3).Draw(t, "incarnation"))
				do(func(r *router.Router[router.LeastExpectedWait]) {
					r.PutEndpoint(now, model.Endpoint{ID: id, Kind: model.KindEngine, Model: "m", Incarnation: incarnation})
				})
			},
			"Change": func(t *rapid.T) {
				id, which, priority := drawEndpointID(t), rapid.IntRange(0, 3).Draw(t, "which"), model.Priority(rapid.IntRange(0, 2).Draw(t, "priority"))
				do(func(r *router.Router[router.LeastExpectedWait]) {
					switch which {
					case 0:
						r.MarkLeaving(now, id)
					case 1:
						r.ClearLeaving(id)
					case 2:
						r.Throttle(id, priority, now.Add(time.Second))
					default:
						r.RemoveEndpoint(now, id)
					}
				})
			},
			"Load": func(t *rapid.T) {
				report := model.LoadReport{
					Endpoint: drawEndpointID(t), Incarnation: 3, At: now, Running: rapid.IntRange(0, 8).Draw(t, "running"), Slots: 4,
					Waiting: rapid.IntRange(0, 2).Draw(t, "waiting"), Version: model.WeightVersion(rapid.IntRange(0, 2).Draw(t, "version")),
				}
				do(func(r *router.Router[router.LeastExpectedWait]) { r.ReportLoad(now, report) })
			},
			"Route": func(t *rapid.T) {
				for range rapid.IntRange(1, 6).Draw(t, "requests") {
					next++
					request := drawExplained(t, now, next)
					explanation := explained.Explain(now, request)
					both(func(r *router.Router[router.LeastExpectedWait]) []router.Decision {
						decision := r.Route(now, request)
						if r == explained {
							checkExplanation(t, explanation, decision)
							kinds[decision.Kind]++
						}
						return []router.Decision{decision}
					})
					for _, e := range explanation.Endpoints {
						excluded[e.Excluded]++
					}
					sent = append(sent, request.ID)
				}
			},
			"Finish": func(t *rapid.T) {
				id := rapid.SampledFrom(append([]model.RequestID{"unknown"}, sent...)).Draw(t, "request")
				outcome := router.Outcome{OK: rapid.Bool().Draw(t, "ok")}
				outcome.ConnectionRefused = !outcome.OK
				both(func(r *router.Router[router.LeastExpectedWait]) []router.Decision { return r.Finish(now, id, outcome) })
			},
			"Tick": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "step")) * time.Millisecond)
				both(func(r *router.Router[router.LeastExpectedWait]) []router.Decision { return r.Tick(now) })
			},
		})
	})
	for _, kind := range []router.DecisionKind{router.Dispatch, router.Wait, router.Refuse} {
		assert.Assert(t, kinds[kind] > 50, "decisions: %v", kinds)
	}
	assert.Assert(t, len(excluded) >= 8, "exclusions: %v", excluded)
	t.Logf("decisions: %v, exclusions: %v", kinds, excluded)
}
