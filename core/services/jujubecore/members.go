package jujubecore

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujuberouter"
)

// attemptPayload is the payload of RumourStepAttempt.
type attemptPayload struct {
	Key     model.PartKey
	Attempt int64
}

// successorPayload is the payload of RumourSuccessor: who answers for the keys of an instance that has shut down.
type successorPayload struct {
	From        model.InstanceID
	Incarnation model.Incarnation
	To          model.InstanceID
}

// leavingPayload is the payload of RumourEndpointLeaving.
type leavingPayload struct {
	Endpoint    model.EndpointID
	Incarnation model.Incarnation
}

func newRumour(kind model.RumourKind, key string, version int64, payload any) model.Rumour {
	rumour := model.Rumour{Kind: kind, Key: key, Version: version}
	if payload != nil {
		// The payloads are plain structs, which always encode.
		rumour.Payload, _ = json.Marshal(payload)
	}
	return rumour
}

func leavingRumour(id model.EndpointID, row endpointRow) model.Rumour {
	return newRumour(model.RumourEndpointLeaving, string(id), int64(row.leavingIncarnation)+1,
		leavingPayload{Endpoint: id, Incarnation: row.leavingIncarnation})
}

func configRumour(revision int64) model.Rumour {
	return newRumour(model.RumourConfig, "revision", revision, nil)
}

func weightsRumour(name model.ModelName, version model.WeightVersion) model.Rumour {
	return newRumour(model.RumourWeights, string(name), int64(version), nil)
}

func fenceRumour(fence int64) model.Rumour {
	return newRumour(model.RumourFence, model.StreamLease, fence, nil)
}

func attemptRumour(key model.PartKey, attempt int64) model.Rumour {
	return newRumour(model.RumourStepAttempt, key.String(), attempt, attemptPayload{Key: key, Attempt: attempt})
}

func (c *Core) tickMembers(now time.Time) []Action {
	sends := c.members.Tick(now)
	actions := make([]Action, 0, len(sends))
	for _, send := range sends {
		actions = append(actions, SendPeer{To: send.To, Address: send.Address, Message: send.Message})
	}
	return append(actions, c.refreshMembers()...)
}

// refreshMembers divides the limits by the instances alive or listed, whichever are more: when half of the instances
// can't see the other half, each half still keeps to its share.
func (c *Core) refreshMembers() []Action {
	if c.members.Changes() == c.refreshedAt && c.listed == c.refreshedFor {
		return nil
	}
	c.refreshedAt, c.refreshedFor = c.members.Changes(), c.listed
	live := c.members.Live()
	for _, member := range live {
		c.claims.SetIncarnation(member.ID, member.Incarnation)
	}
	c.router.SetMembers(max(len(live), c.listed, 1), c.rank())
	return nil
}

// rank is the place of this instance among the live ones in the order of their ids.
func (c *Core) rank() int {
	at, _ := slices.BinarySearchFunc(c.members.Live(), c.self.ID, func(member model.Member, id model.InstanceID) int {
		return cmp.Compare(member.ID, id)
	})
	return at
}

func (c *Core) applyRumours(now time.Time, news []model.Rumour) []Action {
	for _, rumour := range news {
		c.applyRumour(now, rumour)
	}
	return nil
}

func (c *Core) applyRumour(now time.Time, rumour model.Rumour) {
	switch rumour.Kind {
	case model.RumourEndpointLeaving:
		c.applyLeavingRumour(now, rumour)
	case model.RumourDrain:
		c.applyDrainRumour(now, rumour)
	case model.RumourConfig:
		c.wanted = max(c.wanted, rumour.Version)
	case model.RumourWeights:
		c.announce(now, model.ModelName(rumour.Key), model.WeightVersion(rumour.Version), false)
	case model.RumourFence:
		c.fence = max(c.fence, rumour.Version)
	case model.RumourStepAttempt:
		var payload attemptPayload
		if json.Unmarshal(rumour.Payload, &payload) == nil {
			c.steps.Superseded(now, payload.Key, payload.Attempt)
		}
	case model.RumourSuccessor:
		var payload successorPayload
		if json.Unmarshal(rumour.Payload, &payload) == nil {
			c.claims.SetSuccessor(payload.From, payload.Incarnation, payload.To)
		}
	case model.RumourSuspect, model.RumourQuarantine:
		c.quarantine.ApplyRumour(now, rumour)
		c.publishAll(now, c.quarantine.Derived())
	}
}

func (c *Core) publishAll(now time.Time, rumours []model.Rumour) {
	for _, rumour := range rumours {
		c.members.Publish(now, rumour)
	}
}

func (c *Core) applyLeavingRumour(now time.Time, rumour model.Rumour) {
	var payload leavingPayload
	if json.Unmarshal(rumour.Payload, &payload) != nil {
		return
	}
	row, known := c.endpoints.Get(payload.Endpoint)
	if !known {
		// The endpoint may be listed here later than elsewhere.
		row.endpoint.ID = payload.Endpoint
	}
	row.leaving = true
	row.leavingIncarnation = max(row.leavingIncarnation, payload.Incarnation)
	if payload.Incarnation == 0 {
		// The sender didn't know the incarnation.
		row.leavingIncarnation = max(row.leavingIncarnation, row.incarnation)
	}
	c.endpoints.Put(payload.Endpoint, row)
	if row.isLeaving() {
		c.router.MarkLeaving(now, payload.Endpoint)
	}
}

var _ router = (*jujuberouter.Router[jujuberouter.LeastExpectedWait])(nil)
