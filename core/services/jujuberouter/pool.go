package jujuberouter

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/models/jujubetable"
	"jujubepier.example/core/services/jujubeprompt"
)

// poolKey identifies a set of interchangeable endpoints: those of a model or of a service.
type poolKey struct {
	kind    model.EndpointKind
	model   model.ModelName
	service model.ServiceName
}

func newPoolKey(kind model.EndpointKind, name model.ModelName, service model.ServiceName) poolKey {
	if kind == model.KindEngine {
		return poolKey{kind: kind, model: name}
	}
	return poolKey{kind: kind, service: service}
}

// pool holds the endpoints of a model or service and the requests that wait for one of them.
type pool struct {
	key       poolKey
	endpoints *jujubetable.Table[model.EndpointID, *endpointState]
	// stale is true when watched, dispatchers, capacity and the endpoints' shares must be recomputed.
	stale bool
	// watched holds the active endpoints that this instance normally dispatches to, sorted by id.
	watched []*endpointState
	// dispatchers is the expected number of instances that dispatch to each watched endpoint.
	dispatchers int
	// capacity is the number of this instance's requests that can run concurrently.
	capacity int
	inFlight int
	classes  [model.PriorityBackground + 1]priorityClass
	// meanHold is the moving average of the seconds from dispatch to finish, meanService of those in an engine's slot.
	meanHold, meanService float64
	// tokensPerSecond is the last reported generation rate of a stream.
	tokensPerSecond float64
}

// ensurePool returns the pool with the given key, and creates it when there is none.
func (r *Router[P]) ensurePool(key poolKey) *pool {
	if p, ok := r.pools[key]; ok {
		return p
	}
	p := &pool{key: key, endpoints: jujubetable.New[model.EndpointID, *endpointState](), stale: true}
	p.meanHold, p.meanService = r.settings.ServiceTime.Seconds(), r.settings.ServiceTime.Seconds()
	for i := range p.classes {
		p.classes[i].queues = jujubetable.New[queueKey, *flowQueue]()
	}
	r.pools[key] = p
	r.poolOrder = append(r.poolOrder, p)
	return p
}

// rendezvousHash returns the weight of an endpoint for an instance in rendezvous hashing.
func rendezvousHash(instance, endpoint string) uint64 {
	return xxhash.Sum64String(instance + "\x00" + endpoint)
}

// refresh recomputes a stale pool: the shares of the limit, the watched endpoints and the capacity. Endpoints with a share of
// zero are watched last, as they can't be used.
func (r *Router[P]) refresh(p *pool) {
	if !p.stale {
		return
	}
	p.stale = false
	limit := r.limits.Services[p.key.service].MaxInFlightPerEndpoint
	if p.key.kind == model.KindEngine {
		limit = r.limits.Models[p.key.model].MaxInFlightPerEndpoint
	}
	active := make([]*endpointState, 0, p.endpoints.Len())
	for id, e := range p.endpoints.All() {
		e.watched = false
		e.instanceLimit, e.limited = r.ownShare("endpoint/"+string(id), limit)
		if e.isActive() {
			active = append(active, e)
		}
	}
	total := len(active)
	slices.SortFunc(active, func(a, b *endpointState) int {
		if aUsable, bUsable := !a.limited || a.instanceLimit > 0, !b.limited || b.instanceLimit > 0; aUsable != bUsable {
			if aUsable {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.rendezvous, a.rendezvous), cmp.Compare(a.endpoint.ID, b.endpoint.ID))
	})
	p.watched = active[:r.countWatched(active)]
	slices.SortFunc(p.watched, func(a, b *endpointState) int { return cmp.Compare(a.endpoint.ID, b.endpoint.ID) })
	p.dispatchers, p.capacity = 1, 0
	if total > 0 {
		p.dispatchers = max(1, (r.liveCount*len(p.watched)+total/2)/total)
	}
	for _, e := range p.watched {
		e.watched = true
		if e.limited {
			p.capacity += e.instanceLimit
		} else {
			p.capacity += e.load.Slots / p.dispatchers
		}
	}
}

// countWatched returns how many of the active endpoints, which are sorted with those that have a share first, are watched. When
// there are many instances, each has a share of one on some of the endpoints. If it watched only Settings.MaxWatched of them, its
// shares of the others would never be used.
func (r *Router[P]) countWatched(active []*endpointState) int {
	capacity := 0
	for i, e := range active {
		if i >= r.settings.MaxWatched && (!e.limited || e.instanceLimit == 0 || capacity >= minSharesPerWatched*r.settings.MaxWatched) {
			return i
		}
		capacity += e.instanceLimit
	}
	return len(active)
}

// minSharesPerWatched times Settings.MaxWatched is the number of concurrent requests of this instance that the watched
// endpoints must have shares for. By default that is 96, twice the streams of an instance at the target size.
const minSharesPerWatched = 4

// dequeueRate estimates how many waiting requests leave the queue per second (Little's law).
func (p *pool) dequeueRate() float64 { return float64(max(p.capacity, p.inFlight, 1)) / p.meanHold }

// estimateRunTime estimates the time from a request's dispatch to its end. It counts half of the mean service time: lengths are
// heavy-tailed, so most requests are shorter than the mean, and a higher estimate would refuse requests that would be in time.
func (p *pool) estimateRunTime(request *Request) time.Duration {
	seconds := p.meanService
	if request.Tokens > 0 && p.tokensPerSecond > 0 {
		seconds = min(seconds, float64(request.Tokens)/p.tokensPerSecond)
	}
	return time.Duration((max(0, p.meanHold-p.meanService) + seconds/2) * float64(time.Second))
}

// requiredServiceTime returns the time that must remain until the deadline when a queued request is dispatched; requests that
// would have less aren't queued. It is three and a half mean service times, but at most two thirds of the time until the
// deadline. Lengths are heavy-tailed: with two mean service times and half of the time until the deadline, one request in
// twenty misses its deadline as late as 14 s after an overload, because of the queue that the overload leaves.
func (p *pool) requiredServiceTime(now time.Time, request *Request) time.Duration {
	margin := p.estimateRunTime(request) + time.Duration(3*p.meanService*float64(time.Second))
	return min(margin, request.Deadline.Sub(now)*2/3)
}

// smoothingFactor is the weight of one request in the moving averages. It averages over about twenty requests; lengths vary too
// much for fewer.
const smoothingFactor = 0.05

// updateMeanHold adds the time that an ended request was in flight to the average, whatever its outcome.
func (p *pool) updateMeanHold(held time.Duration) {
	p.meanHold = max(0.001, p.meanHold+smoothingFactor*(held.Seconds()-p.meanHold))
}

// updateMeanService adds the service time of a completed request to the average.
func (p *pool) updateMeanService(held, expectedWait time.Duration, tokens int) {
	seconds := max(0, held.Seconds()-expectedWait.Seconds())
	if tokens > 0 && p.tokensPerSecond > 0 {
		seconds = float64(tokens) / p.tokensPerSecond
	}
	p.meanService = max(0.001, p.meanService+smoothingFactor*(seconds-p.meanService))
}

// availability counts the active endpoints that a request allows.
type availability struct {
	allowed int
	// zeroShare is true if this instance's share is zero on all of them.
	zeroShare bool
	// throttled counts those whose rate allows no request before throttledUntil, the earliest such time.
	throttled      int
	throttledUntil time.Time
}

// collectCandidates fills r.candidates with the endpoints that can accept a request now.
func (r *Router[P]) collectCandidates(now time.Time, p *pool, request *Request) availability {
	r.refresh(p)
	r.candidates = r.candidates[:0]
	anyHealthy := p.hasHealthy(now, request.Priority)
	found, prompt := availability{zeroShare: true}, r.promptOf(request)
	add := func(e *endpointState) {
		reason := r.exclusion(now, e, request, anyHealthy)
		switch reason {
		case model.ExcludedRemoved, model.ExcludedLeaving, model.ExcludedByRequest, model.ExcludedSoftware:
			return
		}
		found.allowed++
		found.zeroShare = found.zeroShare && e.limited && e.instanceLimit == 0 && !request.Held
		if reason == model.ExcludedThrottled {
			until := e.throttledUntil[request.Priority]
			found.throttled++
			if found.throttled == 1 || until.Before(found.throttledUntil) {
				found.throttledUntil = until
			}
		}
		if reason != "" {
			return
		}
		r.candidates = append(r.candidates, r.estimate(now, p, e, request, prompt))
	}
	if len(request.Only) > 0 {
		for i, id := range request.Only {
			if e, ok := p.endpoints.Get(id); ok && !slices.Contains(request.Only[:i], id) {
				add(e)
			}
		}
	} else {
		for _, e := range p.watched {
			add(e)
		}
		if found.allowed == 0 {
			for _, e := range p.endpoints.All() {
				add(e)
			}
		}
	}
	found.zeroShare = found.zeroShare && found.allowed > 0
	return found
}

// preferVersion reduces the candidates to those that serve the version or a later one, if there are any.
func (r *Router[P]) preferVersion(version model.WeightVersion) {
	isOld := func(c Candidate) bool { return c.state.load.Version < version }
	if slices.ContainsFunc(r.candidates, func(c Candidate) bool { return !isOld(c) }) {
		r.candidates = slices.DeleteFunc(r.candidates, isOld)
	}
}

// estimate returns an endpoint as a candidate with its expected wait. The occupancy is the reported load plus this instance's
// dispatches since the report, multiplied by the number of instances that dispatch to the endpoint, as the others do the same.
func (r *Router[P]) estimate(now time.Time, p *pool, e *endpointState, request *Request, prompt jujubeprompt.Prompt) Candidate {
	c := Candidate{
		Endpoint: e.endpoint.ID, Running: e.load.Running, Waiting: e.load.Waiting, InFlight: e.inFlight, state: e,
		Occupied: e.load.Running + e.load.Waiting + len(e.unreported)*p.dispatchers,
	}
	if over := c.Occupied - e.load.Slots + 1; e.load.Slots > 0 && over > 0 {
		c.ExpectedWait = time.Duration(float64(over) * p.meanService / float64(e.load.Slots) * float64(time.Second))
	}
	if len(prompt) > 0 {
		kept := e.prompts.Kept(now, "", prompt)
		c.Cached = kept > 0
		spec := jujubeprompt.Request{PromptTokens: prompt.Tokens()}
		if len(request.Prompt) > 0 {
			// The service's own interface doesn't tell a prefix's tokens, only that it takes long to prefill, so that the slowdown by
			// other requests is left to the comparison of equals.
			spec.RunTime = time.Duration(p.meanService * float64(time.Second))
		}
		c.Cost = r.rates.Cost(jujubeprompt.Candidate{Load: c.Occupied, Slots: e.load.Slots, Kept: kept}, spec)
	}
	// The work that the endpoint has, and the request itself, take longer or shorter than usual by its pace.
	pace := PaceAt(e.load.Pace, now.Sub(e.loadAt))
	c.ExpectedWait = time.Duration(float64(c.ExpectedWait) * pace / usualPace)
	c.Delayed = time.Duration((pace/usualPace - 1) * p.meanService * float64(time.Second))
	c.Cost.Wait = c.ExpectedWait
	return c
}
