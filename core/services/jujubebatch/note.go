package jujubebatch

import (
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

// Notes returns what this instance tells the others of the engines that it keeps.
func (b *Batches) Notes() []model.EngineNote {
	var notes []model.EngineNote
	for _, e := range b.engines.All() {
		if e.keeper == b.self && e.pace.isKnown() {
			notes = append(notes, model.EngineNote{
				Engine: e.ID, Recent: model.Duration(e.pace.recent), Usual: model.Duration(e.pace.usual), Load: e.planned,
			})
		}
	}
	return notes
}

// TakeNote takes what an engine's keeper tells of it.
func (b *Batches) TakeNote(now time.Time, note model.EngineNote) {
	e, ok := b.engines.Get(note.Engine)
	if !ok || e.keeper == b.self {
		return
	}
	if note.Recent > 0 {
		e.pace.recent, e.pace.recentAt = note.Recent.Std(), now
	}
	if note.Usual > 0 {
		e.pace.usual, e.pace.events = note.Usual.Std(), max(e.pace.events, usualEvents)
	}
	if now.Sub(e.othersAt) > noteAge {
		e.others, e.othersAt = max(0, note.Load-e.planned), now
	}
}

// noteAge is about how old the load in a note is; a keeper's answer to an offer that is younger counts more.
const noteAge = 400 * time.Millisecond
