package jujuberouter

import (
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubeprompt"
)

// endpointState is the router's state of one endpoint.
type endpointState struct {
	endpoint model.Endpoint
	pool     *pool
	load     model.LoadReport
	hasLoad  bool
	// loadAt is when the load report was received.
	loadAt time.Time
	// reportedUntil is the time, on this instance's clock, up to which the load report includes this instance's dispatches.
	reportedUntil time.Time
	// inFlight is the number of this instance's requests in flight on the endpoint, over all incarnations.
	inFlight int
	// unreported holds the dispatches in flight that the load report doesn't include yet, oldest first.
	unreported []dispatchRecord
	// prompts is the estimate of what the endpoint keeps of prompts.
	prompts *jujubeprompt.Memory
	// lastCacheEvent is the sequence number of the last applied cache event.
	lastCacheEvent int64
	// instanceLimit is this instance's part of the limit per endpoint, when limited; valid while the pool isn't stale.
	instanceLimit int
	limited       bool
	watched       bool
	// rendezvous is the rendezvous hash that orders the endpoints for this instance.
	rendezvous uint64

	// throttledUntil is until when the rate that the endpoint names allows no request, by priority.
	throttledUntil [model.PriorityBackground + 1]time.Time

	removed   bool
	removedAt time.Time

	// failures counts the failed requests since the last success.
	failures int
	// ejections counts the ejections since the last success.
	ejections    int
	ejectedUntil time.Time
	// probe is the single request that is let through after an ejection.
	probe model.RequestID
}

// dispatchRecord is a dispatch that is in flight.
type dispatchRecord struct {
	id model.RequestID
	at time.Time
}

// isActive reports whether the endpoint is neither removed nor leaving, so that it may get new requests.
func (e *endpointState) isActive() bool { return !e.removed && !e.endpoint.Leaving }

// isEjected reports whether failures keep the endpoint out of use: the ejection lasts, or its probe request is in flight.
func (e *endpointState) isEjected(now time.Time) bool {
	return e.ejections > 0 && (now.Before(e.ejectedUntil) || e.probe != "")
}

func (e *endpointState) isThrottled(now time.Time, priority model.Priority) bool {
	return now.Before(e.throttledUntil[priority])
}

func (e *endpointState) hasCapacity() bool { return !e.limited || e.inFlight < e.instanceLimit }

// resetForIncarnation switches to a newer incarnation and drops the state of the older one.
func (e *endpointState) resetForIncarnation(incarnation model.Incarnation) {
	e.endpoint.Incarnation = incarnation
	e.endpoint.Leaving = false
	e.load, e.hasLoad, e.reportedUntil, e.unreported = model.LoadReport{}, false, time.Time{}, nil
	e.lastCacheEvent = 0
	e.prompts.Reset()
	e.failures, e.ejections, e.probe = 0, 0, ""
	clear(e.throttledUntil[:])
}

// PutEndpoint adds or updates an endpoint. An older incarnation is ignored, and Leaving isn't reset within an incarnation.
func (r *Router[P]) PutEndpoint(_ time.Time, endpoint model.Endpoint) {
	e, ok := r.endpoints.Get(endpoint.ID)
	if !ok {
		e = &endpointState{
			endpoint: endpoint, rendezvous: rendezvousHash(string(r.settings.Instance), string(endpoint.ID)),
			prompts: jujubeprompt.NewMemory(jujubeprompt.MemorySettings{MaxParts: r.settings.MaxPrefixes, MaxAge: r.settings.PrefixRetention}),
		}
		r.endpoints.Put(endpoint.ID, e)
	}
	if endpoint.Incarnation != 0 && endpoint.Incarnation < e.endpoint.Incarnation {
		return
	}
	if endpoint.Incarnation > e.endpoint.Incarnation {
		e.resetForIncarnation(endpoint.Incarnation)
	}
	endpoint.Incarnation = e.endpoint.Incarnation
	endpoint.Leaving = endpoint.Leaving || e.endpoint.Leaving
	e.endpoint, e.removed = endpoint, false
	r.assignPool(e)
}

// ForgetFailures ends all ejections, when the failures were those of this instance's links.
func (r *Router[P]) ForgetFailures() {
	for _, e := range r.endpoints.All() {
		e.failures, e.ejections, e.ejectedUntil, e.probe = 0, 0, time.Time{}, ""
	}
}

// assignPool moves an endpoint to the pool of its model or service.
func (r *Router[P]) assignPool(e *endpointState) {
	p := r.ensurePool(newPoolKey(e.endpoint.Kind, e.endpoint.Model, e.endpoint.Service))
	if e.pool != nil && e.pool != p {
		e.pool.endpoints.Delete(e.endpoint.ID)
		e.pool.stale = true
	}
	e.pool = p
	p.endpoints.Put(e.endpoint.ID, e)
	p.stale = true
}

// MarkLeaving stops new requests to an endpoint's current incarnation.
func (r *Router[P]) MarkLeaving(_ time.Time, id model.EndpointID) {
	if e, ok := r.endpoints.Get(id); ok && !e.endpoint.Leaving {
		e.endpoint.Leaving = true
		e.pool.stale = true
	}
}

// ClearLeaving allows new requests to an endpoint again, for endpoints that were drained by mistake or only temporarily.
func (r *Router[P]) ClearLeaving(id model.EndpointID) {
	if e, ok := r.endpoints.Get(id); ok && e.endpoint.Leaving {
		e.endpoint.Leaving = false
		e.pool.stale = true
	}
}

// Throttle stops new requests of a priority, and of lower ones, to an endpoint until the rate that it names may allow one.
func (r *Router[P]) Throttle(id model.EndpointID, priority model.Priority, until time.Time) {
	e, ok := r.endpoints.Get(id)
	for ; ok && int(priority) < len(e.throttledUntil); priority++ {
		e.throttledUntil[priority] = until
	}
}

// RemoveEndpoint stops new requests to an endpoint. Its state is deleted after Settings.RemovedRetention, once nothing is in
// flight.
func (r *Router[P]) RemoveEndpoint(now time.Time, id model.EndpointID) {
	if e, ok := r.endpoints.Get(id); ok && !e.removed {
		e.removed, e.removedAt = true, now
		e.pool.stale = true
	}
}

// deleteRemoved deletes the state of endpoints that were removed long enough ago.
func (r *Router[P]) deleteRemoved(now time.Time) {
	for id, e := range r.endpoints.All() {
		if e.removed && e.inFlight == 0 && now.Sub(e.removedAt) > r.settings.RemovedRetention {
			r.endpoints.Delete(id)
			e.pool.endpoints.Delete(id)
		}
	}
}

// ReportLoad applies a load report. Reports of unknown endpoints, of older incarnations and older than the last one are ignored.
func (r *Router[P]) ReportLoad(now time.Time, report model.LoadReport) {
	e, ok := r.endpoints.Get(report.Endpoint)
	if !ok || report.Incarnation < e.endpoint.Incarnation {
		return
	}
	if report.Incarnation > e.endpoint.Incarnation {
		e.resetForIncarnation(report.Incarnation)
		e.pool.stale = true
	}
	if e.hasLoad && !report.At.After(e.load.At) {
		return
	}
	if report.Slots != e.load.Slots {
		e.pool.stale = true // the pool's capacity is computed from the slots
	}
	e.load, e.hasLoad, e.loadAt = report, true, now
	if report.TokensPerSecond > 0 {
		e.pool.tokensPerSecond = report.TokensPerSecond
	}
	reportedUntil := report.At
	if oldest := now.Add(-r.settings.MaxReportLag); reportedUntil.Before(oldest) {
		reportedUntil = oldest
	}
	if reportedUntil.After(now) {
		reportedUntil = now
	}
	e.reportedUntil = reportedUntil
	included := 0
	for included < len(e.unreported) && !e.unreported[included].at.After(reportedUntil) {
		included++
	}
	e.unreported = append(e.unreported[:0], e.unreported[included:]...)
	if report.Leaving {
		r.MarkLeaving(now, report.Endpoint)
	}
}

// ReportCache applies the cache events of an endpoint.
func (r *Router[P]) ReportCache(now time.Time, id model.EndpointID, events []model.CacheEvent) {
	if e, ok := r.endpoints.Get(id); ok {
		r.applyCacheEvents(now, e, events)
	}
}

// updateHealth applies the outcome of a request to the endpoint's failure count, and ejects the endpoint after too many failures
// or a refused connection.
func (r *Router[P]) updateHealth(now time.Time, e *endpointState, id model.RequestID, outcome Outcome) {
	if e.probe == id {
		e.probe = ""
	}
	switch {
	case outcome.OK:
		e.failures, e.ejections = 0, 0
	case outcome.Failed || outcome.ConnectionRefused:
		e.failures++
		if e.ejections == 0 && e.failures < r.settings.EjectAfterFailures && !outcome.ConnectionRefused {
			return
		}
		if e.ejections > 0 && now.Before(e.ejectedUntil) {
			return // the request was dispatched before the ejection
		}
		ejection := r.settings.MinEjectionTime << min(e.ejections, 16)
		e.ejectedUntil = now.Add(min(ejection, r.settings.MaxEjectionTime))
		e.ejections++
	}
}
