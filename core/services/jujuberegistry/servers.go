package jujuberegistry

import (
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/models/jujubetable"
)

// Servers tracks which endpoints have an entry in the platform's store. An entry that expired while the store was
// unavailable is written again soon after if the endpoint is alive, so a removal detected right after an outage is delayed.
type Servers struct {
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

// NewServers returns an empty Servers.
func NewServers(settings Settings) *Servers {
	return &Servers{
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

// Leave records that an incarnation announced that it is leaving. It returns false if that is already known.
func (s *Servers) Leave(now time.Time, id model.EndpointID, incarnation model.Incarnation) bool {
	if known, ok := s.leavingNotices.Get(id); ok && known.incarnation >= incarnation {
		return false
	}
	s.leavingNotices.Put(id, leavingNotice{incarnation, now})
	return true
}

// IsLeaving reports whether an incarnation announced that it is leaving.
func (s *Servers) IsLeaving(id model.EndpointID, incarnation model.Incarnation) bool {
	known, ok := s.leavingNotices.Get(id)
	return ok && known.incarnation == incarnation
}

// Contact records that the store was read up to its end. After an outage it starts the grace period.
func (s *Servers) Contact(now time.Time) {
	if !s.lastRead.IsZero() && now.Sub(s.lastRead) > s.settings.TTL/2 {
		s.graceUntil = now.Add(s.settings.Grace)
	}
	s.lastRead = now
}

// Put records that an endpoint has an entry.
func (s *Servers) Put(id model.EndpointID) {
	s.present.Put(id, struct{}{})
	s.pendingRemovals.Delete(id)
}

// Remove records that an endpoint's entry was removed. The endpoint is considered gone at once or, after an outage, at the
// end of the grace period.
func (s *Servers) Remove(now time.Time, id model.EndpointID) {
	if _, ok := s.present.Get(id); !ok {
		return
	}
	if _, ok := s.pendingRemovals.Get(id); ok {
		return
	}
	at := now
	if now.Before(s.graceUntil) || now.Sub(s.lastRead) > s.settings.TTL/2 {
		at = now.Add(s.settings.Grace)
	}
	s.pendingRemovals.Put(id, at)
}

// Keep removes all endpoints that a complete list doesn't contain.
func (s *Servers) Keep(now time.Time, ids map[model.EndpointID]bool) {
	for id := range s.present.All() {
		if !ids[id] {
			s.Remove(now, id)
		}
	}
}

// Due removes and returns the endpoints that are considered gone from now on. It also drops old leaving notices.
func (s *Servers) Due(now time.Time) []model.EndpointID {
	var due []model.EndpointID
	for id, notice := range s.leavingNotices.All() {
		if now.Sub(notice.receivedAt) > leavingNoticeRetention {
			s.leavingNotices.Delete(id)
		}
	}
	for id, at := range s.pendingRemovals.All() {
		if !now.Before(at) {
			s.pendingRemovals.Delete(id)
			s.present.Delete(id)
			due = append(due, id)
		}
	}
	return due
}
