package jujubecore

import (
	"slices"
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
func (c *Core) Members() []model.Member { return slices.Clone(c.members.Live()) }

// KeyPrefix returns the prefix for new idempotency keys of this instance.
func (c *Core) KeyPrefix(now time.Time) string { return c.claims.KeyPrefix(now) }

// FreezeKeys ends the running of non-idempotent requests and returns the outcomes for a successor.
func (c *Core) FreezeKeys(now time.Time) []jujubeclaim.Entry { return c.claims.Freeze(now) }

// Rank returns the place of this instance among the live ones.
func (c *Core) Rank() int { return c.rank() }

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
