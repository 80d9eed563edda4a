package jujubelease

import (
	"slices"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

// maxSent limits the remembered records without an outcome. An older record that is applied later doesn't extend the lease.
const maxSent = 8

// sentRecord is a record that was sent to the log and has not been applied yet. Without its number, a delayed renewal could
// be mistaken for a later one, and the holder would consider the lease held for too long.
type sentRecord struct {
	number int64
	at     time.Time
	// claimAt is the offset at which a claim takes effect on a conditional log; -1 for other records.
	claimAt int64
}

// Lease is one instance's view of a lease. It is not safe for concurrent use.
type Lease struct {
	name        string
	self        model.InstanceID
	incarnation model.Incarnation
	settings    Settings
	applied     appliedState
	// changed is true when a record has taken effect since the last Tick; lastTTL is the TTL of that record.
	changed bool
	lastTTL time.Duration
	// claimAfter is the local time at which the lease expires unless it is renewed. It is an estimate that only decides when
	// to claim; the applied records decide whether the claim is accepted.
	claimAfter time.Time
	// heldUntil is the local time until which this instance is certain to hold the claim at offset heldToken.
	heldUntil time.Time
	heldToken int64
	// sent holds the records that may still appear on the log, oldest first. outstanding is true while the last one is
	// awaited.
	sent        []sentRecord
	outstanding bool
	lastSentAt  time.Time
	lastNumber  int64
	// releasing is true from the append of a release until the next claim; the lease no longer counts as held.
	releasing      bool
	logUnavailable bool
	degraded       bool
	// fencedToken is the highest fencing token of this instance that an endpoint has refused; -1 for none. A claim with it never
	// counts as held again.
	fencedToken int64
	// noClaimBefore is until when this instance has promised not to claim the lease.
	noClaimBefore time.Time
	// promises holds until when other instances have promised this one not to claim the lease.
	promises map[model.InstanceID]time.Time
}

// New returns a lease without any records.
func New(name string, self model.InstanceID, incarnation model.Incarnation, settings Settings) *Lease {
	return &Lease{
		name: name, self: self, incarnation: incarnation, settings: settings.withDefaults(),
		applied: appliedState{offset: -1, fencingToken: -1, conditional: settings.Conditional}, heldToken: -1,
		fencedToken: -1, promises: make(map[model.InstanceID]time.Time),
	}
}

// resolveSent handles one of this instance's records that was read from the log. The response to its append isn't
// needed.
func (l *Lease) resolveSent(body model.LeaseRecord, accepted bool) {
	index := slices.IndexFunc(l.sent, func(s sentRecord) bool { return s.number == body.Number })
	if index < 0 {
		return
	}
	sent := l.sent[index]
	if index == len(l.sent)-1 {
		l.outstanding = false
	}
	l.sent = slices.Delete(l.sent, index, index+1)
	if !accepted || body.Release {
		return
	}
	until := sent.at.Add(l.settings.TTL - l.settings.Margin)
	if body.Claim {
		l.heldToken, l.heldUntil, l.releasing = l.applied.fencingToken, until, false
	} else if l.heldToken == l.applied.fencingToken && until.After(l.heldUntil) {
		l.heldUntil = until
	}
}

// isHolder reports whether the last accepted claim is this incarnation's and was not released.
func (l *Lease) isHolder() bool {
	return l.applied.fencingToken >= 0 && !l.applied.released && l.applied.holder == l.self && l.applied.incarnation == l.incarnation
}

// isHeld reports whether this instance is certain to hold the lease. The validity counts from when the last renewal was sent,
// so that a holder that was paused doesn't consider the lease held for too long.
func (l *Lease) isHeld(now time.Time) bool {
	return l.isHolder() && l.heldToken == l.applied.fencingToken && !l.isFenced() && !l.releasing && now.Before(l.heldUntil)
}

// isFenced reports whether an endpoint has refused the token of the last accepted claim.
func (l *Lease) isFenced() bool { return l.applied.fencingToken <= l.fencedToken }

// SetLogUnavailable sets whether the log is unavailable to this instance.
func (l *Lease) SetLogUnavailable(now time.Time, unavailable bool) {
	if unavailable && !l.logUnavailable {
		l.degraded = l.isHeld(now)
	}
	l.logUnavailable = unavailable
}

// HandleAppendFailure records that the last append failed or got no response. The record may still have taken effect.
func (l *Lease) HandleAppendFailure() { l.outstanding = false }

// InvalidateFence ends the holding of the lease for good because an endpoint refused its fencing token: another instance has claimed
// it since.
func (l *Lease) InvalidateFence(fencingToken int64) { l.fencedToken = max(l.fencedToken, fencingToken) }

// Tick returns the record to append, if any; at most one is outstanding at a time.
func (l *Lease) Tick(now time.Time, candidate bool) []model.LeaseRecord {
	if l.changed {
		l.changed = false
		l.claimAfter = now.Add(l.lastTTL)
	}
	if l.outstanding && now.Sub(l.lastSentAt) < l.settings.AppendTimeout {
		return nil
	}
	// Without an outcome, the next attempt is delayed by the interval of renewals, so that a failing log isn't flooded.
	sentRecently := !l.lastSentAt.IsZero() && now.Sub(l.lastSentAt) < l.settings.TTL/3
	held := l.isHeld(now)
	switch {
	case l.logUnavailable:
		return nil
	case held && !candidate:
		l.releasing = true
		return l.send(now, model.LeaseRecord{Renew: l.heldToken, Release: true})
	case sentRecently || !candidate:
		return nil
	case held:
		return l.send(now, model.LeaseRecord{Renew: l.heldToken})
	case now.Before(l.noClaimBefore):
		return nil
	case l.applied.fencingToken < 0 && !l.applied.partial, l.applied.released, !now.Before(l.claimAfter),
		l.applied.holder == l.self && l.applied.incarnation < l.incarnation:
		return l.send(now, model.LeaseRecord{Claim: true})
	}
	return nil
}

func (l *Lease) send(now time.Time, record model.LeaseRecord) []model.LeaseRecord {
	l.lastNumber++
	record.Lease, record.Holder, record.Incarnation = l.name, l.self, l.incarnation
	record.TTL, record.Number = model.Duration(l.settings.TTL), l.lastNumber
	sent := sentRecord{number: l.lastNumber, at: now, claimAt: -1}
	if record.Claim {
		sent.claimAt = l.NextOffset()
	}
	l.sent = append(l.sent, sent)
	if len(l.sent) > maxSent {
		l.sent = l.sent[1:]
	}
	l.outstanding, l.lastSentAt = true, now
	return []model.LeaseRecord{record}
}

// State returns the lease as this instance sees it.
func (l *Lease) State(now time.Time) State {
	state := State{Fence: l.applied.fencingToken, Held: l.isHeld(now)}
	if l.applied.fencingToken >= 0 && !l.applied.released {
		state.Holder, state.Incarnation = l.applied.holder, l.applied.incarnation
	}
	if l.isHolder() && l.heldToken == l.applied.fencingToken {
		state.Expires = l.heldUntil
	}
	state.Degraded = l.logUnavailable && l.degraded && l.isHolder() && !l.isFenced() && !l.releasing
	return state
}
