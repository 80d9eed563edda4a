package jujubelease

import (
	"slices"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

// maxSent bounds the remembered records without an outcome. An older record that is folded later prolongs nothing.
const maxSent = 8

// sentRecord is an appended record that has not been folded. Without its number, a delayed renewal could be taken for a
// later one, and the holder would believe too long.
type sentRecord struct {
	number int64
	at     time.Time
}

// Lease is one instance's view of a lease. It has one owner and is not safe for concurrent use.
type Lease struct {
	name        string
	self        model.InstanceID
	incarnation model.Incarnation
	settings    Settings
	fold        fold
	// changed is true when a record took effect since the last Tick, and ttl is that record's.
	changed bool
	ttl     time.Duration
	// freeAt is the local time from which the lease is expired unless it is renewed. It is an estimate that only decides
	// when to claim; the fold decides whether the claim is accepted.
	freeAt time.Time
	// heldUntil is the local time until which this instance is sure to hold the claim of offset heldFence.
	heldUntil time.Time
	heldFence int64
	// sent are the records that may still appear, oldest first; outstanding is true while the last one is awaited.
	sent        []sentRecord
	outstanding bool
	sentAt      time.Time
	number      int64
	// releasing is true from the append of a release until the next claim; this instance no longer believes it holds.
	releasing bool
	logAway   bool
	degraded  bool
}

// New returns a lease of which no record is known.
func New(name string, self model.InstanceID, incarnation model.Incarnation, settings Settings) *Lease {
	return &Lease{
		name: name, self: self, incarnation: incarnation, settings: settings.withDefaults(),
		fold: fold{through: -1, fence: -1, conditional: settings.Conditional}, heldFence: -1,
	}
}

// settle takes note of an own record that was folded. An answer to the append isn't needed.
func (l *Lease) settle(body model.LeaseRecord, accepted bool) {
	at := slices.IndexFunc(l.sent, func(s sentRecord) bool { return s.number == body.Number })
	if at < 0 {
		return
	}
	sent := l.sent[at]
	if at == len(l.sent)-1 {
		l.outstanding = false
	}
	l.sent = slices.Delete(l.sent, at, at+1)
	if !accepted || body.Release {
		return
	}
	until := sent.at.Add(l.settings.TTL - l.settings.Margin)
	if body.Claim {
		l.heldFence, l.heldUntil, l.releasing = l.fold.fence, until, false
	} else if l.heldFence == l.fold.fence && until.After(l.heldUntil) {
		l.heldUntil = until
	}
}

// isOwn tells whether the last accepted claim is this incarnation's and was not released.
func (l *Lease) isOwn() bool {
	return l.fold.fence >= 0 && !l.fold.released && l.fold.holder == l.self && l.fold.incarnation == l.incarnation
}

// isHeld compares with the time of sending the last renewal, so that a holder that was paused doesn't believe longer.
func (l *Lease) isHeld(now time.Time) bool {
	return l.isOwn() && l.heldFence == l.fold.fence && !l.releasing && now.Before(l.heldUntil)
}

// SetLogAway reports whether the log is unavailable to this instance.
func (l *Lease) SetLogAway(now time.Time, away bool) {
	if away && !l.logAway {
		l.degraded = l.isHeld(now)
	}
	l.logAway = away
}

// Failed reports that the last record's append failed or got no answer. It may still have taken effect.
func (l *Lease) Failed() { l.outstanding = false }

// Deny gives the lease up because an endpoint has refused its fence: another instance has claimed it since.
func (l *Lease) Deny(fence int64) {
	if l.heldFence == fence {
		l.heldUntil = time.Time{}
	}
}

// Tick returns the record to append, if any; there is never more than one outstanding.
func (l *Lease) Tick(now time.Time, candidate bool) []model.LeaseRecord {
	if l.changed {
		l.changed = false
		l.freeAt = now.Add(l.ttl)
	}
	if l.outstanding && now.Sub(l.sentAt) < l.settings.AppendTimeout {
		return nil
	}
	// Without an outcome, the next attempt waits as long as a renewal does, so that a failing log isn't flooded.
	recent := !l.sentAt.IsZero() && now.Sub(l.sentAt) < l.settings.TTL/3
	held := l.isHeld(now)
	switch {
	case l.logAway:
		return nil
	case held && !candidate:
		l.releasing = true
		return l.send(now, model.LeaseRecord{Renew: l.heldFence, Release: true})
	case recent || !candidate:
		return nil
	case held:
		return l.send(now, model.LeaseRecord{Renew: l.heldFence})
	case l.fold.fence < 0 && !l.fold.partial, l.fold.released, !now.Before(l.freeAt), l.fold.holder == l.self && l.fold.incarnation < l.incarnation:
		return l.send(now, model.LeaseRecord{Claim: true})
	}
	return nil
}

func (l *Lease) send(now time.Time, record model.LeaseRecord) []model.LeaseRecord {
	l.number++
	record.Lease, record.Holder, record.Incarnation = l.name, l.self, l.incarnation
	record.TTL, record.Number = model.Duration(l.settings.TTL), l.number
	l.sent = append(l.sent, sentRecord{l.number, now})
	if len(l.sent) > maxSent {
		l.sent = l.sent[1:]
	}
	l.outstanding, l.sentAt = true, now
	return []model.LeaseRecord{record}
}

// State returns the lease as this instance sees it.
func (l *Lease) State(now time.Time) State {
	state := State{Fence: l.fold.fence, Held: l.isHeld(now)}
	if l.fold.fence >= 0 && !l.fold.released {
		state.Holder, state.Incarnation = l.fold.holder, l.fold.incarnation
	}
	if l.isOwn() && l.heldFence == l.fold.fence {
		state.Expires = l.heldUntil
	}
	state.Degraded = l.logAway && l.degraded && l.isOwn() && !l.releasing
	return state
}
