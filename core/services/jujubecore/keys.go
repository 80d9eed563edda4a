package jujubecore

import (
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeerror"
	"jujubepier.example/core/services/jujubeclaim"
)

// ownerRetryAfter is the retry delay of callers that present a key whose owner isn't alive.
const ownerRetryAfter = time.Second

// decideKey decides whether a non-idempotent request is run, forwarded to the owner of its key, answered with the stored
// outcome or refused. If the owner isn't alive, the decision is Unknown.
func (c *Core) decideKey(now time.Time, presented KeyPresented) KeyDecided {
	// The key may come from a member that joined after the last tick.
	c.refreshMembers()
	decision := c.claims.Decide(now, presented.Key, presented.Body)
	if decision.Kind != jujubeclaim.Forward {
		return KeyDecided{Decision: decision}
	}
	for _, member := range c.members.Live() {
		if member.ID == decision.Owner {
			return KeyDecided{Decision: decision, Owner: member}
		}
	}
	// The owner may only be paused or disconnected, and come back later.
	decision.Kind, decision.Code, decision.RetryAfter = jujubeclaim.Unknown, jujubeerror.CodeKeyOwnerGone, ownerRetryAfter
	return KeyDecided{Decision: decision}
}

// importKeys accepts the keys of an instance that has shut down and publishes this instance as their owner.
func (c *Core) importKeys(now time.Time, imported KeysImported) {
	c.claims.Import(now, imported.From, imported.Incarnation, imported.Entries)
	c.claims.SetSuccessor(imported.From, imported.Incarnation, c.self.ID)
	key := string(imported.From) + "~" + imported.Incarnation.String()
	payload := successorPayload{From: imported.From, Incarnation: imported.Incarnation, To: c.self.ID}
	c.members.Publish(now, newGossipUpdate(model.GossipSuccessor, key, 1, payload))
}

// ErrOrderLost is returned when an order got no response; the engine may have accepted it.
type ErrOrderLost struct {
	Endpoint model.EndpointID
}

// Error implements error.
func (e ErrOrderLost) Error() string {
	return "no answer to the order sent to engine " + string(e.Endpoint)
}
