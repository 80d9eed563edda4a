package jujubecore

import (
	"slices"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubedocument"
	"jujubepier.example/core/services/jujubelease"
	"jujubepier.example/core/services/jujubeweight"
)

// fetchPause is the least time between two reads of a peer's configuration.
const fetchPause = 500 * time.Millisecond

func (c *Core) applyConfigRead(now time.Time, read model.LogRead) []Action {
	c.fold.ApplyRead(read)
	return c.applyConfig(now)
}

// applyConfig puts the folded revision in force if it is newer than the present one.
func (c *Core) applyConfig(now time.Time) []Action {
	state := c.fold.State()
	if !state.InForce() || state.Revision <= max(c.applied, c.unusable) {
		return nil
	}
	document, err := jujubedocument.Parse("revision", []byte(state.Document))
	if err != nil {
		// The publisher checks a document before it publishes; another program may not.
		c.unusable = state.Revision
		return []Action{ConfigApplied{Revision: state.Revision, Digest: state.Digest, Err: err}}
	}
	c.limits = document.Limits()
	c.limits.Revision = state.Revision
	c.applied, c.appliedDigest, c.appliedAt = state.Revision, state.Digest, now
	c.wanted = max(c.wanted, state.Revision)
	c.router.SetLimits(c.limits)
	c.steps.SetLimits(c.limits)
	c.rollout.SetLimits(c.limits)
	for name, version := range c.versions.All() {
		// The rollout passes over announcements of models that it doesn't know.
		c.rollout.Announce(now, name, version)
	}
	c.members.Publish(now, configRumour(state.Revision))
	return []Action{ConfigApplied{Revision: state.Revision, Digest: state.Digest}}
}

func (c *Core) tickConfig(now time.Time) []Action {
	var actions []Action
	if c.isNeedingConfig() && !now.Before(c.nextFetch) {
		if peer, ok := c.anyPeer(); ok {
			c.nextFetch = now.Add(fetchPause)
			actions = append(actions, FetchConfig{From: peer})
		}
	}
	if c.logAway || c.rank() != 0 {
		return actions
	}
	if record, due := c.fold.Checkpoint(now); due {
		actions = append(actions, AppendConfig{Record: record})
	}
	return actions
}

// isNeedingConfig tells whether a peer may know a newer configuration than this instance.
func (c *Core) isNeedingConfig() bool {
	return c.wanted > c.applied || c.applied == 0
}

// anyPeer picks another instance to read the configuration from: mostly one that follows the log, since the others only
// have it from one of those. One pick in four is of all instances, for when the followers can't be reached.
func (c *Core) anyPeer() (model.Member, bool) {
	isSelf := func(member model.Member) bool { return member.ID == c.self.ID }
	peers := slices.DeleteFunc(slices.Clone(c.followers()), isSelf)
	if len(peers) == 0 || c.random.Intn(4) == 0 {
		peers = slices.DeleteFunc(slices.Clone(c.members.Live()), isSelf)
	}
	if len(peers) == 0 {
		return model.Member{}, false
	}
	return peers[c.random.Intn(len(peers))], true
}

func (c *Core) tickLease(now time.Time) []Action {
	var actions []Action
	candidate := !c.leaving && c.rank() < leaseCandidates
	for _, record := range c.lease.Tick(now, candidate) {
		actions = append(actions, AppendLease{Record: record})
	}
	state := c.lease.State(now)
	// Engines take a fencing number of zero as none, so the number is the offset plus one.
	if fence := state.Fence + 1; fence > c.fence {
		c.fence = fence
		c.members.Publish(now, fenceRumour(fence))
	}
	leading := c.isLeading(state)
	if leading || c.leading {
		c.rollout.Lead(now, leading, c.fence)
	}
	c.leading = leading
	return actions
}

// isLeading tells whether this instance gives the orders. While the log is away no lease can be renewed; then the last
// holder goes on, and if it is dead the lowest-ranked instance takes over with the highest fence known. Orders are
// absolute and versions only grow, so two orderers cost at most some more engines swapping at once.
func (c *Core) isLeading(state jujubelease.State) bool {
	if state.Degraded && c.fence > state.Fence+1 {
		// Only this instance has lost the log: a peer has claimed the lease, and c.fence is that peer's.
		return false
	}
	if state.Held || !c.logAway || state.Degraded {
		return state.Held || state.Degraded
	}
	for _, member := range c.members.Live() {
		if member.ID == state.Holder {
			return false
		}
	}
	return c.rank() == 0
}

// announce takes a newer version of a model; older ones are ignored.
func (c *Core) announce(now time.Time, name model.ModelName, version model.WeightVersion, publish bool) {
	known, _ := c.versions.Get(name)
	if version <= known {
		return
	}
	c.versions.Put(name, version)
	c.rollout.Announce(now, name, version)
	if publish {
		c.members.Publish(now, weightsRumour(name, version))
	}
}

func (c *Core) tickWeights(now time.Time) []Action {
	if !c.leading {
		return nil
	}
	var actions []Action
	for _, order := range c.rollout.Tick(now) {
		row, known := c.endpoints.Get(order.Endpoint)
		if known {
			actions = append(actions, SendOrder{Order: order, Address: row.endpoint.Address})
		}
	}
	return actions
}

// orderError tells an engine's refusal from a lost answer, after which the engine may have taken the order.
func orderError(answered OrderAnswered) error {
	switch {
	case answered.Refusal.Code != "":
		return jujubeweight.ErrOrder{EngineError: answered.Refusal}
	case answered.Lost:
		return ErrOrderLost{Endpoint: answered.Endpoint}
	}
	return nil
}

func (c *Core) applyOrderAnswered(now time.Time, answered OrderAnswered) {
	c.rollout.Result(now, answered.Endpoint, answered.Result, orderError(answered))
	if answered.Result.Report.Endpoint != "" {
		c.applyLoad(now, answered.Result.Report)
	}
}
