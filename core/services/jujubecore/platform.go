package jujubecore

import (
	"slices"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubedocument"
	"jujubepier.example/core/services/jujubelease"
	"jujubepier.example/core/services/jujubeweight"
)

// fetchInterval is the minimum time between two reads of a peer's configuration.
const fetchInterval = 500 * time.Millisecond

func (c *Core) applyConfigRead(now time.Time, read model.LogRead) []Action {
	c.config.ApplyRead(read)
	return c.applyConfig(now)
}

// applyConfig puts the latest revision read from the log or a peer in force, if it is newer than the current one.
func (c *Core) applyConfig(now time.Time) []Action {
	state := c.config.State()
	if !state.InForce() || state.Revision <= max(c.appliedRevision, c.unusableRevision) {
		return nil
	}
	document, err := jujubedocument.Parse("revision", []byte(state.Document))
	if err != nil {
		// The publisher validates documents, but another program may append one without validation.
		c.unusableRevision = state.Revision
		return []Action{ConfigApplied{Revision: state.Revision, Digest: state.Digest, Err: err}}
	}
	c.limits = document.Limits()
	c.limits.Revision = state.Revision
	c.appliedRevision, c.appliedDigest, c.appliedAt = state.Revision, state.Digest, now
	c.announcedRevision = max(c.announcedRevision, state.Revision)
	c.router.SetLimits(c.limits)
	c.steps.SetLimits(c.limits)
	c.rollout.SetLimits(c.limits)
	for name, version := range c.versions.All() {
		// The rollout ignores announcements of models without limits, so they are repeated under the new limits.
		c.rollout.SetTargetVersion(now, name, version)
	}
	c.members.Publish(now, configUpdate(state.Revision))
	return []Action{ConfigApplied{Revision: state.Revision, Digest: state.Digest}}
}

func (c *Core) tickConfig(now time.Time) []Action {
	var actions []Action
	if c.isConfigOutdated() && !now.Before(c.nextFetch) {
		if peer, ok := c.pickConfigPeer(); ok {
			c.nextFetch = now.Add(fetchInterval)
			actions = append(actions, FetchConfig{From: peer})
		}
	}
	if c.logUnavailable || c.rank() != 0 {
		return actions
	}
	if record, due := c.config.Checkpoint(now); due {
		actions = append(actions, AppendConfig{Record: record})
	}
	return actions
}

// isConfigOutdated reports whether a peer may have a newer configuration than this instance.
func (c *Core) isConfigOutdated() bool {
	return c.announcedRevision > c.appliedRevision || c.appliedRevision == 0
}

// pickConfigPeer picks a random peer to read the configuration from, in general a log follower, because the other instances
// only get it from followers. One pick in four is from all live instances, in case no follower can be reached.
func (c *Core) pickConfigPeer() (model.Member, bool) {
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
	// Engines treat a fencing token of zero as unset, so the token is the offset plus one.
	if token := state.Fence + 1; token > c.fencingToken {
		c.fencingToken = token
		c.members.Publish(now, fencingTokenUpdate(token))
	}
	leading := c.isLeading(state)
	if leading || c.leading {
		c.rollout.SetLeading(now, leading, c.fencingToken)
	}
	c.leading = leading
	return actions
}

// isLeading reports whether this instance sends orders to engines. While the log is unavailable no lease can be renewed; the
// last holder continues, and if it is dead the lowest-ranked instance takes over with the highest known fencing token. Orders
// name an absolute version and versions only grow, so two leaders at a time cost at most some more engines swapping at once.
func (c *Core) isLeading(state jujubelease.State) bool {
	if state.Degraded && c.fencingToken > state.Fence+1 {
		// Only this instance has lost the log: a peer has claimed the lease, and c.fencingToken is that peer's.
		return false
	}
	if state.Held || !c.logUnavailable || state.Degraded {
		return state.Held || state.Degraded
	}
	for _, member := range c.members.Live() {
		if member.ID == state.Holder {
			return false
		}
	}
	return c.rank() == 0
}

// announceVersion records a newer version of a model, and publishes it if asked to; older versions are ignored.
func (c *Core) announceVersion(now time.Time, name model.ModelName, version model.WeightVersion, publish bool) {
	known, _ := c.versions.Get(name)
	if version <= known {
		return
	}
	c.versions.Put(name, version)
	c.rollout.SetTargetVersion(now, name, version)
	if publish {
		c.members.Publish(now, weightsUpdate(name, version))
	}
}

func (c *Core) tickWeights(now time.Time) []Action {
	if !c.leading {
		return nil
	}
	var actions []Action
	for _, order := range c.rollout.Tick(now) {
		endpoint, known := c.endpoints.Get(order.Endpoint)
		if known {
			actions = append(actions, SendOrder{Order: order, Address: endpoint.info.Address})
		}
	}
	return actions
}

// orderError returns an engine's refusal as an error, or ErrOrderLost when there was no response; the engine may have
// accepted the order then.
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
	c.rollout.HandleResult(now, answered.Endpoint, answered.Result, orderError(answered))
	if answered.Result.Report.Endpoint != "" {
		c.applyLoadReport(now, answered.Result.Report)
	}
}
