package jujuberouter

import (
	"slices"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

// EndpointRow is a read-only copy of what is known of an endpoint.
type EndpointRow struct {
	Endpoint model.Endpoint
	Load     model.LoadReport
	InFlight int
	// Share is this instance's part of the endpoint's limit; -1 without a limit.
	Share    int
	Watched  bool
	Removed  bool
	Aside    bool
	Prefixes int
}

// TrainerShare is this instance's part of a trainer's limit; Share is -1 without a limit.
type TrainerShare struct {
	Trainer  model.TrainerID
	Share    int
	InFlight int
}

// QueueRow counts the waiting requests of a model or service.
type QueueRow struct {
	Kind      model.EndpointKind
	Model     model.ModelName
	Service   model.ServiceName
	Waiting   [model.PriorityBackground + 1]int
	InFlight  int
	PerSecond float64
	Watched   int
}

// Endpoints returns the endpoints in the order of their ids.
func (r *Router[P]) Endpoints(now time.Time) []EndpointRow {
	rows := make([]EndpointRow, 0, r.rows.Len())
	for _, e := range r.rows.All() {
		r.refresh(e.pool)
		view := EndpointRow{
			Endpoint: e.endpoint, Load: e.load, InFlight: e.inFlight, Share: -1, Watched: e.watched,
			Removed: e.removed, Aside: e.isAside(now), Prefixes: len(e.cache.order),
		}
		if e.limited {
			view.Share = e.share
		}
		rows = append(rows, view)
	}
	return rows
}

// HasVersion tells whether a watched engine of a model serves a version or a later one.
func (r *Router[P]) HasVersion(name model.ModelName, version model.WeightVersion) bool {
	p, ok := r.pools[poolKey(model.KindEngine, name, "")]
	if !ok {
		return false
	}
	r.refresh(p)
	return slices.ContainsFunc(p.watched, func(e *row) bool { return e.load.Version >= version })
}

// QueueLength returns the number of waiting requests.
func (r *Router[P]) QueueLength() int { return r.queued }

// Queues returns a row for each model and service.
func (r *Router[P]) Queues() []QueueRow {
	rows := make([]QueueRow, 0, len(r.poolOrder))
	for _, p := range r.poolOrder {
		r.refresh(p)
		view := QueueRow{
			Kind: p.name.kind, Model: p.name.model, Service: p.name.service, InFlight: p.inFlight,
			PerSecond: p.drainRate(), Watched: len(p.watched),
		}
		for i := range p.classes {
			view.Waiting[i] = p.classes[i].length
		}
		rows = append(rows, view)
	}
	return rows
}

// TrainerShares returns a row for each trainer, in the order of their ids.
func (r *Router[P]) TrainerShares() []TrainerShare {
	rows := make([]TrainerShare, 0, r.trainers.Len())
	for id, t := range r.trainers.All() {
		view := TrainerShare{Trainer: id, Share: -1, InFlight: t.inFlight}
		if t.limited {
			view.Share = t.share
		}
		rows = append(rows, view)
	}
	return rows
}
