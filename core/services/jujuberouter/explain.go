package jujuberouter

import (
	"math/rand"
	"slices"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/models/jujubetable"
)

// Explain returns what Route would do with a request now, and why. It runs the steps of Route up to the policy's choice on a copy of
// the state that they change, so the router's later decisions are the same as without it.
func (r *Router[P]) Explain(now time.Time, request Request) model.RouteExplanation {
	trial, p := r.newTrial(request)
	req, decision, refused := trial.admit(now, request)
	if !refused {
		decision = Decision{Kind: Wait}
		if trial.mayDispatch(req) {
			decision = trial.findCandidates(now, req)
		}
	}
	explanation := model.RouteExplanation{Instance: r.settings.Instance, Policy: r.policy.Name()}
	switch decision.Kind {
	case Dispatch:
		decision.Reason = "chosen by policy"
		explanation.Choices = trial.listChoices()
	case Wait:
		decision = trial.enqueueOrRefuse(now, req)
	}
	explanation.Decision, explanation.Reason, explanation.Code = string(decision.Kind), decision.Reason, decision.Code
	explanation.RetryAfter, explanation.ExpectedWait = model.Duration(decision.RetryAfter), model.Duration(decision.ExpectedWait)
	explanation.HeldElsewhere = decision.HeldElsewhere
	if p == nil {
		return explanation
	}
	request.Priority = clampPriority(request.Priority)
	explanation.Endpoints = trial.explainEndpoints(now, p, &request)
	// A second copy, as the first one may hold the request itself.
	_, p = r.newTrial(request)
	own := &trackedRequest{request: request, pool: p}
	own.trainer, _ = r.trainers.Get(request.Trainer)
	own.key = newQueueKey(own)
	p.classes[request.Priority].recordArrival(own)
	for priority := range p.classes {
		explanation.Queue = append(explanation.Queue, model.ClassExplanation{
			Priority: model.Priority(priority), Waiting: p.classes[priority].length, Ahead: p.isAhead(priority, own, r.holdMembers > 0),
		})
	}
	return explanation
}

// newTrial returns a copy of the router on which a request can be admitted and queued, but not dispatched, and the copy of the
// request's pool, nil if there is none. Endpoints and trainers are shared, as only dispatches change them. Waiting requests are shared,
// too, but not the slices that hold them.
func (r *Router[P]) newTrial(request Request) (*Router[P], *pool) {
	trial := *r
	trial.random = rand.New(lowestSource{})
	trial.candidates, trial.readyQueues = nil, nil
	trial.requests = make(map[model.RequestID]*trackedRequest)
	if req, ok := r.requests[request.ID]; ok {
		trial.requests[request.ID] = req
	}
	trial.callers = make(map[model.CallerID]*callerState)
	if c, ok := r.callers[request.Caller]; ok {
		state := *c
		trial.callers[request.Caller] = &state
	}
	trial.pools = make(map[poolKey]*pool)
	key := newPoolKey(request.Kind, request.Model, request.Service)
	original, ok := r.pools[key]
	if !ok {
		return &trial, nil
	}
	r.refresh(original)
	p := *original
	for i := range p.classes {
		p.classes[i] = p.classes[i].clone()
	}
	trial.pools[key] = &p
	return &trial, &p
}

// clone returns a copy of the class that shares the waiting requests.
func (c *priorityClass) clone() priorityClass {
	result := *c
	result.queues = jujubetable.New[queueKey, *flowQueue]()
	for key, q := range c.queues.All() {
		queue := *q
		queue.requests = slices.Clip(queue.requests)
		result.queues.Put(key, &queue)
	}
	result.virtualTimes = make(map[int]float64, len(c.virtualTimes))
	for level, at := range c.virtualTimes {
		result.virtualTimes[level] = at
	}
	return result
}

// listChoices returns the ids of the candidates that the policy can choose, sorted.
func (r *Router[P]) listChoices() []model.EndpointID {
	var choices []model.EndpointID
	bounded, isBounded := any(r.policy).(interface{ mayChoose([]Candidate) []bool })
	var may []bool
	if isBounded {
		may = bounded.mayChoose(r.candidates)
	}
	for i := range r.candidates {
		if !isBounded || may[i] {
			choices = append(choices, r.candidates[i].Endpoint)
		}
	}
	slices.Sort(choices)
	return choices
}

// explainEndpoints describes all endpoints of a pool for a request.
func (r *Router[P]) explainEndpoints(now time.Time, p *pool, request *Request) []model.EndpointExplanation {
	r.collectCandidates(now, p, request)
	r.preferVersion(request.PreferVersion)
	anyHealthy, prompt := p.hasHealthy(now, request.Priority), r.promptOf(request)
	list := make([]model.EndpointExplanation, 0, p.endpoints.Len())
	for id, e := range p.endpoints.All() {
		c := r.estimate(now, p, e, request, prompt)
		explained := model.EndpointExplanation{
			Endpoint: id, ExpectedWait: model.Duration(c.Cost.Wait), Slowdown: model.Duration(c.Cost.Slowdown),
			Prefill: model.Duration(c.Cost.Prefill), Delayed: model.Duration(c.Delayed),
			Running: c.Running, Waiting: c.Waiting, InFlight: c.InFlight, Share: -1, KeepsPrompt: c.Cached,
		}
		if e.limited {
			explained.Share = e.instanceLimit
		}
		if !slices.ContainsFunc(r.candidates, func(c Candidate) bool { return c.Endpoint == id }) {
			explained.Excluded = r.exclusion(now, e, request, anyHealthy)
			switch {
			case explained.Excluded != "":
			case !e.watched && len(request.Only) == 0:
				explained.Excluded = model.ExcludedNotWatched
			default:
				explained.Excluded = model.ExcludedOldVersion // than PreferVersion
			}
		}
		list = append(list, explained)
	}
	return list
}

// lowestSource makes the random parts of retry-after times zero, so that an explanation has their lower bounds.
type lowestSource struct{}

// Int63 returns zero.
func (lowestSource) Int63() int64 { return 0 }

// Seed does nothing.
func (lowestSource) Seed(int64) {}
