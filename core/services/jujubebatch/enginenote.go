package jujubebatch

import (
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

// EngineNotes returns the observations of engines that this instance, as their gateway, publishes to the others.
func (s *Scheduler) EngineNotes() []model.EngineNote {
	var notes []model.EngineNote
	for _, e := range s.engines.All() {
		if e.gateway == s.self && e.intervals.hasBaseline() {
			notes = append(notes, model.EngineNote{
				Engine: e.ID, Recent: model.Duration(e.intervals.recent), Usual: model.Duration(e.intervals.baseline), Load: e.assigned,
			})
		}
	}
	return notes
}

// ApplyEngineNote applies an observation that an engine's gateway has published.
func (s *Scheduler) ApplyEngineNote(now time.Time, note model.EngineNote) {
	e, ok := s.engines.Get(note.Engine)
	if !ok || e.gateway == s.self {
		return
	}
	s.isFleetMeasured = false
	if note.Recent > 0 {
		e.intervals.recent, e.intervals.recentAt = note.Recent.Std(), now
	}
	if note.Usual > 0 {
		e.intervals.baseline, e.intervals.events = note.Usual.Std(), max(e.intervals.events, minBaselineEvents)
	}
	if now.Sub(e.remoteLoadAt) > noteAge {
		e.remoteLoad, e.remoteLoadAt = max(0, note.Load-e.assigned), now
	}
}

// noteAge is the approximate age of the load in a note. A younger load from a reply to an offer takes precedence.
const noteAge = 400 * time.Millisecond
