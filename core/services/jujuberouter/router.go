package jujuberouter

import (
	"math/rand"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/models/jujubetable"
	"jujubepier.example/core/modules/jujubeerror"
)

// minRetryAfter keeps refused callers from coming back within a round trip or two.
const minRetryAfter = 100 * time.Millisecond

// retryElsewhere is the retry-after time when only membership or the endpoints' list can change the answer.
const retryElsewhere = time.Second

// Router is owned by one goroutine.
type Router[P Policy] struct {
	policy   P
	settings Settings
	random   *rand.Rand
	limits   model.Limits
	// live and rank are this instance's view of the entry instances; 0 <= rank, 1 <= live.
	live, rank int

	rows  *jujubetable.Table[model.EndpointID, *row]
	pools map[poolName]*pool
	// poolOrder holds the pools in the order of their creation.
	poolOrder []*pool
	trainers  *jujubetable.Table[model.TrainerID, *trainer]
	callers   map[model.CallerID]*caller
	// jobs holds each request that waits or is in flight.
	jobs   map[model.RequestID]*job
	queued int
	// retryTokens is the retry budget that is left.
	retryTokens float64
	nextForget  time.Time

	candidates []Candidate // reused by collect
	groups     []*group    // reused by pumpClass
}

// job is a request that waits (group is set) or is in flight (row is set).
type job struct {
	request      Request
	pool         *pool
	trainer      *trainer
	caller       *caller
	group        *group
	row          *row
	dispatched   time.Time
	expectedWait time.Duration
}

// New returns a router without endpoints or limits.
func New[P Policy](policy P, settings Settings, random *rand.Rand) *Router[P] {
	settings = settings.withDefaults()
	return &Router[P]{
		policy: policy, settings: settings, random: random, live: 1,
		rows:     jujubetable.New[model.EndpointID, *row](),
		pools:    make(map[poolName]*pool),
		trainers: jujubetable.New[model.TrainerID, *trainer](),
		callers:  make(map[model.CallerID]*caller),
		jobs:     make(map[model.RequestID]*job), retryTokens: settings.RetryBurst,
	}
}

// SetLimits puts the limits of an environment document in force. Requests in flight above a lowered limit go on.
func (r *Router[P]) SetLimits(limits model.Limits) {
	r.limits = limits
	r.setShares()
}

// SetMembers sets the number of entry instances that limits are divided by, and the own rank among them.
func (r *Router[P]) SetMembers(live, rank int) {
	if r.live == max(live, 1) && r.rank == max(rank, 0) {
		return
	}
	r.live, r.rank = max(live, 1), max(rank, 0)
	r.setShares()
}

func (r *Router[P]) setShares() {
	for _, p := range r.poolOrder {
		p.stale = true
	}
	for id := range r.limits.Trainers {
		if _, ok := r.trainers.Get(id); !ok {
			r.trainers.Put(id, &trainer{id: id})
		}
	}
	for id, t := range r.trainers.All() {
		limits := r.limits.Trainers[id] // zero for a trainer that was taken out of the document: no limit
		t.weight = limits.Share
		t.share, t.limited = r.keyedShare("trainer/"+string(id), limits.MaxInFlight)
	}
}

// Route decides on a new request.
func (r *Router[P]) Route(now time.Time, request Request) Decision {
	j := &job{request: request}
	if request.Deadline.IsZero() {
		j.request.Deadline = now.Add(r.settings.MaxWait)
	}
	j.request.Priority = min(max(request.Priority, model.PriorityInteractive), model.PriorityBackground)
	if _, ok := r.jobs[request.ID]; ok {
		return r.refuse(j, jujubeerror.CodeConflict, "a request with this id is waiting or in flight", 0)
	}
	if !now.Before(j.request.Deadline) {
		return r.refuse(j, jujubeerror.CodeDeadline, "the deadline has passed", 0)
	}
	var ok bool
	if j.pool, ok = r.pools[poolKey(request.Kind, request.Model, request.Service)]; !ok {
		return r.refuse(j, jujubeerror.CodeNoEndpoint, "no endpoint is known", retryElsewhere)
	}
	j.trainer, _ = r.trainers.Get(request.Trainer)
	if t := j.trainer; t != nil && t.limited && t.share == 0 && !request.Held {
		return r.refuseElsewhere(j, "other instances hold the trainer's limit")
	}
	if decision, refused := r.charge(now, j); refused {
		return decision
	}
	r.jobs[request.ID] = j
	if j.caller != nil {
		j.caller.active++
	}
	if r.queued == 0 || request.Held || !j.pool.mustQueue(j) {
		if decision := r.try(now, j); decision.Kind != Wait {
			return decision
		}
	}
	return r.wait(now, j)
}

// wait queues a request, or refuses it when its turn would come too late.
func (r *Router[P]) wait(now time.Time, j *job) Decision {
	p := j.pool
	r.refresh(p)
	ahead := 0
	if c := &p.classes[j.request.Priority]; c.length > 0 {
		ahead = len(c.group(j.trainer).jobs)
	}
	wait := r.queueWait(p, j, ahead+1)
	if late := now.Add(wait + p.margin(now, &j.request)).Sub(j.request.Deadline); late > 0 {
		return r.refuseLate(now, j, wait, late)
	}
	if r.queued >= r.settings.Queue {
		drain := time.Duration(float64(time.Second) / p.drainRate())
		return r.refuse(j, jujubeerror.CodeOverloaded, "the queue is full", max(drain, minRetryAfter))
	}
	r.enqueue(p, j)
	return Decision{
		Request: j.request.ID, Kind: Wait, Reason: "no endpoint or limit has room", Policy: r.policy.Name(),
		Considered: len(r.candidates), ExpectedWait: wait, InFlight: p.inFlight,
	}
}

// try dispatches a request, refuses it for good, or returns Wait without a change.
func (r *Router[P]) try(now time.Time, j *job) Decision {
	if late := r.lateness(now, j, 0); j.group != nil && late > 0 {
		return r.refuseLate(now, j, 0, late)
	}
	r.candidates = r.candidates[:0]
	if !j.trainer.hasRoom() && !j.request.Held {
		return Decision{Kind: Wait}
	}
	allowed, shareless := r.collect(now, j.pool, &j.request)
	if allowed == 0 {
		return r.refuse(j, jujubeerror.CodeNoEndpoint, "no endpoint may take the request", retryElsewhere)
	}
	if shareless {
		return r.refuseElsewhere(j, "other instances hold the endpoints' limits")
	}
	if len(r.candidates) == 0 {
		return Decision{Kind: Wait}
	}
	r.preferVersion(j.request.PreferVersion)
	least := r.candidates[0].ExpectedWait
	for i := range r.candidates {
		least = min(least, r.candidates[i].ExpectedWait)
	}
	if late := now.Add(least).Sub(j.request.Deadline); late > 0 {
		return r.refuseLate(now, j, least, late)
	}
	return r.dispatch(now, j, &r.candidates[r.policy.Choose(r.candidates, &j.request, r.random)])
}

func (r *Router[P]) dispatch(now time.Time, j *job, c *Candidate) Decision {
	e, p := c.row, j.pool
	r.dequeue(j)
	j.row, j.dispatched, j.expectedWait = e, now, c.ExpectedWait
	decision := Decision{
		Request: j.request.ID, Kind: Dispatch, Endpoint: e.endpoint.ID, Address: e.endpoint.Address,
		Incarnation: e.endpoint.Incarnation, Reason: "chosen by policy", Policy: r.policy.Name(),
		Considered: len(r.candidates), ExpectedWait: c.ExpectedWait, Running: c.Running, Waiting: c.Waiting,
		InFlight: e.inFlight, CachedPrefix: c.Cached,
	}
	e.inFlight++
	e.recent = append(e.recent, sent{id: j.request.ID, at: now})
	e.cache.add(now, j.request.Prefix, r.settings.Prefixes)
	if e.asides > 0 && e.trial == "" {
		e.trial = j.request.ID
	}
	p.inFlight++
	if j.trainer != nil {
		j.trainer.inFlight++
	}
	class := &p.classes[j.request.Priority]
	class.served(class.group(j.trainer))
	p.countPassed(j.request.Priority)
	return decision
}
