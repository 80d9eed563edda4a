package jujubecore

import (
	"slices"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubeclaim"
	"jujubepier.example/core/services/jujubeconfig"
	"jujubepier.example/core/services/jujuberouter"
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
func (c *Core) Members() []model.Member { return slices.Clone(c.members.Live()) }

// KeyPrefix returns the prefix for new idempotency keys of this instance.
func (c *Core) KeyPrefix(now time.Time) string { return c.claims.KeyPrefix(now) }

// FreezeKeys ends the running of non-idempotent requests and returns the outcomes for a successor.
func (c *Core) FreezeKeys(now time.Time) []jujubeclaim.Entry { return c.claims.Freeze(now) }

const (
	// followAll is the number of instances up to which all follow the log.
	followAll = 16
	// followersPerDC are enough that one is left in each data centre when another restarts.
	followersPerDC = 2
)

// followers returns the instances that read the log continuously: all while they are few, and otherwise two in each data
// centre and the candidates for the lease, so that the reads of the log don't grow with the instances.
func (c *Core) followers() []model.Member {
	live := c.members.Live()
	if len(live) <= followAll {
		return live
	}
	var followers []model.Member
	counts := make(map[model.DataCentre]int)
	for rank, member := range live {
		if rank < leaseCandidates || counts[member.DataCentre] < followersPerDC {
			followers = append(followers, member)
		}
		counts[member.DataCentre]++
	}
	return followers
}

// IsFollowing tells whether this instance reads the log continuously.
func (c *Core) IsFollowing() bool {
	return slices.ContainsFunc(c.followers(), func(member model.Member) bool { return member.ID == c.self.ID })
}

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

// Rank returns the place of this instance among the live ones.
func (c *Core) Rank() int { return c.rank() }

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
		Ready: c.IsReady(), Leaving: c.leaving, Members: c.Members(), Endpoints: c.endpointStatuses(now),
		Config: model.ConfigStatus{
			Known: c.applied > 0, Revision: c.applied, Through: state.Through, Digest: c.appliedDigest, InForceAt: c.appliedAt,
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
