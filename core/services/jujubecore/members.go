package jujubecore

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujuberouter"
)

// attemptPayload is the payload of GossipStepAttempt: the newest attempt of a step part.
type attemptPayload struct {
	Key     model.PartKey
	Attempt int64
}

// successorPayload is the payload of GossipSuccessor: the instance that now owns the idempotency keys of one that has shut
// down.
type successorPayload struct {
	From        model.InstanceID
	Incarnation model.Incarnation
	To          model.InstanceID
}

// leavingPayload is the payload of GossipEndpointLeaving. Incarnation is zero when the sender doesn't know it.
type leavingPayload struct {
	Endpoint    model.EndpointID
	Incarnation model.Incarnation
}

func newGossipUpdate(kind model.GossipKind, key string, version int64, payload any) model.Rumour {
	update := model.Rumour{Kind: kind, Key: key, Version: version}
	if payload != nil {
		// Payloads are plain structs, whose encoding can't fail.
		update.Payload, _ = json.Marshal(payload)
	}
	return update
}

func leavingUpdate(id model.EndpointID, endpoint endpointState) model.Rumour {
	return newGossipUpdate(model.GossipEndpointLeaving, string(id), int64(endpoint.leavingIncarnation)+1,
		leavingPayload{Endpoint: id, Incarnation: endpoint.leavingIncarnation})
}

func configUpdate(revision int64) model.Rumour {
	return newGossipUpdate(model.GossipConfig, "revision", revision, nil)
}

func weightsUpdate(name model.ModelName, version model.WeightVersion) model.Rumour {
	return newGossipUpdate(model.GossipWeights, string(name), int64(version), nil)
}

func fencingTokenUpdate(token int64) model.Rumour {
	return newGossipUpdate(model.GossipFence, model.StreamLease, token, nil)
}

func attemptUpdate(key model.PartKey, attempt int64) model.Rumour {
	return newGossipUpdate(model.GossipStepAttempt, key.String(), attempt, attemptPayload{Key: key, Attempt: attempt})
}

func (c *Core) tickMembers(now time.Time) []Action {
	sends := c.members.Tick(now)
	actions := make([]Action, 0, len(sends))
	for _, send := range sends {
		actions = append(actions, SendPeer{To: send.To, Address: send.Address, Message: send.Message})
	}
	return append(actions, c.refreshMembers()...)
}

// refreshMembers passes changed membership to the claims and the router. The router divides the limits by the number of live
// or of listed instances, whichever is greater, so that each side of a network partition stays within its share.
func (c *Core) refreshMembers() []Action {
	if c.members.ChangeCount() == c.refreshedChanges && c.listedEntries == c.refreshedListed {
		return nil
	}
	c.refreshedChanges, c.refreshedListed = c.members.ChangeCount(), c.listedEntries
	live := c.members.Live()
	for _, member := range live {
		c.claims.SetIncarnation(member.ID, member.Incarnation)
	}
	c.router.SetMembers(max(len(live), c.listedEntries, 1), c.rank())
	return nil
}

// rank returns the index of this instance among the live instances, sorted by id.
func (c *Core) rank() int {
	index, _ := slices.BinarySearchFunc(c.members.Live(), c.self.ID, func(member model.Member, id model.InstanceID) int {
		return cmp.Compare(member.ID, id)
	})
	return index
}

func (c *Core) applyGossipUpdates(now time.Time, updates []model.Rumour) []Action {
	for _, update := range updates {
		c.applyGossipUpdate(now, update)
	}
	return nil
}

func (c *Core) applyGossipUpdate(now time.Time, update model.Rumour) {
	switch update.Kind {
	case model.GossipEndpointLeaving:
		c.applyLeavingUpdate(now, update)
	case model.GossipDrain:
		c.applyDrainUpdate(now, update)
	case model.GossipConfig:
		c.announcedRevision = max(c.announcedRevision, update.Version)
	case model.GossipWeights:
		c.announceVersion(now, model.ModelName(update.Key), model.WeightVersion(update.Version), false)
	case model.GossipFence:
		c.fencingToken = max(c.fencingToken, update.Version)
	case model.GossipStepAttempt:
		var payload attemptPayload
		if json.Unmarshal(update.Payload, &payload) == nil {
			c.steps.SupersedePart(now, payload.Key, payload.Attempt)
		}
	case model.GossipSuccessor:
		var payload successorPayload
		if json.Unmarshal(update.Payload, &payload) == nil {
			c.claims.SetSuccessor(payload.From, payload.Incarnation, payload.To)
		}
	case model.GossipSuspect, model.GossipCompletion, model.GossipQuarantine:
		c.quarantine.ApplyUpdate(now, update)
		c.publishAll(now, c.quarantine.PopDerived())
	}
}

func (c *Core) publishAll(now time.Time, updates []model.Rumour) {
	for _, update := range updates {
		c.members.Publish(now, update)
	}
}

func (c *Core) applyLeavingUpdate(now time.Time, update model.Rumour) {
	var payload leavingPayload
	if json.Unmarshal(update.Payload, &payload) != nil {
		return
	}
	endpoint, known := c.endpoints.Get(payload.Endpoint)
	if !known {
		// Other instances may have read the instance list earlier; keep the state until the endpoint is listed here.
		endpoint.info.ID = payload.Endpoint
	}
	endpoint.leaving = true
	endpoint.leavingIncarnation = max(endpoint.leavingIncarnation, payload.Incarnation)
	if payload.Incarnation == 0 {
		// The sender didn't know the incarnation, so the one known here is marked.
		endpoint.leavingIncarnation = max(endpoint.leavingIncarnation, endpoint.incarnation)
	}
	c.endpoints.Put(payload.Endpoint, endpoint)
	if endpoint.isLeaving() {
		c.router.MarkLeaving(now, payload.Endpoint)
	}
}

var _ router = (*jujuberouter.Router[jujuberouter.LeastExpectedWait])(nil)
