package jujuberouter

import (
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

// row is what is known of one endpoint.
type row struct {
	endpoint model.Endpoint
	pool     *pool
	load     model.LoadReport
	loaded   bool
	// reflected is this instance's time up to which the load report includes own dispatches.
	reflected time.Time
	// inFlight equals the outstanding dispatches to the endpoint, of all incarnations.
	inFlight int
	// recent holds the times of dispatches that are in flight and not yet in the load report, oldest first.
	recent []sent
	cache  prefixes
	// share is the own part of the limit per endpoint, when limited; valid while the pool isn't stale.
	share   int
	limited bool
	watched bool
	// rendezvous orders the endpoints for this instance.
	rendezvous uint64

	removed   bool
	removedAt time.Time

	failures int
	// asides counts the times aside since the last success.
	asides     int
	asideUntil time.Time
	// trial is the one request that runs after the time aside.
	trial model.RequestID
}

type sent struct {
	id model.RequestID
	at time.Time
}

func (e *row) isOpen() bool { return !e.removed && !e.endpoint.Leaving }

// isAside tells whether health forbids a dispatch: the time aside runs, or its trial request does.
func (e *row) isAside(now time.Time) bool {
	return e.asides > 0 && (now.Before(e.asideUntil) || e.trial != "")
}

func (e *row) hasRoom() bool { return !e.limited || e.inFlight < e.share }

// adopt resets what belongs to an older incarnation.
func (e *row) adopt(incarnation model.Incarnation) {
	e.endpoint.Incarnation = incarnation
	e.endpoint.Leaving = false
	e.load, e.loaded, e.reflected, e.recent = model.LoadReport{}, false, time.Time{}, nil
	e.cache = prefixes{}
	e.failures, e.asides, e.trial = 0, 0, ""
}

// PutEndpoint adds an endpoint or updates it. An older incarnation is ignored, and Leaving isn't taken back.
func (r *Router[P]) PutEndpoint(_ time.Time, endpoint model.Endpoint) {
	e, ok := r.rows.Get(endpoint.ID)
	if !ok {
		e = &row{endpoint: endpoint, rendezvous: hashPair(string(r.settings.Instance), string(endpoint.ID))}
		r.rows.Put(endpoint.ID, e)
	}
	if endpoint.Incarnation != 0 && endpoint.Incarnation < e.endpoint.Incarnation {
		return
	}
	if endpoint.Incarnation > e.endpoint.Incarnation {
		e.adopt(endpoint.Incarnation)
	}
	endpoint.Incarnation = e.endpoint.Incarnation
	endpoint.Leaving = endpoint.Leaving || e.endpoint.Leaving
	e.endpoint, e.removed = endpoint, false
	r.placeRow(e)
}

// placeRow puts an endpoint into the pool of its model or service.
func (r *Router[P]) placeRow(e *row) {
	p := r.getPool(poolKey(e.endpoint.Kind, e.endpoint.Model, e.endpoint.Service))
	if e.pool != nil && e.pool != p {
		e.pool.rows.Delete(e.endpoint.ID)
		e.pool.stale = true
	}
	e.pool = p
	p.rows.Put(e.endpoint.ID, e)
	p.stale = true
}

// MarkLeaving stops new work for an endpoint's present incarnation.
func (r *Router[P]) MarkLeaving(_ time.Time, id model.EndpointID) {
	if e, ok := r.rows.Get(id); ok && !e.endpoint.Leaving {
		e.endpoint.Leaving = true
		e.pool.stale = true
	}
}

// EndLeaving lets an endpoint have new work again, as it was drained by mistake or only for a while.
func (r *Router[P]) EndLeaving(id model.EndpointID) {
	if e, ok := r.rows.Get(id); ok && e.endpoint.Leaving {
		e.endpoint.Leaving = false
		e.pool.stale = true
	}
}

// RemoveEndpoint stops new work for an endpoint; its row goes away once nothing is in flight.
func (r *Router[P]) RemoveEndpoint(now time.Time, id model.EndpointID) {
	if e, ok := r.rows.Get(id); ok && !e.removed {
		e.removed, e.removedAt = true, now
		e.pool.stale = true
	}
}

func (r *Router[P]) forgetRemoved(now time.Time) {
	for id, e := range r.rows.All() {
		if e.removed && e.inFlight == 0 && now.Sub(e.removedAt) > r.settings.ForgetRemoved {
			r.rows.Delete(id)
			e.pool.rows.Delete(id)
		}
	}
}

// ReportLoad applies a load report. Reports of older incarnations, older times and unknown endpoints are ignored.
func (r *Router[P]) ReportLoad(now time.Time, report model.LoadReport) {
	e, ok := r.rows.Get(report.Endpoint)
	if !ok || report.Incarnation < e.endpoint.Incarnation {
		return
	}
	if report.Incarnation > e.endpoint.Incarnation {
		e.adopt(report.Incarnation)
		e.pool.stale = true
	}
	if e.loaded && !report.At.After(e.load.At) {
		return
	}
	if report.Slots != e.load.Slots {
		e.pool.stale = true // the capacity counts slots
	}
	e.load, e.loaded = report, true
	if report.TokensPerSecond > 0 {
		e.pool.tokensPerSecond = report.TokensPerSecond
	}
	reflected := report.At
	if oldest := now.Add(-r.settings.MaxReportLag); reflected.Before(oldest) {
		reflected = oldest
	}
	if reflected.After(now) {
		reflected = now
	}
	e.reflected = reflected
	included := 0
	for included < len(e.recent) && !e.recent[included].at.After(reflected) {
		included++
	}
	e.recent = append(e.recent[:0], e.recent[included:]...)
	if report.Leaving {
		r.MarkLeaving(now, report.Endpoint)
	}
}

// ReportCache applies cache events of an endpoint.
func (r *Router[P]) ReportCache(now time.Time, id model.EndpointID, events []model.CacheEvent) {
	if e, ok := r.rows.Get(id); ok {
		e.cache.apply(now, events, r.settings)
	}
}

// countOutcome keeps an endpoint's health.
func (r *Router[P]) countOutcome(now time.Time, e *row, id model.RequestID, outcome Outcome) {
	if e.trial == id {
		e.trial = ""
	}
	switch {
	case outcome.OK:
		e.failures, e.asides = 0, 0
	case outcome.Failed || outcome.ConnectionRefused:
		e.failures++
		if e.asides == 0 && e.failures < r.settings.Failures && !outcome.ConnectionRefused {
			return
		}
		if e.asides > 0 && now.Before(e.asideUntil) {
			return // requests that started before it was put aside
		}
		aside := r.settings.AsideMin << min(e.asides, 16)
		e.asideUntil = now.Add(min(aside, r.settings.AsideMax))
		e.asides++
	}
}
