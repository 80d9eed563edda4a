package jujubecore

import (
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

// Status returns the state of the instance, for operators.
func (c *Core) Status(now time.Time) model.Status {
	state := c.config.State()
	lease := c.lease.State(now)
	return model.Status{
		Instance: c.self.ID, Incarnation: c.self.Incarnation, DataCentre: c.self.DataCentre,
		Ready: c.IsReady(), Leaving: c.leaving, Members: c.Members(), Endpoints: c.endpointStatuses(now),
		Config: model.ConfigStatus{
			Known: c.appliedRevision > 0, Revision: c.appliedRevision, Through: state.Through, Digest: c.appliedDigest, InForceAt: c.appliedAt,
		},
		Rollouts: c.rolloutStatuses(), Parts: c.steps.Parts(), Quarantine: c.quarantineStatuses(),
		Lease:        model.LeaseStatus{Holder: lease.Holder, Fence: c.fencingToken, Held: c.leading},
		LogAvailable: !c.logUnavailable,
	}
}

func (c *Core) endpointStatuses(now time.Time) []model.EndpointStatus {
	views := c.router.Endpoints(now)
	statuses := make([]model.EndpointStatus, 0, len(views))
	for _, view := range views {
		endpoint, _ := c.endpoints.Get(view.Endpoint.ID)
		state := model.EndpointServing
		switch {
		case endpoint.isLeaving():
			state = model.EndpointLeaving
		case !endpoint.isUsable():
			state = model.EndpointLost
		}
		statuses = append(statuses, model.EndpointStatus{
			Endpoint: view.Endpoint, Load: view.Load, InFlight: view.InFlight, Watched: view.Watched, State: state,
		})
	}
	return statuses
}

func (c *Core) rolloutStatuses() []model.RolloutStatus {
	var statuses []model.RolloutStatus
	for name := range c.versions.All() {
		statuses = append(statuses, c.rollout.Progress(name).RolloutStatus)
	}
	return statuses
}

func (c *Core) quarantineStatuses() []model.QuarantineStatus {
	entries := c.quarantine.List()
	statuses := make([]model.QuarantineStatus, 0, len(entries))
	for _, entry := range entries {
		statuses = append(statuses, model.QuarantineStatus{
			Fingerprint: entry.Fingerprint, State: string(entry.State), Crashes: entry.Crashes, Until: entry.Until,
		})
	}
	return statuses
}
