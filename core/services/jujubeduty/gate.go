package jujubeduty

import (
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeclock"
	"jujubepier.example/core/services/jujubelease"
)

// suspensionTolerance is the growth of the distance between the two clocks that counts as a suspension. It is far below the lease's
// margin. Less would count the time between the readings of the two clocks on a busy machine.
const suspensionTolerance = 50 * time.Millisecond

// Settings are the periods and limits of the duty calls.
type Settings struct {
	// HandOverWait is how long the holder waits after a takeover: the lease time of the platform, and at least as long as a call of
	// the previous holder may still be on its way.
	HandOverWait time.Duration
	// RenewalValidity is how long the lease counts as held after the sending of a renewal.
	RenewalValidity time.Duration
	// PerSecond is the rate limit of all instances together; 0 for none.
	PerSecond float64
}

// Reason is why an instance may, or may not, make duty calls.
type Reason string

// Reasons, in the order in which they are checked.
const (
	NotHolder   Reason = "NotHolder"
	Refused     Reason = "Refused"
	Suspended   Reason = "Suspended"
	HandingOver Reason = "HandingOver"
	Allowed     Reason = "Allowed"
)

// Decision is whether this instance may make duty calls now, and with which token.
type Decision struct {
	Reason Reason
	Token  Token
}

// Allowed reports whether a call may be made.
func (d Decision) Allowed() bool { return d.Reason == Allowed }

// claim is an accepted claim of the lease; its fence is -1 for none.
type claim struct {
	fence       int64
	holder      model.InstanceID
	incarnation model.Incarnation
}

// Gate decides when this instance may make duty calls. It isn't safe for concurrent use.
type Gate struct {
	self        model.InstanceID
	incarnation model.Incarnation
	settings    Settings
	// lastClaim is the last accepted claim. Its fence never decreases.
	lastClaim claim
	// waitUntil is when the calls of the previous holder have arrived and the platform accepts those of another one. It is set at
	// each claim of this instance that follows a claim of another process.
	waitUntil time.Time
	// refusedFence is the highest fence whose token the API has refused; -1 for none. No call is made with it or a lower one.
	refusedFence int64
	// origin and drift are the first reading of the ordinary clock, and the lowest distance between the two clocks since the last
	// suspension.
	origin time.Time
	drift  time.Duration
	// resumedAt is when the last suspension of the machine was noticed; zero for none. No call is made on the strength of a renewal
	// that was sent before it, because the ordinary clock, on which the renewal expires, stood still.
	resumedAt time.Time
	// inFlight is the number of calls without an outcome, and unknownUntil is when a call without a response counts as over.
	inFlight     int
	unknownUntil time.Time
	reachability reachability
	// nextCallAt is when the rate limit permits the next call.
	nextCallAt time.Time
}

// NewGate returns the gate of a process that has read nothing yet.
func NewGate(self model.InstanceID, incarnation model.Incarnation, settings Settings) *Gate {
	return &Gate{self: self, incarnation: incarnation, settings: settings, lastClaim: claim{fence: -1}, refusedFence: -1}
}

// ObserveLease records the state of the lease. It has to be called after each record that was read from the log, so that no claim of
// another instance is missed.
func (g *Gate) ObserveLease(now time.Time, state jujubelease.State) {
	if state.Fence <= g.lastClaim.fence {
		return
	}
	previous := g.lastClaim
	g.lastClaim = claim{state.Fence, state.Holder, state.Incarnation}
	if !g.isOwn(g.lastClaim) {
		return
	}
	followsOther := previous.fence >= 0 && !g.isOwn(previous) || g.refusedFence >= 0 && previous.fence <= g.refusedFence
	if followsOther || g.inFlight > 0 || now.Before(g.unknownUntil) {
		g.waitUntil = now.Add(g.settings.HandOverWait)
	}
}

func (g *Gate) isOwn(c claim) bool {
	return c.fence >= 0 && c.holder == g.self && c.incarnation == g.incarnation
}

// observeClocks notices a suspension of the machine: the boot-time clock goes on, and the ordinary one doesn't.
func (g *Gate) observeClocks(now time.Time, boot jujubeclock.Instant) {
	first := g.origin.IsZero()
	if first {
		g.origin = now
	}
	drift := time.Duration(boot) - now.Sub(g.origin)
	if !first && drift > g.drift+suspensionTolerance {
		g.resumedAt = now
	}
	// A reading of the boot-time clock that was delayed makes the distance too large, so the lowest one is kept.
	if first || drift < g.drift || drift > g.drift+suspensionTolerance {
		g.drift = drift
	}
}

// Decide returns whether a call may be made now. It has to be called regularly, also without calls, to notice suspensions.
func (g *Gate) Decide(now time.Time, boot jujubeclock.Instant, state jujubelease.State) Decision {
	g.observeClocks(now, boot)
	decision := Decision{Reason: Allowed, Token: Token(g.lastClaim.fence + 1)}
	switch {
	// A leader that goes on without the log holds the lease by the promises of others only, and isn't Held.
	case !state.Held || state.Fence != g.lastClaim.fence || !g.isOwn(g.lastClaim):
		decision.Reason = NotHolder
	case g.lastClaim.fence <= g.refusedFence:
		decision.Reason = Refused
	case !g.resumedAt.IsZero() && !state.Expires.Add(-g.settings.RenewalValidity).After(g.resumedAt):
		decision.Reason = Suspended
	case now.Before(g.waitUntil):
		decision.Reason = HandingOver
	}
	return decision
}

// TryBegin records the start of a call. It returns false if the rate limit doesn't permit one now.
func (g *Gate) TryBegin(now time.Time) bool {
	if now.Before(g.nextCallAt) {
		return false
	}
	if g.settings.PerSecond > 0 {
		g.nextCallAt = now.Add(time.Duration(float64(time.Second) / (rateShare * g.settings.PerSecond)))
	}
	g.inFlight++
	return true
}

// rateShare is the share of the rate limit that is used. The rest covers calls that are delayed and arrive together.
const rateShare = 0.8

// End records the outcome of a call. After a call was fenced because of its token, fenced is true.
func (g *Gate) End(now time.Time, token Token, outcome Outcome, fenced bool) {
	g.inFlight--
	g.reachability.record(now, outcome)
	if outcome == Unknown {
		g.unknownUntil = now.Add(g.settings.HandOverWait)
	}
	if fenced {
		g.refusedFence = max(g.refusedFence, int64(token)-1)
	}
}
