// Package jujubeconfig folds the configuration stream of the log into the configuration in force. All instances that
// have folded the stream up to the same offset hold the same state.
package jujubeconfig

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubedocument"
)

// Bounds of the history and times of checkpoints.
const (
	// HistoryLength bounds State.History. At 220 changes per day it covers more than a day of retried publishing.
	HistoryLength = 256
	// CheckpointInterval and CheckpointRecords tell when a checkpoint is due; the log must retain records for longer.
	CheckpointInterval = 10 * time.Minute
	CheckpointRecords  = 50
	// CheckpointRetry is the time after which a checkpoint that hasn't come back from the log is proposed again.
	CheckpointRetry = 30 * time.Second
)

// State is the configuration as far as a fold knows it.
type State struct {
	// Known is true once the state equals what the whole stream up to Through leads to. Revision 0 of a known state
	// means that no change was accepted yet. A known state stays in force when later records can't be read.
	Known bool
	model.ConfigState
}

// InForce tells whether there is a document in force.
func (s State) InForce() bool { return s.Known && s.Revision > 0 }

// Find returns the outcome of a change that is still in the history.
func (s State) Find(id string) (model.ConfigOutcome, bool) {
	at := slices.IndexFunc(s.History, func(outcome model.ConfigOutcome) bool { return outcome.ID == id })
	if at < 0 {
		return model.ConfigOutcome{}, false
	}
	return s.History[at], true
}

// Effect tells what a record did to the state.
type Effect string

// Effects of records.
const (
	// EffectNone is that of a record that was folded before.
	EffectNone Effect = "None"
	// EffectMalformed is that of a record that is neither a change nor a checkpoint; it is passed over.
	EffectMalformed Effect = "Malformed"
	// EffectUnresolved is that of a record whose effect depends on earlier records that this fold can no longer read.
	EffectUnresolved Effect = "Unresolved"
	EffectAccepted   Effect = "Accepted"
	EffectRefused    Effect = "Refused"
	// EffectRepeated is that of a change ID that had an outcome before and keeps it.
	EffectRepeated          Effect = "Repeated"
	EffectCheckpointAdopted Effect = "CheckpointAdopted"
	EffectCheckpointIgnored Effect = "CheckpointIgnored"
)

// Outcome tells what a record did. Change is set for EffectAccepted, EffectRefused and EffectRepeated.
type Outcome struct {
	Effect Effect
	Change model.ConfigOutcome
}

// ErrRecord is a malformed record. The fold has passed over it.
type ErrRecord struct {
	Offset int64
	Reason string
}

// Error names the offset.
func (e ErrRecord) Error() string {
	return fmt.Sprintf("record %d of the configuration stream: %s", e.Offset, e.Reason)
}

// ErrGap is a record that can't be applied because retained records before it were left out. The fold is unchanged.
type ErrGap struct {
	// Next is the offset to read from.
	Next   int64
	Offset int64
}

// Error names both offsets.
func (e ErrGap) Error() string {
	return fmt.Sprintf("record %d of the configuration stream is applied before record %d", e.Offset, e.Next)
}

// Fold is the state of one reader of the stream. It isn't safe for concurrent use.
type Fold struct {
	// state is replaced only by states with a higher Through.
	state State
	// next is the lowest offset that wasn't read since the start or the last adoption. While the fold is current, it is
	// state.Through+1.
	next int64
	// current is true while state covers every record below next. A fold that isn't current resolves no change.
	current bool
	// mark is the newest checkpoint that was seen; all instances that read the same records have the same one.
	mark mark
	// proposedAt is when Checkpoint last returned a record; zero after a newer checkpoint was seen.
	proposedAt time.Time
}

type mark struct {
	// through is -1 before the first checkpoint.
	through int64
	at      time.Time
}

// NewFold returns a fold that has read nothing.
func NewFold() *Fold {
	return &Fold{state: State{ConfigState: model.ConfigState{Through: -1}}, mark: mark{through: -1}}
}

// State returns a copy of the state.
func (f *Fold) State() State {
	state := f.state
	state.History = slices.Clone(state.History)
	return state
}

// Next returns the offset to read from. It goes back when a checkpoint or a peer's state is adopted whose later
// records have to be read again.
func (f *Fold) Next() int64 { return f.next }

// Current tells whether the state covers every record that was read. A fold that fell behind the retained records
// keeps its state and becomes current with a checkpoint or a peer's state.
func (f *Fold) Current() bool { return f.current }

// Apply folds the record; first is the oldest retained offset at the time of its read. The error is ErrGap or
// ErrRecord. Records are applied in the order of their offsets, beginning at Next.
func (f *Fold) Apply(record model.LogRecord, first int64) (Outcome, error) {
	if record.Offset < f.next {
		return Outcome{Effect: EffectNone}, nil
	}
	if record.Offset > f.next {
		if first <= f.next {
			return Outcome{}, ErrGap{Next: f.next, Offset: record.Offset}
		}
		f.current = false
	}
	if record.Offset == 0 {
		f.current, f.state.Known = true, true
	}
	f.next = record.Offset + 1
	body, reason := decode(record)
	if body.Checkpoint != nil && reason == "" {
		f.observe(*body.Checkpoint, record.At)
		if !f.current && body.Checkpoint.Through >= first-1 && f.Adopt(State{Known: true, ConfigState: body.Checkpoint.State}) {
			return Outcome{Effect: EffectCheckpointAdopted}, nil
		}
	}
	if !f.current {
		if reason != "" {
			return Outcome{Effect: EffectMalformed}, ErrRecord{Offset: record.Offset, Reason: reason}
		}
		return Outcome{Effect: EffectUnresolved}, nil
	}
	f.state.Through = record.Offset
	if f.mark.at.IsZero() {
		f.mark.at = record.At
	}
	switch {
	case reason != "":
		return Outcome{Effect: EffectMalformed}, ErrRecord{Offset: record.Offset, Reason: reason}
	case body.Checkpoint != nil:
		return Outcome{Effect: EffectCheckpointIgnored}, nil
	}
	return f.applyChange(record, *body.Change), nil
}

// ApplyRead folds the records of a read and returns the outcomes of those that were applied. It stops where a
// checkpoint sends the reader back; the next read begins at Next. Malformed records are among the outcomes.
func (f *Fold) ApplyRead(read model.LogRead) []Outcome {
	var outcomes []Outcome
	for _, record := range read.Records {
		outcome, err := f.Apply(record, read.First)
		if errors.As(err, new(ErrGap)) {
			break
		}
		outcomes = append(outcomes, outcome)
	}
	return outcomes
}

func (f *Fold) applyChange(record model.LogRecord, change model.ConfigChange) Outcome {
	if outcome, ok := f.state.Find(change.ID); ok {
		return Outcome{Effect: EffectRepeated, Change: outcome}
	}
	effect := EffectRefused
	digest := jujubedocument.Digest([]byte(change.Document))
	if change.Base == f.state.Revision {
		effect = EffectAccepted
		f.state.Revision++
		f.state.Document, f.state.Digest = change.Document, digest
	}
	outcome := model.ConfigOutcome{
		ID: change.ID, Offset: record.Offset, At: record.At, Accepted: effect == EffectAccepted,
		Revision: f.state.Revision, Base: change.Base, Digest: digest, Author: change.Author, Note: change.Note,
	}
	f.state.History = append(f.state.History, outcome)
	if excess := len(f.state.History) - HistoryLength; excess > 0 {
		f.state.History = slices.Delete(f.state.History, 0, excess)
	}
	return Outcome{Effect: effect, Change: outcome}
}

// Adopt takes over a peer's state and returns true when it is newer. The records after it have to be read again.
func (f *Fold) Adopt(state State) bool {
	if !state.Known || state.Through <= f.state.Through {
		return false
	}
	state.History = slices.Clone(state.History)
	f.state, f.current, f.next = state, true, state.Through+1
	return true
}

// Checkpoint returns a record to append when one is due by the records that this fold has seen: each 10 minutes, or
// after 50 records. While the fold isn't current, none is due, because its state may be missing changes.
func (f *Fold) Checkpoint(now time.Time) (model.ConfigRecord, bool) {
	if !f.current || f.state.Through < 0 {
		return model.ConfigRecord{}, false
	}
	if f.mark.at.IsZero() {
		// An adopted state doesn't tell when the last checkpoint was appended.
		f.mark = mark{through: f.state.Through, at: now}
	}
	due := now.Sub(f.mark.at) >= CheckpointInterval || f.state.Through-f.mark.through >= CheckpointRecords
	if !due || !f.proposedAt.IsZero() && now.Sub(f.proposedAt) < CheckpointRetry {
		return model.ConfigRecord{}, false
	}
	f.proposedAt = now
	return model.ConfigRecord{Checkpoint: &model.ConfigCheckpoint{Through: f.state.Through, State: f.State().ConfigState}}, true
}

// observe moves the mark forward. An old checkpoint whose append was delayed does not count.
func (f *Fold) observe(checkpoint model.ConfigCheckpoint, at time.Time) {
	if checkpoint.Through > f.mark.through {
		f.mark, f.proposedAt = mark{through: checkpoint.Through, at: at}, time.Time{}
	}
}

// decode returns the record's body, or why it is malformed. It does not parse documents: programs of different
// versions could disagree about them and would then fold the same stream into different states.
func decode(record model.LogRecord) (model.ConfigRecord, string) {
	var body model.ConfigRecord
	if err := json.Unmarshal(record.Body, &body); err != nil {
		return model.ConfigRecord{}, err.Error()
	}
	change, checkpoint := body.Change, body.Checkpoint
	switch {
	case (change == nil) == (checkpoint == nil):
		return model.ConfigRecord{}, "must hold either a change or a checkpoint"
	case change != nil && (change.ID == "" || change.Base < 0 || change.Document == ""):
		return model.ConfigRecord{}, "a change must have an ID, a base revision and a document"
	case checkpoint != nil && (checkpoint.Through != checkpoint.State.Through || checkpoint.Through < 0 ||
		checkpoint.Through >= record.Offset || checkpoint.State.Revision < 0 || len(checkpoint.State.History) > HistoryLength):
		return model.ConfigRecord{}, "the checkpoint contradicts its offset"
	case checkpoint != nil && checkpoint.State.Revision > 0 &&
		checkpoint.State.Digest != jujubedocument.Digest([]byte(checkpoint.State.Document)):
		return model.ConfigRecord{}, "the checkpoint's document does not match its digest"
	}
	return body, ""
}
