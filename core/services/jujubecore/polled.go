package jujubecore

import (
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujuberouter"
)

// PolledEndpoint is an endpoint whose load this instance polls.
type PolledEndpoint struct {
	model.Endpoint
	// ReportedAt is the time of the latest load report, by the endpoint's clock; the report was polled or came with a
	// response. Zero before the first report.
	ReportedAt time.Time
	// Urgent is true while this instance leads an unfinished rollout: an engine is sent an order only after a fresh report.
	Urgent bool
}

// PolledEndpoints returns the endpoints whose load this instance polls: the watched endpoints, those whose process has ended,
// and all engines while this instance leads the weight rollout, because the leader decides by each engine's own report.
func (c *Core) PolledEndpoints(now time.Time) []PolledEndpoint {
	urgent := make(map[model.ModelName]bool)
	if c.leading {
		for name := range c.versions.All() {
			progress := c.rollout.Progress(name)
			urgent[name] = progress.Waiting+progress.Swapping > 0
		}
	}
	views := make(map[model.EndpointID]jujuberouter.EndpointView)
	for _, view := range c.router.Endpoints(now) {
		if view.Watched || c.leading {
			views[view.Endpoint.ID] = view
		}
	}
	endpoints := make([]PolledEndpoint, 0, len(views))
	for id, endpoint := range c.endpoints.All() {
		view := views[id]
		isLedEngine := c.leading && endpoint.info.Kind == model.KindEngine
		if endpoint.listed && (view.Watched || !endpoint.isUsable() || isLedEngine) {
			endpoints = append(endpoints, PolledEndpoint{
				Endpoint: endpoint.info, ReportedAt: view.Load.At, Urgent: isLedEngine && urgent[endpoint.info.Model],
			})
		}
	}
	return endpoints
}

// IsSwapping reports whether this instance leads the rollout and waits for the engine's swap to end.
func (c *Core) IsSwapping(id model.EndpointID) bool {
	return c.leading && c.rollout.HasOutstandingOrder(id)
}

// InFlightOn returns the number of this instance's requests on an endpoint.
func (c *Core) InFlightOn(id model.EndpointID) int {
	count := 0
	for _, request := range c.requests.All() {
		if request.endpoint == id {
			count++
		}
	}
	return count
}
