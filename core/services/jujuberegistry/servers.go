package jujuberegistry

import (
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/models/jujubetable"
)

// Servers holds which endpoints' entries the platform's store has. An entry that lapsed while the store was away comes
// back soon after if the endpoint lives, so a removal that is seen right after an outage waits.
type Servers struct {
	settings Settings
	// removals holds the time at which an endpoint without an entry counts as gone.
	removals *jujubetable.Table[model.EndpointID, time.Time]
	present  *jujubetable.Table[model.EndpointID, struct{}]
	contact  time.Time
	// leaving holds the incarnations that said in an answer that they leave, whatever their entries say.
	leaving *jujubetable.Table[model.EndpointID, departure]
	// graceUntil is when entries that lapsed in an outage have to be back.
	graceUntil time.Time
}

// NewServers returns an empty table.
func NewServers(settings Settings) *Servers {
	return &Servers{
		settings: settings, removals: jujubetable.New[model.EndpointID, time.Time](),
		present: jujubetable.New[model.EndpointID, struct{}](), leaving: jujubetable.New[model.EndpointID, departure](),
	}
}

// departure is an incarnation that leaves.
type departure struct {
	incarnation model.Incarnation
	at          time.Time
}

// departureMemory is how long a departure is kept: an endpoint that has said so ends within seconds, or many seconds at
// times, and its entry may be written again until then.
const departureMemory = 10 * time.Minute

// Leave takes note that an incarnation said that it leaves. It returns false when that is known already.
func (s *Servers) Leave(now time.Time, id model.EndpointID, incarnation model.Incarnation) bool {
	if known, ok := s.leaving.Get(id); ok && known.incarnation >= incarnation {
		return false
	}
	s.leaving.Put(id, departure{incarnation, now})
	return true
}

// IsLeaving tells whether an incarnation said that it leaves.
func (s *Servers) IsLeaving(id model.EndpointID, incarnation model.Incarnation) bool {
	known, ok := s.leaving.Get(id)
	return ok && known.incarnation == incarnation
}

// Contact says that the store was read up to its end.
func (s *Servers) Contact(now time.Time) {
	if !s.contact.IsZero() && now.Sub(s.contact) > s.settings.TTL/2 {
		s.graceUntil = now.Add(s.settings.Grace)
	}
	s.contact = now
}

// Put says that an endpoint's entry is there.
func (s *Servers) Put(id model.EndpointID) {
	s.present.Put(id, struct{}{})
	s.removals.Delete(id)
}

// Remove says that an endpoint's entry is gone. The endpoint is due at once, or at the end of the grace.
func (s *Servers) Remove(now time.Time, id model.EndpointID) {
	if _, ok := s.present.Get(id); !ok {
		return
	}
	if _, ok := s.removals.Get(id); ok {
		return
	}
	at := now
	if now.Before(s.graceUntil) || now.Sub(s.contact) > s.settings.TTL/2 {
		at = now.Add(s.settings.Grace)
	}
	s.removals.Put(id, at)
}

// Keep removes all endpoints that a whole list doesn't name.
func (s *Servers) Keep(now time.Time, ids map[model.EndpointID]bool) {
	for id := range s.present.All() {
		if !ids[id] {
			s.Remove(now, id)
		}
	}
}

// Due returns the endpoints that count as gone from now on.
func (s *Servers) Due(now time.Time) []model.EndpointID {
	var due []model.EndpointID
	for id, left := range s.leaving.All() {
		if now.Sub(left.at) > departureMemory {
			s.leaving.Delete(id)
		}
	}
	for id, at := range s.removals.All() {
		if !now.Before(at) {
			s.removals.Delete(id)
			s.present.Delete(id)
			due = append(due, id)
		}
	}
	return due
}
