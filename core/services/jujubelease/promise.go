package jujubelease

import (
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

const (
	// promiseTime is how long an instance doesn't claim the lease after it has promised that to the holder.
	promiseTime = time.Second
	// promiseMargin is how much earlier the holder considers a promise expired. It counts from when the promise was requested.
	promiseMargin = 300 * time.Millisecond
)

// Promise promises the holder of the lease, which can't reach the log, that this instance won't claim the lease for promiseTime. It
// returns false if the holder isn't the one of the last claim that this instance knows, or if a claim of this instance may still
// take effect. A restart of this instance forgets the promise, but then it waits for a whole TTL before it claims.
func (l *Lease) Promise(now time.Time, holder model.InstanceID, fencingToken int64) bool {
	if l.applied.fencingToken != fencingToken || l.applied.holder != holder || l.applied.released || holder == l.self || l.mayClaimTakeEffect() {
		return false
	}
	l.noClaimBefore = now.Add(promiseTime)
	return true
}

// mayClaimTakeEffect reports whether a claim that was sent may still be accepted: nothing has been read at its offset.
func (l *Lease) mayClaimTakeEffect() bool {
	for _, sent := range l.sent {
		if sent.claimAt > l.applied.offset {
			return true
		}
	}
	return false
}

// RecordPromise records the promise of another instance that was requested at the given time.
func (l *Lease) RecordPromise(requestedAt time.Time, from model.InstanceID) {
	l.promises[from] = requestedAt.Add(promiseTime - promiseMargin)
}

// LeadsWithoutLog reports whether this instance, which held the lease when the log became unavailable to it, still holds it: all other
// instances that may claim it have promised not to. Without others nothing is known.
func (l *Lease) LeadsWithoutLog(now time.Time, others []model.InstanceID) bool {
	if !l.State(now).Degraded || len(others) == 0 {
		return false
	}
	for _, other := range others {
		if !now.Before(l.promises[other]) {
			return false
		}
	}
	return true
}
