package jujubeweight

import (
	"errors"
	"fmt"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

// ErrOrder is an engine's own refusal of an order. Other errors leave it unknown whether the engine took the order.
type ErrOrder struct{ model.EngineError }

// Error gives the engine's code and message.
func (e ErrOrder) Error() string { return fmt.Sprintf("order refused: %s: %s", e.Code, e.Message) }

// Report applies an engine's report. Reports of a lower incarnation, or measured before the one known, are ignored.
func (w *Rollout) Report(now time.Time, report model.LoadReport) {
	w.now = now
	if report.Model == "" {
		return
	}
	e, ok := w.engines.Get(report.Endpoint)
	if !ok || report.Incarnation > e.report.Incarnation {
		// What was ordered from a former process is lost with it.
		e = &engine{skew: report.At.Sub(now)}
		w.engines.Put(report.Endpoint, e)
	} else if report.Incarnation < e.report.Incarnation || !report.At.After(e.report.At) {
		return
	}
	if !report.Swapping {
		e.swapSeen = time.Time{}
	} else if e.swapSeen.IsZero() || report.Target != e.report.Target {
		e.swapSeen = now
	}
	e.skew = max(e.skew, report.At.Sub(now))
	e.report, e.measured, e.leaving = report, report.At.Add(-e.skew), e.leaving || report.Leaving
	w.settle(now, e)
}

// settle ends the order of an engine whose report tells what became of it. A report without a swap and with the old
// version may have been measured before the order arrived; it counts only if it is known that the order had arrived.
func (w *Rollout) settle(now time.Time, e *engine) {
	o := e.order
	if o == nil {
		return
	}
	report := e.report
	switch {
	case report.Version >= o.version && !report.Swapping:
		if t, ok := w.targets.Get(report.Model); ok {
			t.window.succeeded(now, o.sent, w.limits.Models[report.Model].MaxSwapping)
		}
		e.order, e.failures, e.notBefore = nil, 0, time.Time{}
	case report.Swapping && report.Target >= o.version || !o.accepted && report.Target >= o.version && o.targetBefore < o.version:
		if !o.accepted {
			o.accepted, o.acceptedAt = true, report.At
		}
		if !report.Swapping {
			w.fail(now, e)
		}
	case o.accepted && !report.Swapping && report.At.After(o.acceptedAt):
		w.fail(now, e)
	}
}

// Result applies the answer to an engine's latest order. The adapter gives one result for each order, before the swap
// timeout. After an answer that was lost, the order counts as a swap until a report or the swap timeout ends it.
func (w *Rollout) Result(now time.Time, id model.EndpointID, result model.OrderResult, err error) {
	w.now = now
	e, ok := w.engines.Get(id)
	var refused ErrOrder
	isRefused := errors.As(err, &refused)
	if isRefused && refused.Code == model.EngineCodeStaleFence {
		w.refuseFence(e, refused.Fence)
	}
	if !ok || e.order == nil || err != nil && !isRefused {
		return
	}
	switch {
	case err == nil && result.Accepted:
		if report := result.Report; report.Target >= e.order.version || report.Version >= e.order.version {
			e.order.accepted, e.order.acceptedAt = true, report.At
		}
		w.Report(now, result.Report)
	case refused.Code == model.EngineCodeStaleFence:
		e.order = nil
	case refused.Code == model.EngineCodeLeaving:
		e.order, e.leaving = nil, true
	case refused.Code == model.EngineCodeOverloaded:
		// The store limits the rate: that is no failure of this engine, so its own delay doesn't grow.
		if t, ok := w.targets.Get(e.report.Model); ok {
			t.window.overloaded(now, w.served(e.report.Model))
		}
		e.order, e.notBefore = nil, now.Add(w.settings.OverloadDelay)
	default:
		w.fail(now, e)
	}
}

// refuseFence ends leading if the refusal concerns the present fence. The answer to an order of an earlier term of this
// instance may come after a new term has begun, so the engine's fence is compared, or else the order's own one.
func (w *Rollout) refuseFence(e *engine, known int64) {
	if known == 0 && e != nil && e.order != nil {
		known = e.order.fence + 1
	}
	if known > w.fence {
		w.stale, w.leading = max(w.stale, known), false
	}
}

// served counts a model's swaps that engines have accepted.
func (w *Rollout) served(name model.ModelName) int {
	count := 0
	for _, e := range w.engines.All() {
		if e.report.Model == name && w.busy(e) && (e.report.Swapping || e.order.accepted) {
			count++
		}
	}
	return count
}

// fail ends an order and delays the next one to the same engine; other engines aren't held up.
func (w *Rollout) fail(now time.Time, e *engine) {
	e.order = nil
	delay := w.settings.RetryDelay
	for range e.failures {
		if delay *= 2; delay >= w.settings.MaxRetryDelay {
			delay = w.settings.MaxRetryDelay
			break
		}
	}
	e.failures++
	e.notBefore = now.Add(delay)
}
