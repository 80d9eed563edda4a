package jujuberegistry

import (
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/models/jujubetable"
)

// EndpointTracker tracks which endpoints have an entry in the platform's store. An entry that expired while the store was
// unavailable is written again soon after if the endpoint is alive, so a removal detected right after an outage is delayed.
type EndpointTracker struct {
	settings Settings
	// pendingRemovals holds the time at which an endpoint without an entry is considered gone.
	pendingRemovals *jujubetable.Table[model.EndpointID, time.Time]
	present         *jujubetable.Table[model.EndpointID, struct{}]
	lastRead        time.Time
	// leavingNotices holds the incarnations that announced in a response that they are leaving. It applies whatever the state
	// in their entries is.
	leavingNotices *jujubetable.Table[model.EndpointID, leavingNotice]
	// graceUntil is when entries that expired during an outage must have been written again.
	graceUntil time.Time
}

// NewEndpointTracker returns an empty EndpointTracker.
func NewEndpointTracker(settings Settings) *EndpointTracker {
	return &EndpointTracker{
		settings: settings, pendingRemovals: jujubetable.New[model.EndpointID, time.Time](),
		present: jujubetable.New[model.EndpointID, struct{}](), leavingNotices: jujubetable.New[model.EndpointID, leavingNotice](),
	}
}

// leavingNotice is the leaving notice of an incarnation.
type leavingNotice struct {
	incarnation model.Incarnation
	receivedAt  time.Time
}

// leavingNoticeRetention is how long a leaving notice is kept. An endpoint that is leaving stops within seconds, at times
// many seconds, and its entry may be written again until then.
const leavingNoticeRetention = 10 * time.Minute

// MarkLeaving records that an incarnation announced that it is leaving. It returns false if that is already known.
func (t *EndpointTracker) MarkLeaving(now time.Time, id model.EndpointID, incarnation model.Incarnation) bool {
	if known, ok := t.leavingNotices.Get(id); ok && known.incarnation >= incarnation {
		return false
	}
	t.leavingNotices.Put(id, leavingNotice{incarnation, now})
	return true
}

// IsLeaving reports whether an incarnation announced that it is leaving.
func (t *EndpointTracker) IsLeaving(id model.EndpointID, incarnation model.Incarnation) bool {
	known, ok := t.leavingNotices.Get(id)
	return ok && known.incarnation == incarnation
}

// RecordRead records that the store was read up to its end. After an outage it starts the grace period.
func (t *EndpointTracker) RecordRead(now time.Time) {
	if !t.lastRead.IsZero() && now.Sub(t.lastRead) > t.settings.TTL/2 {
		t.graceUntil = now.Add(t.settings.Grace)
	}
	t.lastRead = now
}

// Put records that an endpoint has an entry.
func (t *EndpointTracker) Put(id model.EndpointID) {
	t.present.Put(id, struct{}{})
	t.pendingRemovals.Delete(id)
}

// Remove records that an endpoint's entry was removed. The endpoint is considered gone at once or, after an outage, at the
// end of the grace period.
func (t *EndpointTracker) Remove(now time.Time, id model.EndpointID) {
	if _, ok := t.present.Get(id); !ok {
		return
	}
	if _, ok := t.pendingRemovals.Get(id); ok {
		return
	}
	at := now
	if now.Before(t.graceUntil) || now.Sub(t.lastRead) > t.settings.TTL/2 {
		at = now.Add(t.settings.Grace)
	}
	t.pendingRemovals.Put(id, at)
}

// RetainOnly removes all endpoints that a complete list doesn't contain.
func (t *EndpointTracker) RetainOnly(now time.Time, ids map[model.EndpointID]bool) {
	for id := range t.present.All() {
		if !ids[id] {
			t.Remove(now, id)
		}
	}
}

// ExpireRemovals removes and returns the endpoints that are considered gone from now on. It also drops old leaving notices.
func (t *EndpointTracker) ExpireRemovals(now time.Time) []model.EndpointID {
	var due []model.EndpointID
	for id, notice := range t.leavingNotices.All() {
		if now.Sub(notice.receivedAt) > leavingNoticeRetention {
			t.leavingNotices.Delete(id)
		}
	}
	for id, at := range t.pendingRemovals.All() {
		if !now.Before(at) {
			t.pendingRemovals.Delete(id)
			t.present.Delete(id)
			due = append(due, id)
		}
	}
	return due
}
