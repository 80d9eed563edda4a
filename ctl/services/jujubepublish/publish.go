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

// Bounds of the backoff between attempts while the log is unavailable.
const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// CurrentBase as a change's base means the revision in force when the change is published.
const CurrentBase = -1

// Change is a document to publish with its base and its author.
type Change struct {
	// ID is unique to the change. A command that is repeated for a change whose outcome is unknown must use the same ID.
	ID       string
	Document []byte
	// Base is the revision that the change replaces, or CurrentBase. The change is refused if another revision is in force.
	Base   int64
	Author string
	Note   string
}

// Result is the outcome of a published change.
type Result struct {
	// Unchanged is true if the document was already in force and nothing was appended.
	Unchanged bool
	Outcome   model.ConfigOutcome
	// InForce is the state when the outcome was read. Its revision is higher than the change's if later changes followed.
	InForce jujubeconfig.State
	// Appends counts the attempts to append the change.
	Appends int
}

// ErrConflict is returned for a change that was refused because another change had replaced its base.
type ErrConflict struct {
	Outcome model.ConfigOutcome
	// Winner is the change that created the revision in force when this one was refused. It is empty if the history no
	// longer contains it.
	Winner model.ConfigOutcome
}

// Error names both changes.
func (e ErrConflict) Error() string {
	message := fmt.Sprintf("change %s was refused: it is based on revision %d, but revision %d was in force",
		e.Outcome.ID, e.Outcome.Base, e.Outcome.Revision)
	if e.Winner.ID != "" {
		message += fmt.Sprintf(" (change %s by %s)", e.Winner.ID, e.Winner.Author)
	}
	return message
}

// ErrUnknownOutcome is returned for a change that may have been appended, but whose outcome could not be read.
type ErrUnknownOutcome struct {
	ID    string
	Base  int64
	Cause error
}

// Error names the cause and the flags with which the command has to be repeated to learn the outcome.
func (e ErrUnknownOutcome) Error() string {
	return fmt.Sprintf("the outcome of change %s is unknown: %s; repeat the command with --id %s --base %d", e.ID, e.Cause, e.ID, e.Base)
}

// Unwrap returns the cause.
func (e ErrUnknownOutcome) Unwrap() error { return e.Cause }

// ErrNotAppended is returned for a change that wasn't appended.
type ErrNotAppended struct {
	ID    string
	Cause error
}

// Error states that the configuration is unchanged and names the cause.
func (e ErrNotAppended) Error() string {
	return fmt.Sprintf("change %s was not appended, nothing has changed: %s", e.ID, e.Cause)
}

// Unwrap returns the cause.
func (e ErrNotAppended) Unwrap() error { return e.Cause }

// Publish appends the change and reads the log until the outcome is certain or the context ends. It returns ErrConflict,
// ErrUnknownOutcome or ErrNotAppended. An append may be repeated: all copies have the same ID and base, and the first copy
// in the stream decides the outcome.
func Publish(ctx context.Context, log Log, change Change) (Result, error) {
	reader := NewReader(log)
	state, err := catchUpWithRetries(ctx, reader, -1)
	if err != nil {
		return Result{}, ErrNotAppended{ID: change.ID, Cause: err}
	}
	result := Result{}
	// An earlier run of the command may already have appended the change.
	if outcome, ok := state.Find(change.ID); ok {
		return toResult(result, state, outcome, change.Document)
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
		lastOffset := int64(-1)
		appended, err := log.Append(ctx, model.StreamConfig, record)
		result.Appends++
		unavailable, isUnavailable := jujubeclient.IsErrLogUnavailable(err)
		switch {
		case err == nil:
			mayBeAppended, lastOffset = true, appended.Offset
		case !isUnavailable:
			return result, fail(err)
		case unavailable.MayHaveTakenEffect:
			mayBeAppended = true
		}
		if mayBeAppended {
			state, readErr := catchUpWithRetries(ctx, reader, lastOffset)
			if readErr != nil {
				return result, fail(readErr)
			}
			if outcome, ok := state.Find(change.ID); ok {
				return toResult(result, state, outcome, change.Document)
			}
			if err == nil {
				return result, fail(errors.Errorf("record %d was read, but the history does not contain the change", lastOffset))
			}
		}
		if sleep(ctx, backoff) != nil {
			return result, fail(err)
		}
	}
}

// toResult adds the outcome and the state to the result. It returns ErrConflict if the change was refused, and an error if
// the outcome is that of another document under the same ID.
func toResult(result Result, state jujubeconfig.State, outcome model.ConfigOutcome, document []byte) (Result, error) {
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

// catchUpWithRetries calls CatchUp and retries while the log is unavailable, until the context ends.
func catchUpWithRetries(ctx context.Context, reader *Reader, lastOffset int64) (jujubeconfig.State, error) {
	for backoff := minBackoff; ; backoff = min(2*backoff, maxBackoff) {
		state, err := reader.CatchUp(ctx, lastOffset)
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
