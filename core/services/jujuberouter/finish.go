package jujuberouter

import (
	"slices"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeerror"
)

// charge checks the caller's limits and the retry budget, and takes one from each.
func (r *Router[P]) charge(now time.Time, j *job) (Decision, bool) {
	limits, limited := r.limits.Callers[j.request.Caller]
	if limited {
		c := r.callers[j.request.Caller]
		if c == nil {
			c = &caller{}
			r.callers[j.request.Caller] = c
		}
		if share, bounded := r.keyedShare("caller/"+string(j.request.Caller), limits.MaxInFlight); bounded && c.active >= share {
			after := time.Duration(j.pool.hold / float64(max(share, 1)) * float64(time.Second))
			decision := r.refuse(j, jujubeerror.CodeOverloaded, "the caller's limit in flight", max(after, minRetryAfter))
			decision.HeldElsewhere = share == 0
			return decision, true
		}
		if limits.RequestsPerSecond > 0 {
			if after, ok := c.bucket.take(now, limits.RequestsPerSecond/float64(r.live)); !ok {
				return r.refuse(j, jujubeerror.CodeOverloaded, "the caller's rate", max(after, minRetryAfter)), true
			}
		}
		j.caller = c
	}
	if !j.request.Retry {
		r.retryTokens = min(r.settings.RetryBurst, r.retryTokens+r.settings.RetryRatio)
		return Decision{}, false
	}
	if r.retryTokens < 1 {
		return r.refuse(j, jujubeerror.CodeRetryExhausted, "the retry budget is spent", retryElsewhere), true
	}
	r.retryTokens--
	return Decision{}, false
}

// refuse ends a request that isn't in flight.
func (r *Router[P]) refuse(j *job, code, reason string, after time.Duration) Decision {
	if r.jobs[j.request.ID] == j {
		r.dequeue(j)
		r.forget(j)
	}
	return Decision{
		Request: j.request.ID, Kind: Refuse, Code: code, Reason: reason, RetryAfter: after,
		Policy: r.policy.Name(), Considered: len(r.candidates),
	}
}

// refuseElsewhere refuses a request because the own share of a limit is zero.
func (r *Router[P]) refuseElsewhere(j *job, reason string) Decision {
	decision := r.refuse(j, jujubeerror.CodeOverloaded, reason, retryElsewhere)
	decision.HeldElsewhere = true
	return decision
}

// lateness is by how much a request would miss its deadline after a wait.
func (r *Router[P]) lateness(now time.Time, j *job, wait time.Duration) time.Duration {
	late := now.Add(wait + j.pool.runTime(&j.request)).Sub(j.request.Deadline)
	if late <= 0 && !now.Before(j.request.Deadline) {
		return 1
	}
	return late
}

// refuseLate refuses a request that would miss its deadline. The time until a repeat with the same deadline would be
// accepted is the lateness, at the present drain rate.
func (r *Router[P]) refuseLate(now time.Time, j *job, wait, late time.Duration) Decision {
	code, reason := jujubeerror.CodeOverloaded, "the expected wait exceeds the deadline"
	if !now.Before(j.request.Deadline) {
		code, reason = jujubeerror.CodeDeadline, "the deadline passed in the queue"
	}
	decision := r.refuse(j, code, reason, max(late, minRetryAfter))
	decision.ExpectedWait = wait
	return decision
}

func (r *Router[P]) forget(j *job) {
	delete(r.jobs, j.request.ID)
	if j.caller != nil {
		j.caller.active--
	}
}

// release takes a request out of the counts of its endpoint and trainer.
func (r *Router[P]) release(now time.Time, j *job) {
	r.forget(j)
	e := j.row
	e.inFlight--
	at := slices.IndexFunc(e.recent, func(s sent) bool { return s.id == j.request.ID })
	if at >= 0 {
		e.recent = slices.Delete(e.recent, at, at+1)
	}
	j.pool.inFlight--
	j.pool.learnHold(now.Sub(j.dispatched))
	if j.trainer != nil {
		j.trainer.inFlight--
	}
}

// Finish ends a dispatched request and returns the decisions on waiting ones that its end allows. An unknown request
// changes nothing but the load.
func (r *Router[P]) Finish(now time.Time, id model.RequestID, outcome Outcome) []Decision {
	j, ok := r.jobs[id]
	ok = ok && j.row != nil
	if ok {
		r.release(now, j)
		r.countOutcome(now, j.row, id, outcome)
	}
	if outcome.Load != nil {
		r.ReportLoad(now, *outcome.Load)
	}
	if !ok {
		return nil
	}
	if outcome.OK {
		j.pool.learnService(now.Sub(j.dispatched), j.expectedWait, outcome.Tokens)
	}
	return r.pumpAll(now, j)
}

// pumpAll pumps the pool of an ended request, and the others when a trainer's limit may have held them back.
func (r *Router[P]) pumpAll(now time.Time, j *job) []Decision {
	decisions := r.pump(now, j.pool, scanOnFinish)
	if j.trainer == nil {
		return decisions
	}
	for _, p := range r.poolOrder {
		if p != j.pool {
			decisions = append(decisions, r.pump(now, p, scanOnFinish)...)
		}
	}
	return decisions
}

// Cancel ends a request for its caller. A waiting one gets its final decision, Refuse with CodeCancelled.
func (r *Router[P]) Cancel(now time.Time, id model.RequestID) []Decision {
	j, ok := r.jobs[id]
	if !ok {
		return nil
	}
	if j.row == nil {
		r.candidates = r.candidates[:0]
		return []Decision{r.refuse(j, CodeCancelled, "cancelled by the caller", 0)}
	}
	r.release(now, j)
	r.countOutcome(now, j.row, id, Outcome{})
	return r.pumpAll(now, j)
}

// SetChoice replaces the endpoints that a waiting request may and must not use. The request keeps its place in the queue
// and is charged to no limit again.
func (r *Router[P]) SetChoice(id model.RequestID, only, exclude []model.EndpointID) {
	if j, ok := r.jobs[id]; ok && j.row == nil {
		j.request.Only, j.request.Exclude = only, exclude
	}
}

// Tick dispatches what has become possible since and refuses what can't be in time.
func (r *Router[P]) Tick(now time.Time) []Decision {
	var decisions []Decision
	for _, p := range r.poolOrder {
		r.refresh(p)
		decisions = append(decisions, r.pump(now, p, r.settings.Queue)...)
		decisions = append(decisions, r.shed(now, p)...)
	}
	if !now.Before(r.nextForget) {
		r.nextForget = now.Add(time.Second)
		r.forgetRemoved(now)
	}
	return decisions
}
