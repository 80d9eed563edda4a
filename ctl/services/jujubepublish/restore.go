package jujubepublish

import (
	"context"
	"fmt"

	"github.com/pkg/errors"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubeconfig"
	"jujubepier.example/core/services/jujubedocument"
)

// ErrStateKnown is returned for a restore that isn't needed, because the log or an instance still has the configuration.
type ErrStateKnown struct {
	Revision int64
	// Where is "the log" or the address of the instance that has the configuration.
	Where string
}

// Error names the revision and where it is known.
func (e ErrStateKnown) Error() string {
	return fmt.Sprintf("%s has revision %d; publish a change instead of a restore", e.Where, e.Revision)
}

// Restore appends a checkpoint with the given document and revision. It is needed after all instances were stopped for
// longer than the log retains its records, because neither the log nor an instance then has the revision in force. The
// revision must be higher than any that was ever in force, because an instance never goes back to a lower one.
func Restore(ctx context.Context, log Log, instances []Instance, document []byte, revision int64, author string) (jujubeconfig.State, error) {
	for _, instance := range instances {
		status, err := instance.Status(ctx)
		if err == nil && status.Config.Known {
			return jujubeconfig.State{}, ErrStateKnown{Revision: status.Config.Revision, Where: instance.Address()}
		}
	}
	state, err := ReadState(ctx, log)
	var unknown ErrStateUnknown
	switch {
	case err == nil:
		return state, ErrStateKnown{Revision: state.Revision, Where: "the log"}
	case !errors.As(err, &unknown):
		return jujubeconfig.State{}, err
	case revision <= 0:
		return jujubeconfig.State{}, errors.New("the revision must be above zero and higher than any that was in force")
	}
	lastOffset := unknown.Next - 1
	checkpoint := model.ConfigCheckpoint{Through: lastOffset, State: model.ConfigState{
		Revision: revision, Through: lastOffset, Document: string(document), Digest: jujubedocument.Digest(document),
		History: []model.ConfigOutcome{{
			ID: "restore", Offset: unknown.Next, Accepted: true, Revision: revision,
			Digest: jujubedocument.Digest(document), Author: author, Note: "restored after the log's records had expired",
		}},
	}}
	appended, err := log.Append(ctx, model.StreamConfig, model.ConfigRecord{Checkpoint: &checkpoint})
	if err != nil {
		return jujubeconfig.State{}, errors.Wrap(err, "append the checkpoint (repeat the command)")
	}
	state, err = NewReader(log).CatchUp(ctx, appended.Offset)
	if err == nil && state.Digest != checkpoint.State.Digest {
		return state, ErrStateKnown{Revision: state.Revision, Where: "the log"}
	}
	return state, err
}
