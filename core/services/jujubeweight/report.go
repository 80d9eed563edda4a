package jujubeweight

import (
	"errors"
	"fmt"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

// ErrOrder is an engine's explicit refusal of an order. With any other error it is unknown whether the engine accepted the
// order.
type ErrOrder struct{ model.EngineError }

// Error returns the engine's code and message.
func (e ErrOrder) Error() string { return fmt.Sprintf("order refused: %s: %s", e.Code, e.Message) }

// ApplyReport applies an engine's report. Reports of a lower incarnation, or measured before the one already known, are ignored.
func (r *Rollout) ApplyReport(now time.Time, report model.LoadReport) {
	r.now = now
	if report.Model == "" {
		return
	}
	e, ok := r.engines.Get(report.Endpoint)
	if !ok || report.Incarnation > e.report.Incarnation {
		// An order to the engine's former process is lost with that process.
		e = &engine{clockOffset: report.At.Sub(now)}
		r.engines.Put(report.Endpoint, e)
	} else if report.Incarnation < e.report.Incarnation || !report.At.After(e.report.At) {
		return
	}
	if !report.Swapping {
		e.swapSeenAt = time.Time{}
	} else if e.swapSeenAt.IsZero() || report.Target != e.report.Target {
		e.swapSeenAt = now
	}
	e.clockOffset = max(e.clockOffset, report.At.Sub(now))
	e.report, e.measuredAt, e.leaving = report, report.At.Add(-e.clockOffset), e.leaving || report.Leaving
	r.resolveOrder(now, e)
}

// resolveOrder ends an engine's order if its report shows the outcome. A report that shows the old version and no swap may
// have been measured before the order arrived; it counts only if the order is known to have arrived by then.
func (r *Rollout) resolveOrder(now time.Time, e *engine) {
	o := e.pending
	if o == nil {
		return
	}
	report := e.report
	switch {
	case report.Version >= o.version && !report.Swapping:
		if t, ok := r.targets.Get(report.Model); ok {
			t.window.onSuccess(now, o.sentAt, r.limits.Models[report.Model].MaxSwapping)
		}
		e.pending, e.failures, e.notBefore = nil, 0, time.Time{}
	case report.Swapping && report.Target >= o.version || !o.accepted && report.Target >= o.version && o.targetBefore < o.version:
		if !o.accepted {
			o.accepted, o.acceptedAt = true, report.At
		}
		if !report.Swapping {
			r.failOrder(now, e)
		}
	case o.accepted && !report.Swapping && report.At.After(o.acceptedAt):
		r.failOrder(now, e)
	}
}

// HandleResult applies the response to an engine's latest order. The caller passes one result for each order, before the
// swap timeout. If the response was lost, the order counts as a swap until a report or the swap timeout ends it.
func (r *Rollout) HandleResult(now time.Time, id model.EndpointID, result model.OrderResult, err error) {
	r.now = now
	e, ok := r.engines.Get(id)
	var refused ErrOrder
	isRefused := errors.As(err, &refused)
	if isRefused && refused.Code == model.EngineCodeStaleFence {
		r.handleStaleToken(e, refused.Fence)
	}
	if !ok || e.pending == nil || err != nil && !isRefused {
		return
	}
	switch {
	case err == nil && result.Accepted:
		if report := result.Report; report.Target >= e.pending.version || report.Version >= e.pending.version {
			e.pending.accepted, e.pending.acceptedAt = true, report.At
		}
		r.ApplyReport(now, result.Report)
	case refused.Code == model.EngineCodeStaleFence:
		e.pending = nil
	case refused.Code == model.EngineCodeLeaving:
		e.pending, e.leaving = nil, true
	case refused.Code == model.EngineCodeOverloaded:
		// The store limits its rate; this is not a failure of the engine, so its retry backoff doesn't grow.
		if t, ok := r.targets.Get(e.report.Model); ok {
			t.window.onOverload(now, r.countAcceptedSwaps(e.report.Model))
		}
		e.pending, e.notBefore = nil, now.Add(r.settings.OverloadDelay)
	default:
		r.failOrder(now, e)
	}
}

// handleStaleToken stops leading if the refusal concerns the current fencing token. The response to an order of an earlier
// term of this instance may arrive after a new term has begun. The token that the engine named is therefore compared, or, if
// it named none, the order's own.
func (r *Rollout) handleStaleToken(e *engine, engineToken int64) {
	if engineToken == 0 && e != nil && e.pending != nil {
		engineToken = e.pending.fencingToken + 1
	}
	if engineToken > r.fencingToken {
		r.highestSeenToken, r.leading = max(r.highestSeenToken, engineToken), false
	}
}

// countAcceptedSwaps counts the swaps of a model that engines have accepted and not finished.
func (r *Rollout) countAcceptedSwaps(name model.ModelName) int {
	count := 0
	for _, e := range r.engines.All() {
		if e.report.Model == name && r.isSwapping(e) && (e.report.Swapping || e.pending.accepted) {
			count++
		}
	}
	return count
}

// failOrder ends an order and delays the next one to the same engine with exponential backoff; other engines aren't delayed.
func (r *Rollout) failOrder(now time.Time, e *engine) {
	e.pending = nil
	delay := r.settings.RetryDelay
	for range e.failures {
		if delay *= 2; delay >= r.settings.MaxRetryDelay {
			delay = r.settings.MaxRetryDelay
			break
		}
	}
	e.failures++
	e.notBefore = now.Add(delay)
}
