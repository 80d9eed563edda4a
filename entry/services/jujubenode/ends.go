package jujubenode

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeerror"
	"jujubepier.example/core/modules/jujubeevent"
	"jujubepier.example/core/services/jujubebatch"
)

const (
	// holdDelay is how long an end may wait for the store before other instances are told; the store responds in 250 ms when it is slow.
	holdDelay = 300 * time.Millisecond
	// holdInterval is the time between two broadcasts while ends wait: a caller counts an end without a response after 4 s.
	holdInterval = 1500 * time.Millisecond
	// holdTTL is how long instances hold submissions after a broadcast, in case that the instance with the end is lost. Callers end a
	// submission again if they get no response.
	holdTTL = 10 * time.Second
	// holdTimeout bounds the calls of a broadcast.
	holdTimeout = 4 * time.Second
	// maxRefusalDelay is how long after its receipt an end may be refused: a caller counts an end without a response after 4 s.
	maxRefusalDelay = 3 * time.Second
	// owedEndWait bounds how long a repeated end waits for an earlier one whose outcome isn't known.
	owedEndWait = appendTimeout
)

// endsInHand are the ends that this instance has received and that aren't known to be on the log.
type endsInHand struct {
	// bySubmission is guarded by the node's lock.
	bySubmission map[jujubebatch.SubmissionID]*endInHand
	// released are submissions that other instances may hold, although their end has failed without effect; guarded by the node's lock.
	released []jujubebatch.SubmissionID
	// announceCh wakes announceEnds; its capacity is one.
	announceCh chan struct{}
}

func newEndsInHand() endsInHand {
	return endsInHand{bySubmission: make(map[jujubebatch.SubmissionID]*endInHand), announceCh: make(chan struct{}, 1)}
}

// endInHand is an end that isn't known to be on the log. Its fields are guarded by the node's lock, but for doneCh.
type endInHand struct {
	submission jujubebatch.SubmissionID
	receivedAt time.Time
	// callers is the number of callers that wait for the first attempt to write the end. hasLostCaller is true once one has gone without
	// an answer.
	callers       int
	hasLostCaller bool
	// doneCh is closed when that has ended, with err.
	doneCh chan struct{}
	err    error
	// isOwed is true once a caller may count the submission as ended although the end isn't known to be on the log.
	isOwed bool
	// isAnnounced is true once other instances have been told.
	isAnnounced bool
}

// EndSubmission appends the record that a submission has ended. From its receipt on this instance runs nothing of the submission, until the
// end has failed without effect and the caller is told so. Ending it again has no effect.
func (n *Node) EndSubmission(ctx context.Context, id jujubebatch.SubmissionID) error {
	n.mu.Lock()
	_, isEnded := n.scheduler.SubmissionStatus(id)
	var end *endInHand
	isNew, isOwed := false, false
	if !isEnded {
		end, isNew = n.takeEnd(id)
		isOwed = end.isOwed
	}
	n.mu.Unlock()
	var err error
	switch {
	case isEnded:
	case isOwed:
		err = n.awaitOwedEnd(ctx, id)
	default:
		if isNew {
			n.passEnd(end)
		}
		err = n.awaitOutcome(ctx, end)
	}
	n.logEnd(id, isEnded, err)
	return err
}

// takeEnd returns the end of a submission that this instance has in hand for another caller; the lock is held. If it has none, it holds the
// submission.
func (n *Node) takeEnd(id jujubebatch.SubmissionID) (end *endInHand, isNew bool) {
	end, ok := n.ends.bySubmission[id]
	if !ok {
		end = &endInHand{submission: id, receivedAt: time.Now(), doneCh: make(chan struct{})}
		n.ends.bySubmission[id] = end
		n.executeActions(n.scheduler.HoldSubmission(id, n.identity.Instance, time.Time{}))
	}
	end.callers++
	return end, !ok
}

// takeOwedEnd takes over an end from an instance that leaves; the lock is held.
func (n *Node) takeOwedEnd(id jujubebatch.SubmissionID) {
	if _, isEnded := n.scheduler.SubmissionStatus(id); isEnded {
		return
	}
	end, isNew := n.takeEnd(id)
	end.isOwed = true
	if isNew {
		close(end.doneCh)
		n.wakeAnnounceEnds()
	}
}

func (n *Node) wakeAnnounceEnds() {
	select {
	case n.ends.announceCh <- struct{}{}:
	default:
	}
}

// passEnd begins to write a new end, unless this instance is stopping.
func (n *Node) passEnd(end *endInHand) {
	if n.tasks.start(func(ctx context.Context) { n.writeEnd(ctx, end) }) {
		n.wakeAnnounceEnds()
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dropEnd(end.submission)
	end.err = refusal(jujubeerror.CodeStoreFailed, "the instance is stopping")
	close(end.doneCh)
}

// awaitOutcome waits for the first attempt to write an end.
func (n *Node) awaitOutcome(ctx context.Context, end *endInHand) error {
	select {
	case <-end.doneCh:
		return end.err
	case <-ctx.Done():
	case <-n.tomb.Dying():
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-end.doneCh: // the outcome counts on this caller
		return end.err
	default:
	}
	end.callers--
	end.hasLostCaller = true
	return unknownOutcome("the caller or this instance is gone before the end is known to be on the log")
}

// awaitOwedEnd waits until an end whose outcome isn't known has been read from the log.
func (n *Node) awaitOwedEnd(ctx context.Context, id jujubebatch.SubmissionID) error {
	ctx, cancel := context.WithTimeout(ctx, owedEndWait)
	defer cancel()
	for {
		n.mu.Lock()
		_, ended := n.scheduler.SubmissionStatus(id)
		changedCh := n.stateChangedCh
		n.mu.Unlock()
		if ended {
			return nil
		}
		select {
		case <-changedCh:
		case <-ctx.Done():
			return unknownOutcome("an earlier end isn't known to be on the log")
		}
	}
}

// writeEnd tries to append an end. If no caller can be told that this had no effect, the writer of results appends it until it succeeds,
// and hands it over when this instance leaves.
func (n *Node) writeEnd(ctx context.Context, end *endInHand) {
	id := end.submission
	err := n.tryEnd(ctx, id)
	n.mu.Lock()
	refused, isRefused := jujubeerror.IsErrRefused(err)
	isTold := isRefused && refused.Ran == model.RanNo && end.callers > 0 && !end.hasLostCaller && !end.isOwed &&
		time.Since(end.receivedAt) < maxRefusalDelay
	switch {
	case err == nil || isTold || errors.As(err, new(ErrUnknownSubmission)):
		n.dropEnd(id)
	default:
		err, end.isOwed = unknownOutcome(err.Error()), true
	}
	isOwed := err != nil && end.isOwed
	end.err = err
	close(end.doneCh)
	n.notifyChange()
	n.mu.Unlock()
	if isOwed {
		select {
		case n.partitionOf(id).queue <- jujubebatch.Entry{End: &jujubebatch.End{Submission: id}}:
		case <-ctx.Done():
		}
	}
}

// tryEnd appends an end once.
func (n *Node) tryEnd(ctx context.Context, id jujubebatch.SubmissionID) error {
	if err := n.ensureKnown(ctx, id); err != nil {
		return err
	}
	entry := jujubebatch.Entry{End: &jujubebatch.End{Submission: id}}
	if err := n.appendEntry(ctx, id, entry); err != nil {
		return err
	}
	n.mu.Lock()
	n.scheduler.Apply(time.Now(), &entry)
	n.mu.Unlock()
	n.copyEnd(ctx, id)
	return nil
}

// dropEnd releases a submission whose end is known to be on the log or to have failed without effect; the lock is held.
func (n *Node) dropEnd(id jujubebatch.SubmissionID) {
	end, ok := n.ends.bySubmission[id]
	if !ok {
		return
	}
	delete(n.ends.bySubmission, id)
	n.scheduler.ReleaseSubmission(id, n.identity.Instance)
	if _, ended := n.scheduler.SubmissionStatus(id); end.isAnnounced && !end.isOwed && !ended {
		n.ends.released = append(n.ends.released, id)
	}
}

func (n *Node) logEnd(id jujubebatch.SubmissionID, known bool, err error) {
	if err == nil {
		n.log.Write(jujubeevent.EndAcknowledged, func() logrus.Fields { return logrus.Fields{"Submission": id, "Known": known} })
		return
	}
	refused, isRefused := jujubeerror.IsErrRefused(err)
	n.log.Write(jujubeevent.EndFailed, func() logrus.Fields {
		return logrus.Fields{"Submission": id, "MayTakeEffect": isRefused && refused.Ran != model.RanNo, "Error": err.Error()}
	})
}

// HoldArgs tell other instances of ends that the store hasn't confirmed to this one.
type HoldArgs struct {
	From model.InstanceID
	// Held are the submissions whose items must not start. Released are those whose end has failed without effect.
	Held, Released []jujubebatch.SubmissionID
}

// Hold keeps items of submissions from starting, as another instance has their ends in hand.
func (r *Relay) Hold(args HoldArgs, _ *Empty) error {
	n := r.node
	n.mu.Lock()
	defer n.mu.Unlock()
	n.applyHold(args)
	n.notifyChange()
	return nil
}

// applyHold holds and releases submissions for another instance; the lock is held.
func (n *Node) applyHold(args HoldArgs) {
	for _, id := range args.Released {
		n.scheduler.ReleaseSubmission(id, args.From)
	}
	for _, id := range args.Held {
		if _, ended := n.scheduler.SubmissionStatus(id); ended {
			continue
		}
		if !n.scheduler.IsHeld(id) {
			n.log.Write(jujubeevent.SubmissionHeld, func() logrus.Fields { return logrus.Fields{"Submission": id, "By": args.From} })
		}
		n.executeActions(n.scheduler.HoldSubmission(id, args.From, time.Now().Add(holdTTL)))
	}
}

// announceEnds tells the other instances of the ends that wait for the store, until the context ends. An instance of an earlier build
// doesn't know the call.
func (n *Node) announceEnds(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return nil
		case <-n.ends.announceCh:
		}
		for delay := holdDelay; n.hasEnds(); delay = holdInterval {
			sleep(ctx, delay)
			if ctx.Err() != nil {
				return nil
			}
			if args := n.nextHold(time.Now()); len(args.Held)+len(args.Released) > 0 {
				n.tomb.Go(func() error {
					n.tellHold(ctx, args)
					return nil
				})
			}
		}
	}
	return nil
}

// tellHold tells all that may run items. One that doesn't reply soon may be slow, or this one is: a further call on a connection of its
// own isn't broken off when other calls there are.
func (n *Node) tellHold(ctx context.Context, args HoldArgs) {
	ctx, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	n.mu.Lock()
	addresses := n.claimants() // others may run items although no heartbeat of them arrives
	n.mu.Unlock()
	done := make(chan error, len(addresses))
	for _, address := range addresses {
		go func() {
			callCtx, cancelCall := context.WithTimeout(ctx, peerTimeout)
			defer cancelCall()
			err := n.store.pool.Call(callCtx, address, "Relay.Hold", args, &Empty{})
			if err != nil {
				err = n.store.pool.CallDedicated(ctx, address, "Relay.Hold", args, &Empty{})
			}
			done <- err
		}()
	}
	failed := 0
	for range addresses {
		if err := <-done; err != nil {
			failed++
		}
	}
	n.log.Write(jujubeevent.PeersTold, func() logrus.Fields {
		return logrus.Fields{"Method": "Relay.Hold", "Peers": len(addresses), "Failed": failed}
	})
}

func (n *Node) hasEnds() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.ends.bySubmission)+len(n.ends.released) > 0
}

// nextHold returns what the other instances have to be told now, and forgets the ends that have been read from the log.
func (n *Node) nextHold(now time.Time) HoldArgs {
	n.mu.Lock()
	defer n.mu.Unlock()
	isInHand := func(id jujubebatch.SubmissionID) bool { return n.ends.bySubmission[id] != nil }
	args := HoldArgs{From: n.identity.Instance, Released: slices.DeleteFunc(n.ends.released, isInHand)}
	n.ends.released = nil
	for _, id := range slices.Sorted(maps.Keys(n.ends.bySubmission)) {
		end := n.ends.bySubmission[id]
		known, ended := n.scheduler.SubmissionStatus(id)
		age := now.Sub(end.receivedAt)
		isUnknown := !known && n.partitionOf(id).follower.caughtUpAt.After(end.receivedAt)
		switch {
		case end.isOwed && (ended || isUnknown && age > holdTTL):
			n.dropEnd(id)
		case !ended && age >= holdDelay:
			end.isAnnounced = true
			args.Held = append(args.Held, id)
		}
	}
	return args
}
