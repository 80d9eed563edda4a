package jujubecore

import (
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubeclaim"
	"jujubepier.example/core/services/jujubeconfig"
)

// IsReady tells whether the instance knows a configuration and may serve callers.
func (c *Core) IsReady() bool { return c.applied > 0 && !c.leaving }

// Limits returns the limits in force.
func (c *Core) Limits() model.Limits { return c.limits }

// ConfigNext returns the offset from which the configuration stream has to be read next.
func (c *Core) ConfigNext() int64 { return c.fold.Next() }

// ConfigState returns the configuration for another instance.
func (c *Core) ConfigState() jujubeconfig.State { return c.fold.State() }

// Members returns the live entry instances, in the order of their ids.
func (c *Core) Members() []model.Member { return c.members.Live() }

// KeyPrefix returns the prefix for new idempotency keys of this instance.
func (c *Core) KeyPrefix(now time.Time) string { return c.claims.KeyPrefix(now) }

// FreezeKeys ends the running of non-idempotent requests and returns the outcomes for a successor.
func (c *Core) FreezeKeys(now time.Time) []jujubeclaim.Entry { return c.claims.Freeze(now) }

// IsFollowing tells whether this instance reads the log continuously: all do while they are few, and otherwise two in
// each data centre, so that the reads of the log don't grow with the instances.
func (c *Core) IsFollowing() bool {
	const (
		followAll      = 16
		followersPerDC = 2
	)
	live := c.members.Live()
	if len(live) <= followAll || c.rank() < leaseCandidates {
		return true
	}
	before := 0
	for _, member := range live {
		if member.ID == c.self.ID {
			break
		}
		if member.DataCentre == c.self.DataCentre {
			before++
		}
	}
	return before < followersPerDC
}

// PolledEndpoints returns the endpoints whose load this instance reads: the watched ones, and all while this instance
// leads the weight rollout, because the leader decides by each engine's own report.
func (c *Core) PolledEndpoints(now time.Time) []model.Endpoint {
	watched := make(map[model.EndpointID]bool)
	for _, row := range c.router.Endpoints(now) {
		watched[row.Endpoint.ID] = row.Watched
	}
	endpoints := make([]model.Endpoint, 0, len(watched))
	for id, row := range c.endpoints.All() {
		if row.listed && (watched[id] || !row.isUsable() || (c.leading && row.endpoint.Kind == model.KindEngine)) {
			endpoints = append(endpoints, row.endpoint)
		}
	}
	return endpoints
}

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

// IsReplaced tells whether another process runs under this instance's id with a newer incarnation.
func (c *Core) IsReplaced() bool { return c.members.Replaced() }

// IsLogAway tells whether the log was last seen not to answer.
func (c *Core) IsLogAway() bool { return c.logAway }

// IsLeaseCandidate tells whether this instance follows the lease.
func (c *Core) IsLeaseCandidate() bool { return c.rank() < leaseCandidates }

// HasOpenParts tells whether step parts are in progress.
func (c *Core) HasOpenParts() bool { return c.steps.HasOpen() }

// Endpoint returns the row of an endpoint.
func (c *Core) Endpoint(id model.EndpointID) (model.Endpoint, bool) {
	row, known := c.endpoints.Get(id)
	return row.endpoint, known
}

// Status describes the instance for operators.
func (c *Core) Status(now time.Time) model.Status {
	state := c.fold.State()
	lease := c.lease.State(now)
	return model.Status{
		Instance: c.self.ID, Incarnation: c.self.Incarnation, DataCentre: c.self.DataCentre,
		Ready: c.IsReady(), Leaving: c.leaving, Members: c.members.Live(), Endpoints: c.endpointStatuses(now),
		Config: model.ConfigStatus{
			Known: c.applied > 0, Revision: c.applied, Through: state.Through, Digest: state.Digest, InForceAt: c.appliedAt,
		},
		Rollouts: c.rolloutStatuses(), Parts: c.steps.Parts(), Quarantine: c.quarantineStatuses(),
		Lease:        model.LeaseStatus{Holder: lease.Holder, Fence: c.fence, Held: c.leading},
		LogAvailable: !c.logAway,
	}
}

func (c *Core) endpointStatuses(now time.Time) []model.EndpointStatus {
	views := c.router.Endpoints(now)
	statuses := make([]model.EndpointStatus, 0, len(views))
	for _, view := range views {
		row, _ := c.endpoints.Get(view.Endpoint.ID)
		state := "Serving"
		switch {
		case row.isLeaving():
			state = "Leaving"
		case !row.isUsable():
			state = "Lost"
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
