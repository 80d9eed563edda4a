package jujubecore

import (
	"slices"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubeclaim"
	"jujubepier.example/core/services/jujubeconfig"
	"jujubepier.example/core/services/jujuberouter"
)

// IsReady reports whether the instance has a configuration, isn't leaving and may serve callers.
func (c *Core) IsReady() bool { return c.appliedRevision > 0 && !c.leaving }

// Limits returns the limits in force.
func (c *Core) Limits() model.Limits { return c.limits }

// NextConfigOffset returns the offset at which the next read of the configuration stream must begin.
func (c *Core) NextConfigOffset() int64 { return c.config.NextOffset() }

// ConfigState returns a copy of the configuration, for a peer that fetches it.
func (c *Core) ConfigState() jujubeconfig.State { return c.config.State() }

// Members returns the live entry instances, sorted by id.
func (c *Core) Members() []model.Member { return slices.Clone(c.members.Live()) }

// KeyPrefix returns the prefix for new idempotency keys of this instance.
func (c *Core) KeyPrefix(now time.Time) string { return c.claims.KeyPrefix(now) }

// FreezeKeys stops running non-idempotent requests and returns the outcomes of own keys for a successor.
func (c *Core) FreezeKeys(now time.Time) []jujubeclaim.Entry { return c.claims.Freeze(now) }

// Rank returns the index of this instance among the live instances, sorted by id.
func (c *Core) Rank() int { return c.rank() }

// IsReplaced reports whether another process with a newer incarnation uses this instance's id.
func (c *Core) IsReplaced() bool { return c.members.IsReplaced() }

// IsLogUnavailable reports whether the log was unavailable at the last check.
func (c *Core) IsLogUnavailable() bool { return c.logUnavailable }

// IsLeaseCandidate reports whether this instance reads the lease stream and may claim the lease.
func (c *Core) IsLeaseCandidate() bool { return c.rank() < leaseCandidates }

// HasOpenParts reports whether step parts are in progress.
func (c *Core) HasOpenParts() bool { return c.steps.HasOpenParts() }

// Endpoint returns an endpoint of the instance list by id.
func (c *Core) Endpoint(id model.EndpointID) (model.Endpoint, bool) {
	endpoint, known := c.endpoints.Get(id)
	return endpoint.info, known
}

// ExplainRoute returns what the router would do with a request now, and why. It changes nothing and doesn't consider quarantines.
func (c *Core) ExplainRoute(now time.Time, request jujuberouter.Request) model.RouteExplanation {
	explanation := c.router.Explain(now, request)
	explanation.Instance = c.self.ID
	return explanation
}
