package jujuberouter

import (
	"math"
	"slices"
	"strconv"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/models/jujubetable"
)

const (
	// maxSkips is how often a class is skipped before it goes first, so that a lower class gets at least an eighth of the
	// dispatches.
	maxSkips = 7
	// finishScanLimit bounds the waiting requests per trainer that are tried when a request finishes; a tick tries all.
	finishScanLimit = 64
)

// priorityClass holds the waiting requests of one priority.
type priorityClass struct {
	// queues holds one queue for each flow; requests without a configured trainer and an organisation are in the one with the empty
	// key.
	queues *jujubetable.Table[queueKey, *flowQueue]
	// length is the number of waiting requests in all queues.
	length int
	// skips counts the consecutive dispatches of higher classes while this one had an eligible request.
	skips int
	// virtualTimes has, for each level, the virtual time of the last queue that was dispatched from in its turn. Empty queues start
	// from it.
	virtualTimes map[int]float64
	turns        turns
}

// queueKey identifies a flow: the requests of a trainer or an organisation and of one level.
type queueKey string

// flowQueue holds the waiting requests of one flow, oldest first.
type flowQueue struct {
	trainer  *trainerState
	level    int
	requests []*trackedRequest
	// credit grows with each request and falls with each dispatch.
	credit float64
	// virtualTime grows by 1/weight with each dispatch (weighted fair queueing). The queue with the lowest value is next.
	virtualTime float64
}

// trainerState is the router's state of a trainer in the environment document.
type trainerState struct {
	id model.TrainerID
	// instanceLimit is this instance's part of MaxInFlight, when limited.
	instanceLimit int
	limited       bool
	// weight is the trainer's weight in its class; zero counts as one.
	weight   float64
	inFlight int
}

func (t *trainerState) hasCapacity() bool {
	return t == nil || !t.limited || t.inFlight < t.instanceLimit
}

// newQueueKey returns the key of a request's flow.
func newQueueKey(req *trackedRequest) queueKey {
	var key queueKey
	if req.trainer != nil {
		key = queueKey(req.trainer.id)
	}
	if req.request.Organisation == "" && req.request.Level == 0 {
		return key
	}
	return key + queueKey("\x00"+string(req.request.Organisation)+"\x00"+strconv.Itoa(req.request.Level))
}

// queueFor returns the queue of a request's flow, and creates it when there is none. An empty queue is brought up to the virtual time
// of its level, so that a flow gains no priority while it has no requests.
func (c *priorityClass) queueFor(req *trackedRequest) *flowQueue {
	q, ok := c.queues.Get(req.key)
	if !ok {
		q = &flowQueue{trainer: req.trainer, level: req.request.Level}
		c.queues.Put(req.key, q)
	}
	if len(q.requests) == 0 {
		q.virtualTime = max(q.virtualTime, c.virtualTimes[q.level])
	}
	return q
}

// recordDispatch advances the virtual time of a queue for a dispatch from it.
func (c *priorityClass) recordDispatch(q *flowQueue) {
	if wasDue := c.payDispatch(q); !wasDue {
		if c.virtualTimes == nil {
			c.virtualTimes = map[int]float64{}
		}
		c.virtualTimes[q.level] = q.virtualTime
	}
	q.virtualTime += 1 / q.weight()
}

// weight returns the weight of the flow's trainer, one for an organisation.
func (q *flowQueue) weight() float64 {
	if q.trainer != nil && q.trainer.weight > 0 {
		return q.trainer.weight
	}
	return 1
}

// hasEligible reports whether the class has a waiting request that its trainer's limit doesn't block.
func (c *priorityClass) hasEligible() bool {
	if c.length == 0 {
		return false
	}
	for _, q := range c.queues.All() {
		if len(q.requests) > 0 && q.trainer.hasCapacity() {
			return true
		}
	}
	return false
}

// enqueue appends a request to the queue of its priority and trainer.
func (r *Router[P]) enqueue(p *pool, req *trackedRequest) {
	c := &p.classes[req.request.Priority]
	q := c.queueFor(req)
	q.requests = append(q.requests, req)
	c.length++
	r.queued++
	req.queue = q
}

// dequeue removes a request from its queue, if it waits.
func (r *Router[P]) dequeue(req *trackedRequest) {
	if req.queue == nil {
		return
	}
	index := slices.Index(req.queue.requests, req)
	req.queue.requests = slices.Delete(req.queue.requests, index, index+1)
	req.pool.classes[req.request.Priority].length--
	r.queued--
	req.queue = nil
}

// updateClassSkips records a dispatch from the class with the given priority: it resets the skips of that class and increments
// those of each lower class that has an eligible request and was passed over.
func (p *pool) updateClassSkips(priority model.Priority) {
	p.classes[priority].skips = 0
	for lower := priority + 1; int(lower) < len(p.classes); lower++ {
		if p.classes[lower].hasEligible() {
			p.classes[lower].skips++
		}
	}
}

// mustQueue reports whether a new request must wait behind others that come first. While requests are held, those of its class that may
// not use all endpoints don't keep it from one that is free.
func (p *pool) mustQueue(req *trackedRequest, isHolding bool) bool {
	for priority := range p.classes {
		if p.isAhead(priority, req, isHolding) {
			return true
		}
	}
	return false
}

// isAhead reports whether requests of a class go before a new request.
func (p *pool) isAhead(priority int, req *trackedRequest, isHolding bool) bool {
	c := &p.classes[priority]
	switch own := int(req.request.Priority); {
	case priority < own:
		return c.hasEligible()
	case priority > own:
		return c.skips >= maxSkips && c.hasEligible()
	}
	return c.length > 0 && (c.queueFor(req).blocks(isHolding) || c.hasEligibleBefore(c.queueFor(req), isHolding))
}

// blocks reports whether the queue has a request that a later one has to wait for.
func (q *flowQueue) blocks(isHolding bool) bool {
	if !isHolding {
		return len(q.requests) > 0
	}
	return slices.ContainsFunc(q.requests, func(req *trackedRequest) bool { return req.request.isUnrestricted() })
}

// dispatchWaiting dispatches waiting requests while endpoints have capacity, and refuses those that it finds to be too late. It
// tries scanLimit requests per trainer and class.
func (r *Router[P]) dispatchWaiting(now time.Time, p *pool, scanLimit int) []Decision {
	var decisions []Decision
	for r.queued > 0 {
		decision, ok := r.dispatchNext(now, p, scanLimit)
		if !ok {
			break
		}
		decisions = append(decisions, decision)
	}
	return decisions
}

// dispatchNext dispatches or refuses one waiting request. Classes that were skipped maxSkips times go first. If such a
// class can't dispatch, its skip count is reset only when a higher class can; for lack of capacity alone it is kept.
func (r *Router[P]) dispatchNext(now time.Time, p *pool, scanLimit int) (Decision, bool) {
	var due [len(p.classes)]bool
	for priority := len(p.classes) - 1; priority > 0; priority-- {
		if c := &p.classes[priority]; c.skips >= maxSkips {
			if decision, ok := r.dispatchFromClass(now, c, scanLimit); ok {
				return decision, true
			}
			due[priority] = true
		}
	}
	for priority := range p.classes {
		if due[priority] {
			continue
		}
		if decision, ok := r.dispatchFromClass(now, &p.classes[priority], scanLimit); ok {
			for lower := priority + 1; lower < len(p.classes) && decision.Kind == Dispatch; lower++ {
				if due[lower] {
					p.classes[lower].skips = 0
				}
			}
			return decision, true
		}
	}
	return Decision{}, false
}

// dispatchFromClass dispatches or refuses one waiting request of a class, from the first queue in the order of compareQueues that has
// an eligible one.
func (r *Router[P]) dispatchFromClass(now time.Time, c *priorityClass, scanLimit int) (Decision, bool) {
	if c.length == 0 {
		return Decision{}, false
	}
	r.readyQueues = r.readyQueues[:0]
	for _, q := range c.queues.All() {
		if len(q.requests) > 0 && q.trainer.hasCapacity() {
			r.readyQueues = append(r.readyQueues, q)
		}
	}
	slices.SortStableFunc(r.readyQueues, compareQueues)
	// blockedVersion is the lowest version that no endpoint has capacity for, nor for any later one.
	blockedVersion := model.WeightVersion(math.MaxInt64)
	for _, q := range r.readyQueues {
		for _, req := range q.requests[:min(scanLimit, len(q.requests))] {
			unrestricted := req.request.isUnrestricted()
			if unrestricted && req.request.MinVersion >= blockedVersion {
				continue
			}
			if decision := r.tryDispatch(now, req); decision.Kind != Wait {
				return decision, true
			}
			if unrestricted {
				blockedVersion = min(blockedVersion, req.request.MinVersion)
			}
		}
	}
	return Decision{}, false
}

// estimateQueueWait estimates the wait of a request with the given number of requests of its flow ahead of it.
func (r *Router[P]) estimateQueueWait(p *pool, req *trackedRequest, ahead int) time.Duration {
	higher, totalWeight, ownWeight := 0, 0.0, 1.0
	for priority := model.PriorityInteractive; priority < req.request.Priority; priority++ {
		higher += p.classes[priority].length
	}
	if r.holdMembers > 0 {
		// A lower class is skipped at most maxSkips times before each of its dispatches, and requests of organisations wait here
		// in great numbers.
		higher = min(higher, maxSkips*max(1, ahead))
	}
	class := &p.classes[req.request.Priority]
	own, _ := class.queues.Get(req.key)
	isDue := own != nil && own.isDue()
	for key, q := range class.queues.All() {
		switch {
		case key == req.key:
			ownWeight = q.weight()
			totalWeight += ownWeight
		case len(q.requests) == 0 || isDue && !q.isDue():
		case q.level < req.request.Level && !isDue:
			higher += len(q.requests)
		case q.level == req.request.Level || isDue:
			totalWeight += q.weight()
		}
	}
	rate := p.dequeueRate()
	seconds := (float64(higher) + float64(ahead)*max(1, totalWeight/ownWeight)) / rate
	if t := req.trainer; t != nil && t.limited {
		seconds = max(seconds, float64(ahead)*p.meanHold/float64(max(t.instanceLimit, 1)))
	}
	return time.Duration(seconds * float64(time.Second))
}

// shedLate refuses the waiting requests that have missed or can't meet their deadline, and those whose trainer's share has become
// zero.
func (r *Router[P]) shedLate(now time.Time, p *pool) []Decision {
	var decisions []Decision
	for priority := range p.classes {
		for _, q := range p.classes[priority].queues.All() {
			ahead := 0
			for _, req := range slices.Clone(q.requests) {
				if t := req.trainer; t != nil && t.limited && t.instanceLimit == 0 {
					decisions = append(decisions, r.refuseZeroShare(req, "other instances hold the trainer's limit"))
					continue
				}
				wait := r.estimateQueueWait(p, req, ahead)
				if late := r.lateness(now, req, wait); late > 0 {
					decisions = append(decisions, r.refuseLate(now, req, wait, late))
					continue
				}
				ahead++
			}
		}
	}
	return decisions
}
