package jujuberouter

import (
	"math/rand"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/models/jujubetable"
	"jujubepier.example/core/modules/jujubeerror"
	"jujubepier.example/core/services/jujubeprompt"
)

// minRetryAfter is the lower bound of retry-after times. It keeps refused callers from retrying within a round trip or two.
const minRetryAfter = 100 * time.Millisecond

// defaultRetryAfter is the retry-after time of refusals that last until the membership or the endpoint list changes, and of an
// exhausted retry budget.
const defaultRetryAfter = time.Second

// Router chooses endpoints for requests, queues requests and applies limits. It isn't safe for concurrent use: one goroutine
// owns it.
type Router[P Policy] struct {
	policy   P
	settings Settings
	random   *rand.Rand
	limits   model.Limits
	// liveCount is the number of live entry instances and rank this instance's index in their sorted ids, both as this
	// instance sees them; 0 <= rank, 1 <= liveCount. The rank decides which instances get the remainder of a limit (see
	// Share).
	liveCount, rank int
	// holdMembers is the number of instances among which requests are held, 0 if they aren't.
	holdMembers int

	endpoints *jujubetable.Table[model.EndpointID, *endpointState]
	// pools holds the endpoints and queues of each model or plain service.
	pools map[poolKey]*pool
	// poolOrder holds the pools in order of creation.
	poolOrder []*pool
	trainers  *jujubetable.Table[model.TrainerID, *trainerState]
	callers   map[model.CallerID]*callerState
	// requests holds the requests that wait or are in flight.
	requests map[model.RequestID]*trackedRequest
	// queued is the number of waiting requests.
	queued int
	// retryTokens is the rest of the retry budget.
	retryTokens float64
	// rates are the speeds by which the cost of a prompt is computed.
	rates jujubeprompt.Rates
	// nextCleanup is when the state of removed endpoints is deleted next.
	nextCleanup time.Time

	candidates  []Candidate  // buffer that collectCandidates reuses
	readyQueues []*flowQueue // buffer that dispatchFromClass reuses
}

// trackedRequest is a request that waits (queue is set) or is in flight (endpoint is set).
type trackedRequest struct {
	request      Request
	pool         *pool
	trainer      *trainerState
	caller       *callerState
	queue        *flowQueue
	key          queueKey
	endpoint     *endpointState
	dispatched   time.Time
	expectedWait time.Duration
}

// New returns a router without endpoints or limits.
func New[P Policy](policy P, settings Settings, random *rand.Rand) *Router[P] {
	settings = settings.withDefaults()
	return &Router[P]{
		policy: policy, settings: settings, random: random, liveCount: 1,
		endpoints: jujubetable.New[model.EndpointID, *endpointState](),
		pools:     make(map[poolKey]*pool),
		trainers:  jujubetable.New[model.TrainerID, *trainerState](),
		callers:   make(map[model.CallerID]*callerState),
		requests:  make(map[model.RequestID]*trackedRequest), retryTokens: settings.RetryBurst,
		rates: jujubeprompt.DefaultRates(),
	}
}

// SetLimits applies the limits of an environment document. Requests that exceed a lowered limit stay in flight.
func (r *Router[P]) SetLimits(limits model.Limits) {
	r.limits = limits
	r.updateShares()
}

// SetMembers sets the number of live entry instances, by which limits are divided, and the index of this one in their sorted ids.
func (r *Router[P]) SetMembers(liveCount, rank int) {
	if r.liveCount == max(liveCount, 1) && r.rank == max(rank, 0) {
		return
	}
	r.liveCount, r.rank = max(liveCount, 1), max(rank, 0)
	r.updateShares()
}

// updateShares recomputes this instance's shares of the trainers' limits and invalidates the pools.
func (r *Router[P]) updateShares() {
	for _, p := range r.poolOrder {
		p.stale = true
	}
	for id := range r.limits.Trainers {
		if _, ok := r.trainers.Get(id); !ok {
			r.trainers.Put(id, &trainerState{id: id})
		}
	}
	for id, t := range r.trainers.All() {
		limits := r.limits.Trainers[id] // zero, that is unlimited, for a trainer that the document no longer names
		t.weight = limits.Share
		t.instanceLimit, t.limited = r.ownShare("trainer/"+string(id), limits.MaxInFlight)
	}
}

// Route decides on a new request: it dispatches it, queues it or refuses it.
func (r *Router[P]) Route(now time.Time, request Request) Decision {
	req, decision, refused := r.admit(now, request)
	if refused {
		return decision
	}
	if r.mayDispatch(req) {
		if decision := r.tryDispatch(now, req); decision.Kind != Wait {
			return decision
		}
	}
	return r.enqueueOrRefuse(now, req)
}

// mayDispatch reports whether a new request may be dispatched before those that wait.
func (r *Router[P]) mayDispatch(req *trackedRequest) bool {
	return r.queued == 0 || req.request.Held || req.request.SecondCopy && r.holdMembers > 0 || !req.pool.mustQueue(req, r.holdMembers > 0)
}

// admit checks a new request against the limits, charges it to them and counts it. It returns true with a refusal.
func (r *Router[P]) admit(now time.Time, request Request) (*trackedRequest, Decision, bool) {
	req := &trackedRequest{request: request}
	if request.Deadline.IsZero() {
		req.request.Deadline = now.Add(r.settings.MaxWait)
	}
	req.request.Priority = clampPriority(request.Priority)
	if _, ok := r.requests[request.ID]; ok {
		return nil, r.refuse(req, jujubeerror.CodeConflict, "a request with this id is waiting or in flight", 0), true
	}
	if !now.Before(req.request.Deadline) {
		return nil, r.refuse(req, jujubeerror.CodeDeadline, "the deadline has passed", 0), true
	}
	var ok bool
	if req.pool, ok = r.pools[newPoolKey(request.Kind, request.Model, request.Service)]; !ok {
		return nil, r.refuse(req, jujubeerror.CodeNoEndpoint, "no endpoint is known", defaultRetryAfter), true
	}
	req.trainer, _ = r.trainers.Get(request.Trainer)
	req.key = newQueueKey(req)
	if t := req.trainer; t != nil && t.limited && t.instanceLimit == 0 && !request.Held {
		return nil, r.refuseZeroShare(req, "other instances hold the trainer's limit"), true
	}
	if decision, refused := r.chargeLimits(now, req); refused {
		return nil, decision, true
	}
	r.requests[request.ID] = req
	req.pool.classes[req.request.Priority].recordArrival(req)
	if req.caller != nil {
		req.caller.active++
	}
	return req, Decision{}, false
}

// enqueueOrRefuse queues a request, or refuses it when the queue is full or the request would be dispatched too late.
func (r *Router[P]) enqueueOrRefuse(now time.Time, req *trackedRequest) Decision {
	p := req.pool
	r.refresh(p)
	ahead := 0
	if c := &p.classes[req.request.Priority]; c.length > 0 {
		ahead = len(c.queueFor(req).requests)
	}
	wait := r.estimateQueueWait(p, req, ahead+1)
	if late := now.Add(wait + p.requiredServiceTime(now, &req.request)).Sub(req.request.Deadline); late > 0 {
		return r.refuseLate(now, req, wait, late)
	}
	if r.queued >= r.settings.MaxQueued {
		untilFree := time.Duration(float64(time.Second) / p.dequeueRate())
		return r.refuse(req, jujubeerror.CodeOverloaded, "the queue is full", max(untilFree, minRetryAfter))
	}
	r.enqueue(p, req)
	return Decision{
		Request: req.request.ID, Kind: Wait, Reason: "all endpoints or limits are at capacity", Policy: r.policy.Name(),
		Considered: len(r.candidates), ExpectedWait: wait, InFlight: p.inFlight,
	}
}

// tryDispatch dispatches or refuses a request; both are final. It returns Wait, and changes nothing, when neither applies yet.
func (r *Router[P]) tryDispatch(now time.Time, req *trackedRequest) Decision {
	if decision := r.findCandidates(now, req); decision.Kind != Dispatch {
		return decision
	}
	return r.dispatch(now, req, &r.candidates[r.policy.Choose(r.candidates, &req.request, r.random)])
}

// findCandidates fills r.candidates and returns Dispatch when one of them is to be chosen, Wait, or a refusal.
func (r *Router[P]) findCandidates(now time.Time, req *trackedRequest) Decision {
	if late := r.lateness(now, req, 0); req.queue != nil && late > 0 {
		return r.refuseLate(now, req, 0, late)
	}
	r.candidates = r.candidates[:0]
	if !req.trainer.hasCapacity() && !req.request.Held {
		return Decision{Kind: Wait}
	}
	found := r.collectCandidates(now, req.pool, &req.request)
	if found.allowed == 0 {
		return r.refuse(req, jujubeerror.CodeNoEndpoint, "no endpoint may take the request", defaultRetryAfter)
	}
	if found.zeroShare {
		return r.refuseZeroShare(req, "other instances hold the endpoints' limits")
	}
	if found.throttled == found.allowed {
		return r.refuseThrottled(now, req, found.throttledUntil)
	}
	if len(r.candidates) == 0 {
		return Decision{Kind: Wait}
	}
	r.preferVersion(req.request.PreferVersion)
	least := r.candidates[0].ExpectedWait
	for i := range r.candidates {
		least = min(least, r.candidates[i].ExpectedWait)
	}
	if late := now.Add(least).Sub(req.request.Deadline); late > 0 {
		return r.refuseLate(now, req, least, late)
	}
	return Decision{Kind: Dispatch}
}

// dispatch assigns a request to the chosen candidate and updates all counts.
func (r *Router[P]) dispatch(now time.Time, req *trackedRequest, c *Candidate) Decision {
	e, p := c.state, req.pool
	r.dequeue(req)
	req.endpoint, req.dispatched, req.expectedWait = e, now, c.ExpectedWait
	decision := Decision{
		Request: req.request.ID, Kind: Dispatch, Endpoint: e.endpoint.ID, Address: e.endpoint.Address,
		Incarnation: e.endpoint.Incarnation, SoftwareVersion: e.endpoint.SoftwareVersion, Reason: "chosen by policy", Policy: r.policy.Name(),
		Considered: len(r.candidates), ExpectedWait: c.ExpectedWait, Running: c.Running, Waiting: c.Waiting,
		InFlight: e.inFlight, CachedPrefix: c.Cached,
	}
	e.inFlight++
	e.unreported = append(e.unreported, dispatchRecord{id: req.request.ID, at: now})
	r.keepPrompt(now, e, &req.request)
	if e.ejections > 0 && e.probe == "" {
		e.probe = req.request.ID
	}
	p.inFlight++
	if req.trainer != nil {
		req.trainer.inFlight++
	}
	class := &p.classes[req.request.Priority]
	class.recordDispatch(class.queueFor(req))
	p.updateClassSkips(req.request.Priority)
	return decision
}
