package jujubelease

import (
	"encoding/json"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

// appliedState is the state of the lease after applying the records up to offset. It depends on the records alone, so
// that all readers agree.
type appliedState struct {
	// offset is the offset of the last applied record, -1 for none.
	offset int64
	// fencingToken is the offset of the last accepted claim, -1 for none. It only grows.
	fencingToken int64
	holder       model.InstanceID
	incarnation  model.Incarnation
	// expires is in the log's time.
	expires  time.Time
	released bool
	// partial is true when records before the first one that was read had expired. A claim among them may be in force until
	// partialUntil, which is in the log's time; its renewals show which one it is.
	partial      bool
	partialUntil time.Time
	// conditional is Settings.Conditional.
	conditional bool
}

// acceptsClaim reports whether a claim is accepted at a time of the log.
func (s appliedState) acceptsClaim(record model.LeaseRecord, at time.Time) bool {
	if s.conditional {
		return true
	}
	if s.fencingToken < 0 {
		return !s.partial || !at.Before(s.partialUntil)
	}
	return s.released || !at.Before(s.expires) ||
		s.holder == record.Holder && s.incarnation < record.Incarnation
}

// isFromHolder reports whether a record is from the holder and names the holder's claim.
func (s appliedState) isFromHolder(record model.LeaseRecord) bool {
	return s.fencingToken >= 0 && !s.released && s.holder == record.Holder && s.incarnation == record.Incarnation && s.fencingToken == record.Renew
}

// apply applies a record and reports whether it took effect. A renewal after the expiry has no effect, even if nobody else
// has claimed the lease, because its sender no longer considers itself the holder.
func (s *appliedState) apply(record model.LeaseRecord, offset int64, at time.Time) bool {
	if s.partial && !record.Claim && record.Renew > s.fencingToken {
		// The sender had read the claim that it names and accepted it.
		s.fencingToken, s.holder, s.incarnation, s.released = record.Renew, record.Holder, record.Incarnation, record.Release
		s.expires = at.Add(record.TTL.Std())
		return true
	}
	switch {
	case record.Claim:
		if record.TTL <= 0 || !s.acceptsClaim(record, at) {
			return false
		}
		s.fencingToken, s.holder, s.incarnation, s.released = offset, record.Holder, record.Incarnation, false
		s.expires = at.Add(record.TTL.Std())
	case record.Release:
		if !s.isFromHolder(record) {
			return false
		}
		s.released = true
	default:
		if record.TTL <= 0 || !s.isFromHolder(record) || !s.conditional && !at.Before(s.expires) {
			return false
		}
		// A shorter TTL doesn't shorten the validity that an earlier record granted.
		if expires := at.Add(record.TTL.Std()); expires.After(s.expires) {
			s.expires = expires
		}
	}
	return true
}

// Apply applies the next record of the stream. Records of other leases and records already applied have no effect.
func (l *Lease) Apply(record model.LogRecord) {
	if record.Offset <= l.applied.offset {
		return
	}
	if l.applied.offset < 0 && record.Offset > 0 {
		l.applied.partial, l.applied.partialUntil = true, record.At.Add(l.settings.TTL)
		l.changed, l.lastTTL = true, l.settings.TTL
	}
	l.applied.offset = record.Offset
	var body model.LeaseRecord
	if err := json.Unmarshal(record.Body, &body); err != nil || body.Lease != l.name {
		return // every reader skips the same records
	}
	accepted := l.applied.apply(body, record.Offset, record.At)
	if accepted {
		l.changed = true
		l.lastTTL = body.TTL.Std()
	}
	if body.Holder == l.self && body.Incarnation == l.incarnation {
		l.resolveSent(body, accepted)
	}
}

// NextOffset returns the offset at which a claim has to be appended on a conditional log.
func (l *Lease) NextOffset() int64 { return l.applied.offset + 1 }

// SkipTo records that the records before an offset expired unread. The log retains records for longer than a lease lasts, so
// none of them is still relevant.
func (l *Lease) SkipTo(next int64) {
	if l.applied.offset < 0 && next > 0 {
		l.applied.offset = next - 1
	}
}
