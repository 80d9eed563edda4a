package jujuberouter

import (
	"slices"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeerror"
)

// chargeLimits checks the caller's limits and the retry budget and charges the request to them. It returns true with a refusal.
func (r *Router[P]) chargeLimits(now time.Time, req *trackedRequest) (Decision, bool) {
	limits, limited := r.limits.Callers[req.request.Caller]
	if limited {
		c := r.callers[req.request.Caller]
		if c == nil {
			c = &callerState{}
			r.callers[req.request.Caller] = c
		}
		if share, bounded := r.ownShare("caller/"+string(req.request.Caller), limits.MaxInFlight); bounded && c.active >= share {
			after := time.Duration(req.pool.meanHold / float64(max(share, 1)) * float64(time.Second))
			decision := r.refuse(req, jujubeerror.CodeOverloaded, "the caller's limit in flight", max(after, minRetryAfter))
			decision.HeldElsewhere = share == 0
			return decision, true
		}
		if limits.RequestsPerSecond > 0 {
			if after, ok := c.bucket.take(now, limits.RequestsPerSecond/float64(r.liveCount)); !ok {
				return r.refuse(req, jujubeerror.CodeOverloaded, "the caller's rate", max(after, minRetryAfter)), true
			}
		}
		req.caller = c
	}
	if !req.request.Retry {
		r.retryTokens = min(r.settings.RetryBurst, r.retryTokens+r.settings.RetryRatio)
		return Decision{}, false
	}
	if r.retryTokens < 1 {
		return r.refuse(req, jujubeerror.CodeRetryExhausted, "the retry budget is spent", defaultRetryAfter), true
	}
	r.retryTokens--
	return Decision{}, false
}

// spread adds a random part of up to half to a retry-after time, so that callers that are refused together don't return together.
func (r *Router[P]) spread(after time.Duration) time.Duration {
	if after <= 0 {
		return after
	}
	return after + time.Duration(r.random.Int63n(int64(after)/2+1))
}

// refuse refuses a request that isn't in flight and removes it from the queue. The retry-after time is spread.
func (r *Router[P]) refuse(req *trackedRequest, code, reason string, after time.Duration) Decision {
	if r.requests[req.request.ID] == req {
		r.dequeue(req)
		r.untrack(req)
	}
	return Decision{
		Request: req.request.ID, Kind: Refuse, Code: code, Reason: reason, RetryAfter: r.spread(after),
		Policy: r.policy.Name(), Considered: len(r.candidates),
	}
}

// refuseZeroShare refuses a request because this instance's share of a limit is zero.
func (r *Router[P]) refuseZeroShare(req *trackedRequest, reason string) Decision {
	decision := r.refuse(req, jujubeerror.CodeOverloaded, reason, defaultRetryAfter)
	decision.HeldElsewhere = true
	return decision
}

// refuseThrottled refuses a request because all endpoints name a rate that is used up. The retry-after times are spread over as
// long again as the next permit takes, as only one of the refused callers gets it.
func (r *Router[P]) refuseThrottled(now time.Time, req *trackedRequest, until time.Time) Decision {
	after := max(until.Sub(now), minRetryAfter)
	decision := r.refuse(req, jujubeerror.CodeOverloaded, "the rates of all endpoints are used up", 0)
	decision.RetryAfter = after + time.Duration(r.random.Int63n(int64(after)))
	return decision
}

// lateness returns by how much a request that is dispatched after the given wait would miss its deadline.
func (r *Router[P]) lateness(now time.Time, req *trackedRequest, wait time.Duration) time.Duration {
	late := now.Add(wait + req.pool.estimateRunTime(&req.request)).Sub(req.request.Deadline)
	if late <= 0 && !now.Before(req.request.Deadline) {
		return 1
	}
	return late
}

// refuseLate refuses a request that would miss its deadline. The retry-after time is the lateness, spread: at the
// current dequeue rate, a retry with the same timeout would be accepted after that time.
func (r *Router[P]) refuseLate(now time.Time, req *trackedRequest, wait, late time.Duration) Decision {
	code, reason := jujubeerror.CodeOverloaded, "the expected wait exceeds the deadline"
	if !now.Before(req.request.Deadline) {
		code, reason = jujubeerror.CodeDeadline, "the deadline passed in the queue"
	}
	decision := r.refuse(req, code, reason, max(late, minRetryAfter))
	decision.ExpectedWait = wait
	return decision
}

// untrack removes a request from the request table and from its caller's count.
func (r *Router[P]) untrack(req *trackedRequest) {
	delete(r.requests, req.request.ID)
	if req.caller != nil {
		req.caller.active--
	}
}

// release removes a dispatched request and subtracts it from the counts of its endpoint, pool, trainer and caller.
func (r *Router[P]) release(now time.Time, req *trackedRequest) {
	r.untrack(req)
	e := req.endpoint
	e.inFlight--
	index := slices.IndexFunc(e.unreported, func(d dispatchRecord) bool { return d.id == req.request.ID })
	if index >= 0 {
		e.unreported = slices.Delete(e.unreported, index, index+1)
	}
	req.pool.inFlight--
	req.pool.updateMeanHold(now.Sub(req.dispatched))
	if req.trainer != nil {
		req.trainer.inFlight--
	}
}

// Finish ends a dispatched request and returns the decisions on waiting requests that this allows. For a request that isn't in
// flight only the load report is applied.
func (r *Router[P]) Finish(now time.Time, id model.RequestID, outcome Outcome) []Decision {
	req, ok := r.requests[id]
	ok = ok && req.endpoint != nil
	if ok {
		r.release(now, req)
		r.updateHealth(now, req.endpoint, id, outcome)
	}
	if outcome.Load != nil {
		r.ReportLoad(now, *outcome.Load)
	}
	if !ok {
		return nil
	}
	if outcome.OK {
		req.pool.updateMeanService(now.Sub(req.dispatched), req.expectedWait, outcome.Tokens)
	}
	return r.dispatchFreed(now, req)
}

// dispatchFreed dispatches waiting requests of an ended request's pool, and of the other pools when its trainer's limit may have
// blocked them.
func (r *Router[P]) dispatchFreed(now time.Time, req *trackedRequest) []Decision {
	decisions := r.dispatchWaiting(now, req.pool, finishScanLimit)
	if req.trainer == nil {
		return decisions
	}
	for _, p := range r.poolOrder {
		if p != req.pool {
			decisions = append(decisions, r.dispatchWaiting(now, p, finishScanLimit)...)
		}
	}
	return decisions
}

// Cancel ends a request that its caller cancelled. A waiting request gets a final decision, Refuse with CodeCancelled.
func (r *Router[P]) Cancel(now time.Time, id model.RequestID) []Decision {
	req, ok := r.requests[id]
	if !ok {
		return nil
	}
	if req.endpoint == nil {
		r.candidates = r.candidates[:0]
		return []Decision{r.refuse(req, CodeCancelled, "cancelled by the caller", 0)}
	}
	r.release(now, req)
	r.updateHealth(now, req.endpoint, id, Outcome{})
	return r.dispatchFreed(now, req)
}

// SetEndpointFilter replaces Only and Exclude of a waiting request. The request keeps its position in the queue, and no limit
// is charged again.
func (r *Router[P]) SetEndpointFilter(id model.RequestID, only, exclude []model.EndpointID) {
	if req, ok := r.requests[id]; ok && req.endpoint == nil {
		req.request.Only, req.request.Exclude = only, exclude
	}
}

// Tick dispatches the waiting requests that have become dispatchable and refuses those that can't meet their deadline.
func (r *Router[P]) Tick(now time.Time) []Decision {
	var decisions []Decision
	for _, p := range r.poolOrder {
		r.refresh(p)
		decisions = append(decisions, r.dispatchWaiting(now, p, r.settings.MaxQueued)...)
		decisions = append(decisions, r.shedLate(now, p)...)
	}
	if !now.Before(r.nextCleanup) {
		r.nextCleanup = now.Add(time.Second)
		r.deleteRemoved(now)
	}
	return decisions
}
