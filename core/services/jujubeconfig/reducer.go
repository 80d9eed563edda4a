// Package jujubeconfig applies the records of the log's configuration stream to determine the configuration in force. All
// instances that have applied the stream up to the same offset have the same state.
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

// Limits of the history and intervals of checkpoints.
const (
	// HistoryLength is the maximum length of State.History. At 220 changes per day it covers more than a day, within which a
	// publisher can retry a change and still learn its outcome.
	HistoryLength = 256
	// CheckpointInterval and CheckpointRecords determine when a checkpoint is due: after this time or number of records. The log
	// must retain records for longer.
	CheckpointInterval = 10 * time.Minute
	CheckpointRecords  = 50
	// CheckpointRetry is the time after which a checkpoint that hasn't appeared in the log is proposed again.
	CheckpointRetry = 30 * time.Second
)

// State is the configuration as known to one reader of the stream.
type State struct {
	// Known is true once the state is the result of the whole stream up to Through. Revision 0 of a known state means that no
	// change was accepted yet. A known state stays in force when later records can't be read.
	Known bool
	model.ConfigState
}

// InForce reports whether there is a document in force.
func (s State) InForce() bool { return s.Known && s.Revision > 0 }

// Find returns the outcome of a change that is still in the history.
func (s State) Find(id string) (model.ConfigOutcome, bool) {
	index := slices.IndexFunc(s.History, func(outcome model.ConfigOutcome) bool { return outcome.ID == id })
	if index < 0 {
		return model.ConfigOutcome{}, false
	}
	return s.History[index], true
}

// Effect is what a record did to the state.
type Effect string

// Effects of records.
const (
	// EffectNone means that the record was applied before.
	EffectNone Effect = "None"
	// EffectMalformed means that the record is not a valid change or checkpoint and was skipped.
	EffectMalformed Effect = "Malformed"
	// EffectUnresolved means that the effect depends on earlier records that this reader can no longer read.
	EffectUnresolved Effect = "Unresolved"
	EffectAccepted   Effect = "Accepted"
	EffectRefused    Effect = "Refused"
	// EffectRepeated means that a change with this ID already has an outcome, which stays.
	EffectRepeated          Effect = "Repeated"
	EffectCheckpointAdopted Effect = "CheckpointAdopted"
	EffectCheckpointIgnored Effect = "CheckpointIgnored"
)

// Outcome is the result of applying a record. Change is set for EffectAccepted, EffectRefused and EffectRepeated.
type Outcome struct {
	Effect Effect
	Change model.ConfigOutcome
}

// ErrRecord is returned when a record is malformed; it was skipped.
type ErrRecord struct {
	Offset int64
	Reason string
}

// Error implements error.
func (e ErrRecord) Error() string {
	return fmt.Sprintf("configuration stream: malformed record %d: %s", e.Offset, e.Reason)
}

// ErrGap is returned when a record can't be applied because retained records before it were left out. The state is
// unchanged.
type ErrGap struct {
	// Next is the offset to read from.
	Next   int64
	Offset int64
}

// Error implements error.
func (e ErrGap) Error() string {
	return fmt.Sprintf("configuration stream: record %d is out of order, expected record %d", e.Offset, e.Next)
}

// Reducer applies the records of the configuration stream for one reader. It isn't safe for concurrent use.
type Reducer struct {
	// state is replaced only by states with a higher Through.
	state State
	// next is the lowest offset that hasn't been read since the start or the last adopted state. While current is true, it is
	// state.Through+1.
	next int64
	// current is true while state includes every record below next. Otherwise changes can't be resolved.
	current bool
	// lastCheckpoint is the newest checkpoint that was read; all instances that read the same records have the same one.
	lastCheckpoint checkpointPosition
	// proposedAt is when Checkpoint last returned a record; zero after a newer checkpoint was read.
	proposedAt time.Time
}

// checkpointPosition identifies a checkpoint in the stream.
type checkpointPosition struct {
	// appliedOffset is the last offset that the checkpoint covers, -1 before the first checkpoint.
	appliedOffset int64
	// at is the start of the interval to the next checkpoint, usually the append time of this one.
	at time.Time
}

// NewReducer starts at the beginning of the stream, with an unknown state.
func NewReducer() *Reducer {
	return &Reducer{state: State{ConfigState: model.ConfigState{Through: -1}}, lastCheckpoint: checkpointPosition{appliedOffset: -1}}
}

// State returns a copy of the state.
func (r *Reducer) State() State {
	state := r.state
	state.History = slices.Clone(state.History)
	return state
}

// NextOffset returns the offset to read from. It decreases when the state of a checkpoint or a peer is adopted and the records
// after that state have to be read again.
func (r *Reducer) NextOffset() int64 { return r.next }

// IsCurrent reports whether the state includes every record that was read. A reader that fell behind the retained records keeps
// its state, and becomes current again when it adopts the state of a checkpoint or a peer.
func (r *Reducer) IsCurrent() bool { return r.current }

// Apply applies a record; first is the oldest retained offset at the time of the read. Records must be applied in the order of
// their offsets, beginning at NextOffset. The error is ErrGap or ErrRecord.
func (r *Reducer) Apply(record model.LogRecord, first int64) (Outcome, error) {
	if record.Offset < r.next {
		return Outcome{Effect: EffectNone}, nil
	}
	if record.Offset > r.next {
		if first <= r.next {
			return Outcome{}, ErrGap{Next: r.next, Offset: record.Offset}
		}
		r.current = false
	}
	if record.Offset == 0 {
		r.current, r.state.Known = true, true
	}
	r.next = record.Offset + 1
	body, reason := decodeRecord(record)
	if body.Checkpoint != nil && reason == "" {
		r.observeCheckpoint(*body.Checkpoint, record.At)
		if !r.current && body.Checkpoint.Through >= first-1 && r.Adopt(State{Known: true, ConfigState: body.Checkpoint.State}) {
			return Outcome{Effect: EffectCheckpointAdopted}, nil
		}
	}
	if !r.current {
		if reason != "" {
			return Outcome{Effect: EffectMalformed}, ErrRecord{Offset: record.Offset, Reason: reason}
		}
		return Outcome{Effect: EffectUnresolved}, nil
	}
	r.state.Through = record.Offset
	if r.lastCheckpoint.at.IsZero() {
		r.lastCheckpoint.at = record.At
	}
	switch {
	case reason != "":
		return Outcome{Effect: EffectMalformed}, ErrRecord{Offset: record.Offset, Reason: reason}
	case body.Checkpoint != nil:
		return Outcome{Effect: EffectCheckpointIgnored}, nil
	}
	return r.applyChange(record, *body.Change), nil
}

// ApplyRead applies the records of a read and returns the outcomes of those that were applied, malformed records included. It
// stops after an adopted checkpoint that moves NextOffset back; the next read begins there.
func (r *Reducer) ApplyRead(read model.LogRead) []Outcome {
	var outcomes []Outcome
	for _, record := range read.Records {
		outcome, err := r.Apply(record, read.First)
		if errors.As(err, new(ErrGap)) {
			break
		}
		outcomes = append(outcomes, outcome)
	}
	return outcomes
}

func (r *Reducer) applyChange(record model.LogRecord, change model.ConfigChange) Outcome {
	if outcome, ok := r.state.Find(change.ID); ok {
		return Outcome{Effect: EffectRepeated, Change: outcome}
	}
	effect := EffectRefused
	digest := jujubedocument.Digest([]byte(change.Document))
	if change.Base == r.state.Revision {
		effect = EffectAccepted
		r.state.Revision++
		r.state.Document, r.state.Digest = change.Document, digest
	}
	outcome := model.ConfigOutcome{
		ID: change.ID, Offset: record.Offset, At: record.At, Accepted: effect == EffectAccepted,
		Revision: r.state.Revision, Base: change.Base, Digest: digest, Author: change.Author, Note: change.Note,
	}
	r.state.History = append(r.state.History, outcome)
	if excess := len(r.state.History) - HistoryLength; excess > 0 {
		r.state.History = slices.Delete(r.state.History, 0, excess)
	}
	return Outcome{Effect: effect, Change: outcome}
}

// Adopt replaces the state by a peer's and returns true if the peer's is newer. The records after it have to be read again.
func (r *Reducer) Adopt(state State) bool {
	if !state.Known || state.Through <= r.state.Through {
		return false
	}
	state.History = slices.Clone(state.History)
	r.state, r.current, r.next = state, true, state.Through+1
	return true
}

// Checkpoint returns a checkpoint to append if one is due by the records read so far: every 10 minutes, or after 50 records.
// While IsCurrent is false none is due, because the state may lack changes.
func (r *Reducer) Checkpoint(now time.Time) (model.ConfigRecord, bool) {
	if !r.current || r.state.Through < 0 {
		return model.ConfigRecord{}, false
	}
	if r.lastCheckpoint.at.IsZero() {
		// An adopted state doesn't include the time of the last checkpoint.
		r.lastCheckpoint = checkpointPosition{appliedOffset: r.state.Through, at: now}
	}
	due := now.Sub(r.lastCheckpoint.at) >= CheckpointInterval || r.state.Through-r.lastCheckpoint.appliedOffset >= CheckpointRecords
	if !due || !r.proposedAt.IsZero() && now.Sub(r.proposedAt) < CheckpointRetry {
		return model.ConfigRecord{}, false
	}
	r.proposedAt = now
	return model.ConfigRecord{Checkpoint: &model.ConfigCheckpoint{Through: r.state.Through, State: r.State().ConfigState}}, true
}

// observeCheckpoint updates lastCheckpoint. An older checkpoint, whose append was delayed, is ignored.
func (r *Reducer) observeCheckpoint(checkpoint model.ConfigCheckpoint, at time.Time) {
	if checkpoint.Through > r.lastCheckpoint.appliedOffset {
		r.lastCheckpoint, r.proposedAt = checkpointPosition{appliedOffset: checkpoint.Through, at: at}, time.Time{}
	}
}

// decodeRecord returns a record's body, or the reason why it is malformed. It does not parse documents: programs of different
// versions could disagree on their validity and would then derive different states from the same stream.
func decodeRecord(record model.LogRecord) (model.ConfigRecord, string) {
	var body model.ConfigRecord
	if err := json.Unmarshal(record.Body, &body); err != nil {
		return model.ConfigRecord{}, err.Error()
	}
	change, checkpoint := body.Change, body.Checkpoint
	switch {
	case (change == nil) == (checkpoint == nil):
		return model.ConfigRecord{}, "must contain either a change or a checkpoint"
	case change != nil && (change.ID == "" || change.Base < 0 || change.Document == ""):
		return model.ConfigRecord{}, "a change must have an ID, a base revision and a document"
	case checkpoint != nil && (checkpoint.Through != checkpoint.State.Through || checkpoint.Through < 0 ||
		checkpoint.Through >= record.Offset || checkpoint.State.Revision < 0 || len(checkpoint.State.History) > HistoryLength):
		return model.ConfigRecord{}, "the checkpoint has an invalid offset or revision, or its history is too long"
	case checkpoint != nil && checkpoint.State.Revision > 0 &&
		checkpoint.State.Digest != jujubedocument.Digest([]byte(checkpoint.State.Document)):
		return model.ConfigRecord{}, "the checkpoint's document does not match its digest"
	}
	return body, ""
}
