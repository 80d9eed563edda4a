package jujubecore

import (
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeerror"
	"jujubepier.example/core/services/jujubeclaim"
)

// ownerRetry is when a caller may ask again about a key whose owner isn't seen alive.
const ownerRetry = time.Second

// decideKey tells what to do with a non-idempotent request. One that has to be forwarded to an instance that isn't
// alive is answered Unknown.
func (c *Core) decideKey(now time.Time, presented KeyPresented) KeyDecided {
	// A member that was learned since the last tick may have issued the key.
	c.refreshMembers()
	decision := c.claims.Begin(now, presented.Key, presented.Body)
	if decision.Kind != jujubeclaim.Forward {
		return KeyDecided{Decision: decision}
	}
	for _, member := range c.members.Live() {
		if member.ID == decision.Owner {
			return KeyDecided{Decision: decision, Owner: member}
		}
	}
	// The owner may be back later: it can be paused or cut off.
	decision.Kind, decision.Code, decision.RetryAfter = jujubeclaim.Unknown, jujubeerror.CodeKeyOwnerGone, ownerRetry
	return KeyDecided{Decision: decision}
}

func (c *Core) importKeys(now time.Time, imported KeysImported) {
	c.claims.Import(now, imported.From, imported.Incarnation, imported.Entries)
	c.claims.SetSuccessor(imported.From, imported.Incarnation, c.self.ID)
	key := string(imported.From) + "~" + imported.Incarnation.String()
	payload := successorPayload{From: imported.From, Incarnation: imported.Incarnation, To: c.self.ID}
	c.members.Publish(now, newRumour(model.RumourSuccessor, key, 1, payload))
}

// ErrOrderLost is an order whose answer didn't come; the engine may have taken it.
type ErrOrderLost struct {
	Endpoint model.EndpointID
}

// Error names the engine.
func (e ErrOrderLost) Error() string { return "no answer to an order of " + string(e.Endpoint) }
