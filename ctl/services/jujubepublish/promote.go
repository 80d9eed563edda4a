package jujubepublish

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/pkg/errors"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubeconfig"
	"jujubepier.example/core/services/jujubedocument"
)

// Instance is a client of an entry instance's operator listener.
type Instance interface {
	Address() string
	Status(ctx context.Context) (model.Status, error)
}

// ErrNotProven is returned if a document isn't in force on all instances of the trial environment.
type ErrNotProven struct {
	Revision int64
	// Reasons has a text for each instance that could not be checked, is not ready or has another configuration.
	Reasons []string
}

// Error names the revision and lists the reasons.
func (e ErrNotProven) Error() string {
	return fmt.Sprintf("revision %d of the trial environment is not in force on all its instances: %s",
		e.Revision, strings.Join(e.Reasons, "; "))
}

// ReadTrial returns the configuration state of a trial environment. It returns ErrNotProven unless the document is in force
// on all its instances; instances must include every live member that any of them reports.
func ReadTrial(ctx context.Context, log Log, instances []Instance) (jujubeconfig.State, error) {
	state, err := ReadState(ctx, log)
	if err != nil {
		return state, errors.Wrap(err, "trial environment")
	}
	if !state.InForce() {
		return state, ErrNotProven{Reasons: []string{"no change has been accepted yet"}}
	}
	if _, err := jujubedocument.Parse("trial revision "+fmt.Sprint(state.Revision), []byte(state.Document)); err != nil {
		return state, err
	}
	notProven := ErrNotProven{Revision: state.Revision}
	if len(instances) == 0 {
		notProven.Reasons = append(notProven.Reasons, "no instance of the trial environment is named")
	}
	checked, live := map[model.InstanceID]bool{}, map[model.InstanceID]bool{}
	for _, instance := range instances {
		status, err := instance.Status(ctx)
		if err != nil {
			notProven.Reasons = append(notProven.Reasons, err.Error())
			continue
		}
		checked[status.Instance] = true
		for _, member := range status.Members {
			if member.State == model.MemberAlive || member.State == model.MemberSuspect {
				live[member.ID] = true
			}
		}
		if reason := checkInForce(status, state); reason != "" {
			notProven.Reasons = append(notProven.Reasons, fmt.Sprintf("%s %s", status.Instance, reason))
		}
	}
	for _, id := range slices.Sorted(maps.Keys(live)) {
		if !checked[id] {
			notProven.Reasons = append(notProven.Reasons, fmt.Sprintf("%s is a member, but its status was not read", id))
		}
	}
	if len(notProven.Reasons) > 0 {
		return state, notProven
	}
	return state, nil
}

// checkInForce returns why the state isn't in force on an instance, or an empty string if it is.
func checkInForce(status model.Status, state jujubeconfig.State) string {
	switch {
	case !status.Ready && !status.Leaving:
		return "is not ready"
	case !status.Config.Known:
		return "has no configuration"
	case status.Config.Revision != state.Revision || status.Config.Digest != state.Digest:
		return fmt.Sprintf("has revision %d", status.Config.Revision)
	}
	return ""
}

// Promote publishes the document in force in the trial environment, byte for byte, to the production log. The other fields
// are those of change, whose document is replaced.
func Promote(ctx context.Context, trial, production Log, instances []Instance, change Change) (Result, error) {
	state, err := ReadTrial(ctx, trial, instances)
	if err != nil {
		return Result{}, err
	}
	change.Document = []byte(state.Document)
	if change.Note == "" {
		change.Note = fmt.Sprintf("promoted from trial revision %d", state.Revision)
	}
	return Publish(ctx, production, change)
}
