package jujubecore

import (
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujuberouter"
)

// PolledEndpoint is an endpoint whose load this instance reads.
type PolledEndpoint struct {
	model.Endpoint
	// ReportedAt is the endpoint's time of its latest report, read or with an answer; zero before the first.
	ReportedAt time.Time
	// Urgent is true while this instance leads a rollout that isn't done: an engine gets an order only by a fresh report.
	Urgent bool
}

// PolledEndpoints returns the endpoints whose load this instance reads: the watched ones, and all while this instance
// leads the weight rollout, because the leader decides by each engine's own report.
func (c *Core) PolledEndpoints(now time.Time) []PolledEndpoint {
	urgent := make(map[model.ModelName]bool)
	if c.leading {
		for name := range c.versions.All() {
			progress := c.rollout.Progress(name)
			urgent[name] = progress.Waiting+progress.Swapping > 0
		}
	}
	views := make(map[model.EndpointID]jujuberouter.EndpointRow)
	for _, view := range c.router.Endpoints(now) {
		if view.Watched || c.leading {
			views[view.Endpoint.ID] = view
		}
	}
	endpoints := make([]PolledEndpoint, 0, len(views))
	for id, row := range c.endpoints.All() {
		view := views[id]
		isLed := c.leading && row.endpoint.Kind == model.KindEngine
		if row.listed && (view.Watched || !row.isUsable() || isLed) {
			endpoints = append(endpoints, PolledEndpoint{
				Endpoint: row.endpoint, ReportedAt: view.Load.At, Urgent: isLed && urgent[row.endpoint.Model],
			})
		}
	}
	return endpoints
}

// IsSwapping tells whether this instance leads the rollout and waits for the engine's swap to end.
func (c *Core) IsSwapping(id model.EndpointID) bool { return c.leading && c.rollout.IsOrdered(id) }

// InFlightOn counts this instance's requests on an endpoint.
func (c *Core) InFlightOn(id model.EndpointID) int {
	count := 0
	for _, request := range c.requests.All() {
		if request.endpoint == id {
			count++
		}
	}
	return count
}
