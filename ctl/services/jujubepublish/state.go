// Package jujubepublish appends configuration changes to the log and determines their outcome.
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
	// readBatch is the number of records in one read. It keeps a response with checkpoints of the longest documents below the
	// client's limit.
	readBatch = 16
	// readWait is the timeout of a long poll while an appended record isn't readable yet.
	readWait = time.Second
)

// Log is the subset of the log's client that publishing needs.
type Log interface {
	Append(ctx context.Context, stream string, body any) (model.LogAppended, error)
	Read(ctx context.Context, stream string, from int64, most int, wait time.Duration) (model.LogRead, error)
}

// ErrStateUnknown is returned if the log doesn't retain enough records to determine the revision in force.
type ErrStateUnknown struct {
	// First is the oldest retained offset and Next the offset of the next append.
	First int64
	Next  int64
}

// Error describes which records are missing and how the state becomes known again.
func (e ErrStateUnknown) Error() string {
	if e.First >= e.Next {
		return fmt.Sprintf("the log retains no record, and %d have expired; an instance that has the configuration appends "+
			"a checkpoint within %s, and if none does, use jujubectl restore to put a document in force", e.Next, jujubeconfig.CheckpointInterval)
	}
	return fmt.Sprintf("the log retains records %d to %d, without a checkpoint that covers the earlier ones; "+
		"an instance that has the configuration appends one within %s", e.First, e.Next-1, jujubeconfig.CheckpointInterval)
}

// Reader reads the configuration stream for one command and reduces its records to the configuration state.
type Reader struct {
	log     Log
	reducer *jujubeconfig.Reducer
}

// NewReader returns a reader that starts with the first record of the stream.
func NewReader(log Log) *Reader { return &Reader{log: log, reducer: jujubeconfig.NewReducer()} }

// ReadState reads the stream to its end once and returns the state there.
func ReadState(ctx context.Context, log Log) (jujubeconfig.State, error) {
	return NewReader(log).CatchUp(ctx, -1)
}

// CatchUp reads to the end of the stream and waits until the record at lastOffset has been read. An empty stream is a known
// state with revision 0. The error is ErrStateUnknown or an error of the log.
func (r *Reader) CatchUp(ctx context.Context, lastOffset int64) (jujubeconfig.State, error) {
	for {
		wait := time.Duration(0)
		if r.reducer.NextOffset() <= lastOffset {
			wait = readWait
		}
		read, err := r.log.Read(ctx, model.StreamConfig, r.reducer.NextOffset(), readBatch, wait)
		if err != nil {
			return jujubeconfig.State{}, errors.Wrap(err, "read configuration")
		}
		previous := r.reducer.NextOffset()
		r.reducer.ApplyRead(read)
		if read.Next == 0 && lastOffset < 0 {
			return jujubeconfig.State{Known: true, ConfigState: model.ConfigState{Through: -1}}, nil
		}
		if r.reducer.NextOffset() >= read.Next && r.reducer.NextOffset() > lastOffset {
			if !r.reducer.IsCurrent() {
				return jujubeconfig.State{}, ErrStateUnknown{First: read.First, Next: read.Next}
			}
			return r.reducer.State(), nil
		}
		if r.reducer.NextOffset() == previous && read.First > previous {
			// The next records that this reader needs have expired, and none follows them.
			return jujubeconfig.State{}, ErrStateUnknown{First: read.First, Next: read.Next}
		}
		if r.reducer.NextOffset() == previous {
			if err := sleep(ctx, minBackoff); err != nil {
				return jujubeconfig.State{}, jujubeclient.ErrLogUnavailable{Operation: "read", Stream: model.StreamConfig, Cause: err}
			}
		}
	}
}

// sleep waits for the duration, or returns the context's error if the context ends first.
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
