// Package jujubepublish appends configuration changes to the log and finds out what became of them.
package jujubepublish

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeclient"
	"jujubepier.example/core/services/jujubeconfig"
)

const (
	// readBatch keeps a read of checkpoints with the longest documents below the client's bound of an answer.
	readBatch = 16
	// readWait bounds one long poll while a record that was appended isn't readable yet.
	readWait = time.Second
)

// Log is the part of the log's client that publishing needs.
type Log interface {
	Append(ctx context.Context, stream string, body any) (model.LogAppended, error)
	Read(ctx context.Context, stream string, from int64, most int, wait time.Duration) (model.LogRead, error)
}

// ErrStateUnknown means that the log doesn't retain enough records to tell the revision in force.
type ErrStateUnknown struct {
	// First is the oldest retained offset and Next the offset of the next append.
	First int64
	Next  int64
}

// Error says what is missing.
func (e ErrStateUnknown) Error() string {
	if e.First >= e.Next {
		return fmt.Sprintf("the log retains no record, and %d have expired; an instance that knows the configuration appends "+
			"a checkpoint within %s, and when none does, jujubectl restore puts a document in force", e.Next, jujubeconfig.CheckpointInterval)
	}
	return fmt.Sprintf("the log retains records %d to %d, without a checkpoint that covers the earlier ones; "+
		"an instance that knows the configuration appends one within %s", e.First, e.Next-1, jujubeconfig.CheckpointInterval)
}

// Reader follows the configuration stream for one command.
type Reader struct {
	log  Log
	fold *jujubeconfig.Fold
}

// NewReader returns a reader that has read nothing.
func NewReader(log Log) *Reader { return &Reader{log: log, fold: jujubeconfig.NewFold()} }

// ReadState returns the state at the end of the stream, read once.
func ReadState(ctx context.Context, log Log) (jujubeconfig.State, error) {
	return NewReader(log).CatchUp(ctx, -1)
}

// CatchUp reads to the end of the stream, and on until it has read the record at offset through. An empty stream is a
// known state with revision 0. The error is ErrStateUnknown or the log's.
func (r *Reader) CatchUp(ctx context.Context, through int64) (jujubeconfig.State, error) {
	for {
		wait := time.Duration(0)
		if r.fold.Next() <= through {
			wait = readWait
		}
		read, err := r.log.Read(ctx, model.StreamConfig, r.fold.Next(), readBatch, wait)
		if err != nil {
			return jujubeconfig.State{}, errors.Wrap(err, "read configuration")
		}
		before := r.fold.Next()
		r.fold.ApplyRead(read)
		if read.Next == 0 && through < 0 {
			return jujubeconfig.State{Known: true, ConfigState: model.ConfigState{Through: -1}}, nil
		}
		if r.fold.Next() >= read.Next && r.fold.Next() > through {
			if !r.fold.Current() {
				return jujubeconfig.State{}, ErrStateUnknown{First: read.First, Next: read.Next}
			}
			return r.fold.State(), nil
		}
		if r.fold.Next() == before && read.First > before {
			// All records that this reader needs next have expired, and none follows them.
			return jujubeconfig.State{}, ErrStateUnknown{First: read.First, Next: read.Next}
		}
		if r.fold.Next() == before {
			if err := sleep(ctx, minBackoff); err != nil {
				return jujubeconfig.State{}, jujubeclient.ErrLogUnavailable{Operation: "read", Stream: model.StreamConfig, Cause: err}
			}
		}
	}
}

// sleep waits for the duration or the end of the context.
func sleep(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
