package jujubepublish

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeclient"
	"jujubepier.example/core/services/jujubeconfig"
	"jujubepier.example/core/services/jujubedocument"
)

// Bounds of the time between attempts while the log is unavailable.
const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// CurrentBase asks for the revision in force as a change's base.
const CurrentBase = -1

// Change is a document to publish.
type Change struct {
	// ID is unique to the change. A command that is run again for a change whose outcome is unknown uses the same ID.
	ID       string
	Document []byte
	// Base is the revision that the change replaces, or CurrentBase.
	Base   int64
	Author string
	Note   string
}

// Result tells what became of an accepted change.
type Result struct {
	// Unchanged is true when the document was in force already and nothing was appended.
	Unchanged bool
	Outcome   model.ConfigOutcome
	// InForce is the state after the outcome was read; its revision may be later than the change's.
	InForce jujubeconfig.State
	// Appends counts the attempts to append the change.
	Appends int
}

// ErrConflict is a change that was refused, because another one had replaced its base.
type ErrConflict struct {
	Outcome model.ConfigOutcome
	// Winner is the change that made the revision in force when this one was refused; empty when the history no longer
	// holds it.
	Winner model.ConfigOutcome
}

// Error names both changes.
func (e ErrConflict) Error() string {
	text := fmt.Sprintf("change %s is refused: it is based on revision %d, but revision %d was in force",
		e.Outcome.ID, e.Outcome.Base, e.Outcome.Revision)
	if e.Winner.ID != "" {
		text += fmt.Sprintf(" (change %s by %s)", e.Winner.ID, e.Winner.Author)
	}
	return text
}

// ErrUnknownOutcome is a change that may have been appended, but whose outcome could not be read.
type ErrUnknownOutcome struct {
	ID    string
	Base  int64
	Cause error
}

// Error tells how to learn the outcome.
func (e ErrUnknownOutcome) Error() string {
	return fmt.Sprintf("the outcome of change %s is unknown: %s; repeat the command with --id %s --base %d", e.ID, e.Cause, e.ID, e.Base)
}

// Unwrap returns the cause.
func (e ErrUnknownOutcome) Unwrap() error { return e.Cause }

// ErrNotAppended is a change that was certainly not appended.
type ErrNotAppended struct {
	ID    string
	Cause error
}

// Error says that nothing has changed.
func (e ErrNotAppended) Error() string {
	return fmt.Sprintf("change %s was not appended, nothing has changed: %s", e.ID, e.Cause)
}

// Unwrap returns the cause.
func (e ErrNotAppended) Unwrap() error { return e.Cause }

// Publish appends the change and reads the log until its outcome is certain or the context ends. The error is
// ErrConflict, ErrUnknownOutcome or ErrNotAppended. Repeating an append is safe: all copies have the same ID and base,
// and the first copy in the stream decides the outcome.
func Publish(ctx context.Context, log Log, change Change) (Result, error) {
	reader := NewReader(log)
	state, err := catchUpRetrying(ctx, reader, -1)
	if err != nil {
		return Result{}, ErrNotAppended{ID: change.ID, Cause: err}
	}
	result := Result{}
	// An earlier run of the command may have appended the change.
	if outcome, ok := state.Find(change.ID); ok {
		return conclude(result, state, outcome, change.Document)
	}
	if state.InForce() && change.Base == CurrentBase && state.Digest == jujubedocument.Digest(change.Document) {
		return Result{Unchanged: true, InForce: state}, nil
	}
	if change.Base == CurrentBase {
		change.Base = state.Revision
	}
	record := model.ConfigRecord{Change: &model.ConfigChange{
		ID: change.ID, Base: change.Base, Document: string(change.Document), Author: change.Author, Note: change.Note,
	}}
	mayBeAppended := false
	fail := func(cause error) error {
		if mayBeAppended {
			return ErrUnknownOutcome{ID: change.ID, Base: change.Base, Cause: cause}
		}
		return ErrNotAppended{ID: change.ID, Cause: cause}
	}
	for backoff := minBackoff; ; backoff = min(2*backoff, maxBackoff) {
		through := int64(-1)
		appended, err := log.Append(ctx, model.StreamConfig, record)
		result.Appends++
		unavailable, isUnavailable := jujubeclient.IsErrLogUnavailable(err)
		switch {
		case err == nil:
			mayBeAppended, through = true, appended.Offset
		case !isUnavailable:
			return result, fail(err)
		case unavailable.MayHaveTakenEffect:
			mayBeAppended = true
		}
		if mayBeAppended {
			state, readErr := catchUpRetrying(ctx, reader, through)
			if readErr != nil {
				return result, fail(readErr)
			}
			if outcome, ok := state.Find(change.ID); ok {
				return conclude(result, state, outcome, change.Document)
			}
			if err == nil {
				return result, fail(errors.Errorf("record %d is read, but the history does not hold the change", through))
			}
		}
		if sleep(ctx, backoff) != nil {
			return result, fail(err)
		}
	}
}

func conclude(result Result, state jujubeconfig.State, outcome model.ConfigOutcome, document []byte) (Result, error) {
	result.Outcome, result.InForce = outcome, state
	if outcome.Digest != jujubedocument.Digest(document) {
		return result, errors.Errorf("change ID %s belongs to another document (digest %s)", outcome.ID, outcome.Digest)
	}
	if outcome.Accepted {
		return result, nil
	}
	conflict := ErrConflict{Outcome: outcome}
	for _, other := range state.History {
		if other.Accepted && other.Revision == outcome.Revision {
			conflict.Winner = other
		}
	}
	return result, conflict
}

// catchUpRetrying repeats a read while the log is unavailable, until the context ends.
func catchUpRetrying(ctx context.Context, reader *Reader, through int64) (jujubeconfig.State, error) {
	for backoff := minBackoff; ; backoff = min(2*backoff, maxBackoff) {
		state, err := reader.CatchUp(ctx, through)
		if err == nil {
			return state, nil
		}
		if _, ok := jujubeclient.IsErrLogUnavailable(err); !ok {
			return state, err
		}
		if sleep(ctx, backoff) != nil {
			return state, err
		}
	}
}
