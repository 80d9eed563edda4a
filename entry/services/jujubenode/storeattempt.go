package jujubenode

import (
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeevent"
	"jujubepier.example/core/services/jujubeattempt"
)

// storeAttempt is an attempt of a call of the store.
type storeAttempt struct {
	// peer is the instance through which the call was made; empty for a direct attempt.
	peer model.InstanceID
	ran  model.Ran
	took time.Duration
	// err is nil for an attempt that has succeeded.
	err error
}

// String returns the path, what is known of the effect, and the error.
func (a storeAttempt) String() string {
	path := "direct"
	if a.peer != "" {
		path = "via " + string(a.peer)
	}
	return fmt.Sprintf("%s: %s after %s: %s", path, a.ran, a.took.Round(time.Millisecond), errorText(a.err))
}

// storeAttempts are the attempts of one call, in order.
type storeAttempts struct {
	// tally counts the attempts of list and those in progress.
	tally jujubeattempt.Tally
	list  []storeAttempt
}

// begin begins an attempt, and returns the function that records its outcome.
func (a *storeAttempts) begin(peer model.InstanceID) (end func(err error)) {
	a.tally.Begin()
	startedAt := time.Now()
	return func(err error) {
		ran := ranOf(err)
		a.tally.End(ran)
		a.list = append(a.list, storeAttempt{peer, ran, time.Since(startedAt), err})
	}
}

// combine returns the error of a call with the given one as that of its last attempt. It states what is known of the effect of all
// attempts.
func (a *storeAttempts) combine(last error) error {
	if last == nil || len(a.list) < 2 {
		return last
	}
	var storeErr ErrStore
	isStoreErr := errors.As(last, &storeErr)
	if !isStoreErr && a.tally.MayHaveRun() == (ranOf(last) != model.RanNo) {
		return last
	}
	return ErrStore{Call: storeErr.Call, Status: storeErr.Status, Done: a.tally.MayHaveRun(), Reason: strings.Join(a.texts(), "; ")}
}

func (a *storeAttempts) texts() []string {
	texts := make([]string, len(a.list))
	for i, attempt := range a.list {
		texts[i] = attempt.String()
	}
	return texts
}

// ranOf returns what the error of an attempt states of its effect. A read that found the records trimmed has been made.
func ranOf(err error) model.Ran {
	var storeErr ErrStore
	switch {
	case err == nil || errors.As(err, new(ErrTrimmed)):
		return model.RanYes
	case errors.As(err, new(ErrCondition)) || errors.As(err, &storeErr) && !storeErr.Done:
		return model.RanNo
	}
	return model.RanUnknown
}

// logAttempts logs the attempts of an append, unless the first one succeeded.
func (s *relayedStore) logAttempts(method string, args RelayArgs, attempts storeAttempts) {
	if method != methodAppend || len(attempts.list) == 0 || attempts.list[0].err == nil {
		return
	}
	s.log.Write(jujubeevent.AppendAttempted, func() logrus.Fields {
		return logrus.Fields{
			"Topic": args.Topic.Name, "Partition": args.Part, "Records": len(args.Records), "Position": args.Position,
			"Attempts": attempts.texts(), "Ran": attempts.tally.Outcome(),
		}
	})
}
