package jujuberegistry

import (
	"slices"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/models/jujubetable"
)

// Births orders the incarnations of endpoints. An endpoint names its start by its own time of day, which may jump either way,
// so a later start may have an earlier time; and an entry of an earlier process may be written late. What is known of an
// endpoint follows from the order in which this instance has learned it, and not from the times.
type Births struct {
	rows *jujubetable.Table[model.EndpointID, *birth]
}

// birth is what is known of one endpoint's starts.
type birth struct {
	// born is the present incarnation's own time, past are those of earlier ones, the newest last.
	born model.Incarnation
	past []model.Incarnation
	// incarnation only grows.
	incarnation model.Incarnation
	// rival is an earlier time than born that the last entry named; zero for none.
	rival model.Incarnation
	// seen is when an entry or an answer last named the endpoint.
	seen time.Time
}

// birthMemory is how long an endpoint is remembered after its last sign, as the router does with its rows.
const birthMemory = 10 * time.Minute

// maxPast bounds the starts of an endpoint that are remembered. Late entries come within seconds of their process's end.
const maxPast = 8

// NewBirths returns an empty table.
func NewBirths() *Births {
	return &Births{rows: jujubetable.New[model.EndpointID, *birth]()}
}

// NoteEntry takes the time that an entry names, in the order of the log, and returns the incarnation. It returns false for an
// entry of an earlier process. A start with an earlier time than the present one's is believed when two entries on end name
// it: a late entry comes alone.
func (b *Births) NoteEntry(now time.Time, id model.EndpointID, born model.Incarnation) (model.Incarnation, bool) {
	known, ok := b.rows.Get(id)
	switch {
	case !ok:
		known = &birth{born: born, incarnation: born}
		b.rows.Put(id, known)
	case born == known.born:
	case slices.Contains(known.past, born):
		return 0, false
	case born < known.born && born != known.rival:
		known.rival = born
		return 0, false
	default:
		known.follow(born)
	}
	known.rival, known.seen = 0, now
	return known.incarnation, true
}

// NoteAnswer takes the time that an endpoint names in an answer, which no earlier process can give.
func (b *Births) NoteAnswer(now time.Time, id model.EndpointID, born model.Incarnation) (model.Incarnation, bool) {
	known, ok := b.rows.Get(id)
	switch {
	case !ok || slices.Contains(known.past, born):
		return 0, false
	case born != known.born:
		known.follow(born)
		known.rival = 0
	}
	known.seen = now
	return known.incarnation, true
}

func (k *birth) follow(born model.Incarnation) {
	k.past = append(k.past, k.born)
	k.past = k.past[max(0, len(k.past)-maxPast):]
	k.born, k.incarnation = born, max(born, k.incarnation+1)
}

// Prune drops endpoints that have been silent for long.
func (b *Births) Prune(now time.Time) {
	for id, known := range b.rows.All() {
		if now.Sub(known.seen) > birthMemory {
			b.rows.Delete(id)
		}
	}
}
