package jujuberouter

import (
	"slices"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

// EndpointView is a read-only snapshot of the state of an endpoint.
type EndpointView struct {
	Endpoint model.Endpoint
	Load     model.LoadReport
	InFlight int
	// Share is this instance's share of the endpoint's limit; -1 without a limit.
	Share int
	// Watched is true for the subset of endpoints that this instance normally dispatches to.
	Watched bool
	Removed bool
	// Ejected is true while the endpoint is ejected after failures.
	Ejected bool
	// Prefixes is the number of prompt prefixes that the endpoint is assumed to cache.
	Prefixes int
}

// TrainerShare is this instance's share of a trainer's limit; Share is -1 without a limit.
type TrainerShare struct {
	Trainer  model.TrainerID
	Share    int
	InFlight int
}

// QueueView is a read-only snapshot of the queue of a model or service.
type QueueView struct {
	Kind    model.EndpointKind
	Model   model.ModelName
	Service model.ServiceName
	// Waiting is the number of waiting requests by priority.
	Waiting  [model.PriorityBackground + 1]int
	InFlight int
	// PerSecond is the estimated number of requests that leave the queue per second.
	PerSecond float64
	// Watched is the number of watched endpoints.
	Watched int
}

// Endpoints returns the state of all endpoints, ordered by id.
func (r *Router[P]) Endpoints(now time.Time) []EndpointView {
	views := make([]EndpointView, 0, r.endpoints.Len())
	for _, e := range r.endpoints.All() {
		r.refresh(e.pool)
		view := EndpointView{
			Endpoint: e.endpoint, Load: e.load, InFlight: e.inFlight, Share: -1, Watched: e.watched,
			Removed: e.removed, Ejected: e.isEjected(now), Prefixes: e.prompts.Count(),
		}
		if e.limited {
			view.Share = e.instanceLimit
		}
		views = append(views, view)
	}
	return views
}

// HasVersion reports whether a watched engine of a model serves the version or a later one.
func (r *Router[P]) HasVersion(name model.ModelName, version model.WeightVersion) bool {
	p, ok := r.pools[newPoolKey(model.KindEngine, name, "")]
	if !ok {
		return false
	}
	r.refresh(p)
	return slices.ContainsFunc(p.watched, func(e *endpointState) bool { return e.load.Version >= version })
}

// HasSoftware reports whether an endpoint remains that could serve a request which requires a software version.
func (r *Router[P]) HasSoftware(request Request) bool {
	p, ok := r.pools[newPoolKey(request.Kind, request.Model, request.Service)]
	if !ok {
		return false
	}
	for _, e := range p.endpoints.All() {
		if e.isActive() && request.allowsSoftware(e.endpoint.SoftwareVersion) && !slices.Contains(request.Exclude, e.endpoint.ID) {
			return true
		}
	}
	return false
}

// QueueLength returns the number of waiting requests.
func (r *Router[P]) QueueLength() int { return r.queued }

// Queues returns the queue of each model and service, in order of creation.
func (r *Router[P]) Queues() []QueueView {
	views := make([]QueueView, 0, len(r.poolOrder))
	for _, p := range r.poolOrder {
		r.refresh(p)
		view := QueueView{
			Kind: p.key.kind, Model: p.key.model, Service: p.key.service, InFlight: p.inFlight,
			PerSecond: p.dequeueRate(), Watched: len(p.watched),
		}
		for i := range p.classes {
			view.Waiting[i] = p.classes[i].length
		}
		views = append(views, view)
	}
	return views
}

// TrainerShares returns this instance's share for each trainer, ordered by id.
func (r *Router[P]) TrainerShares() []TrainerShare {
	views := make([]TrainerShare, 0, r.trainers.Len())
	for id, t := range r.trainers.All() {
		view := TrainerShare{Trainer: id, Share: -1, InFlight: t.inFlight}
		if t.limited {
			view.Share = t.instanceLimit
		}
		views = append(views, view)
	}
	return views
}
