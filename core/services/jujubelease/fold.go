package jujubelease

import (
	"encoding/json"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

// fold is the lease after a prefix of the stream. It depends on the records alone, so that all readers agree.
type fold struct {
	// through is the offset of the last folded record, -1 for none.
	through int64
	// fence is the offset of the last accepted claim, -1 for none. It only grows.
	fence       int64
	holder      model.InstanceID
	incarnation model.Incarnation
	// expires is in the log's time.
	expires  time.Time
	released bool
	// partial is true when records had expired before the first one that was read. A claim among them may be in force
	// until settled, a time of the log; which one it is shows in its renewals.
	partial bool
	settled time.Time
	// conditional is Settings.Conditional.
	conditional bool
}

// isFree tells whether a claim at a time of the log is accepted.
func (f fold) isFree(record model.LeaseRecord, at time.Time) bool {
	if f.conditional {
		return true
	}
	if f.fence < 0 {
		return !f.partial || !at.Before(f.settled)
	}
	return f.released || !at.Before(f.expires) ||
		f.holder == record.Holder && f.incarnation < record.Incarnation
}

// isHolder tells whether a record is from the holder and names its claim.
func (f fold) isHolder(record model.LeaseRecord) bool {
	return f.fence >= 0 && !f.released && f.holder == record.Holder && f.incarnation == record.Incarnation && f.fence == record.Renew
}

// apply folds a record and tells whether it took effect. A renewal after the expiry takes none, even if nobody else has
// claimed, because its sender no longer believes that it holds the lease.
func (f *fold) apply(record model.LeaseRecord, offset int64, at time.Time) bool {
	if f.partial && !record.Claim && record.Renew > f.fence {
		// The sender's fold had accepted the claim that it names.
		f.fence, f.holder, f.incarnation, f.released = record.Renew, record.Holder, record.Incarnation, record.Release
		f.expires = at.Add(record.TTL.Std())
		return true
	}
	switch {
	case record.Claim:
		if record.TTL <= 0 || !f.isFree(record, at) {
			return false
		}
		f.fence, f.holder, f.incarnation, f.released = offset, record.Holder, record.Incarnation, false
		f.expires = at.Add(record.TTL.Std())
	case record.Release:
		if !f.isHolder(record) {
			return false
		}
		f.released = true
	default:
		if record.TTL <= 0 || !f.isHolder(record) || !f.conditional && !at.Before(f.expires) {
			return false
		}
		// A shorter TTL doesn't take back what an earlier record promised.
		if expires := at.Add(record.TTL.Std()); expires.After(f.expires) {
			f.expires = expires
		}
	}
	return true
}

// Apply folds the next record of the stream; records of other leases and those already folded have no effect.
func (l *Lease) Apply(record model.LogRecord) {
	if record.Offset <= l.fold.through {
		return
	}
	if l.fold.through < 0 && record.Offset > 0 {
		l.fold.partial, l.fold.settled = true, record.At.Add(l.settings.TTL)
		l.changed, l.ttl = true, l.settings.TTL
	}
	l.fold.through = record.Offset
	var body model.LeaseRecord
	if err := json.Unmarshal(record.Body, &body); err != nil || body.Lease != l.name {
		return // each reader skips the same records
	}
	accepted := l.fold.apply(body, record.Offset, record.At)
	if accepted {
		l.changed = true
		l.ttl = body.TTL.Std()
	}
	if body.Holder == l.self && body.Incarnation == l.incarnation {
		l.settle(body, accepted)
	}
}

// Next returns the offset at which a claim has to be appended on a conditional log.
func (l *Lease) Next() int64 { return l.fold.through + 1 }

// Skip says that the records before an offset expired unread. The log retains records for longer than a lease lasts, so
// none of them matters any more.
func (l *Lease) Skip(next int64) {
	if l.fold.through < 0 && next > 0 {
		l.fold.through = next - 1
	}
}
