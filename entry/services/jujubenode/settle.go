package jujubenode

import (
	"context"
	"time"

	"github.com/pkg/errors"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeerror"
	"jujubepier.example/core/services/jujubeattempt"
	"jujubepier.example/core/services/jujubebatch"
)

const (
	// submitTimeout bounds the appends of a submission, from the first one on. Callers wait longer than that for a response.
	submitTimeout = 3 * time.Second
	// appendHedgeDelay is how long an attempt may go without a response before another one begins. The store responds in 4 ms, or in 250 ms
	// when it is slow.
	appendHedgeDelay = 300 * time.Millisecond
	// maxSettleAttempts bounds the attempts of one append, and maxAttemptsInFlight those that are in progress at the same time: a store that
	// is slow as it has too much to do mustn't get several times as much.
	maxSettleAttempts   = 12
	maxAttemptsInFlight = 2
)

// appendSubmission writes a submission: its contents first, then its record. It returns once the record is known to be on the log, also by
// reading it from there, or once nothing is left to try before the caller's deadline.
func (n *Node) appendSubmission(ctx context.Context, access Access, s *jujubebatch.Submission) error {
	deadline := time.Now().Add(submitTimeout)
	if callerDeadline, ok := ctx.Deadline(); ok && callerDeadline.Before(deadline) {
		deadline = callerDeadline
	}
	writtenCh := make(chan error, 1)
	_, release := n.ReserveBatch(s.ID, "")
	if !n.tasks.start(func(ctx context.Context) {
		defer release()
		ctx, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		err := n.partitionOf(s.ID).writeSubmission(ctx, s)
		if err == nil {
			n.memory.markWritten(s.ID)
		}
		writtenCh <- err
	}) {
		release()
		return refusal(jujubeerror.CodeStoreFailed, "the instance is stopping")
	}
	for {
		n.mu.Lock()
		isRead, _ := n.scheduler.SubmissionStatus(s.ID)
		isRead = isRead || n.scheduler.IsDeferred(s.ID)
		origin, _ := n.scheduler.Origin(s.ID)
		changedCh := n.stateChangedCh
		n.mu.Unlock()
		if isRead && !access.allowsSubmission(origin.Organisation) {
			return ErrUnknownSubmission{ID: s.ID}
		}
		if isRead {
			return nil
		}
		select {
		case err := <-writtenCh:
			return asRefusal(err)
		case <-ctx.Done(): // also when this instance stops serving
			return unknownOutcome("the record isn't known to be on the log")
		case <-changedCh:
		}
	}
}

// writeSubmission writes the contents and the record of a submission.
func (p *partition) writeSubmission(ctx context.Context, s *jujubebatch.Submission) error {
	var err error
	if s.Chunks, err = p.writeContents(ctx, s); err == nil {
		err = p.node.memory.recheck(s)
	}
	if err != nil {
		return ErrContentsNotWritten{Cause: err}
	}
	s.By = p.node.identity.Instance
	records, err := p.encodeRecord(jujubebatch.Entry{Submission: s})
	if err != nil {
		return err
	}
	if _, err = p.settleAppend(ctx, topicSubmissions, records, func(model.Ran) bool { return p.hasRead(s.ID) }); p.hasRead(s.ID) {
		return nil
	}
	return err
}

// writeContents writes the contents of a submission and returns where they are. They are encoded one append at a time.
func (p *partition) writeContents(ctx context.Context, s *jujubebatch.Submission) ([]jujubebatch.Pointer, error) {
	var written []jujubebatch.Pointer
	contents := &blobBatch{codec: p.node.codec}
	write := func() error {
		err := p.writeBlobsWith(contents, func(records []Record) (int64, error) {
			// Contents without a record have no effect, so the submission can be refused.
			return p.settleAppend(ctx, topicTexts, records, func(last model.Ran) bool { return last == model.RanNo })
		})
		written, contents = append(written, contents.pointers...), &blobBatch{codec: p.node.codec}
		return err
	}
	for chunk, err := range s.SplitContents() {
		if err != nil {
			return nil, err
		}
		if err := contents.add(chunk, p.node.settings.MaxRecordBytes); err != nil {
			return nil, err
		}
		if contents.size < p.node.settings.MaxAppendBytes {
			continue
		}
		if err := write(); err != nil {
			return nil, err
		}
	}
	err := write()
	return written, err
}

// hasRead reports whether this instance has read the record of a submission.
func (p *partition) hasRead(id jujubebatch.SubmissionID) bool {
	p.node.mu.Lock()
	defer p.node.mu.Unlock()
	known, _ := p.node.scheduler.SubmissionStatus(id)
	return known || p.node.scheduler.IsDeferred(id)
}

// appendOutcome is the outcome of an attempt of an append.
type appendOutcome struct {
	offset int64
	err    error
}

// beginAppend begins an attempt of an append, which ends with the context's deadline at the latest. It goes on when another attempt has
// succeeded: a call through another instance that is cancelled closes the connection, which other calls use, too.
func (p *partition) beginAppend(ctx context.Context, topic Topic, records []Record, outcomes chan<- appendOutcome) {
	timeout := appendTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(deadline))
	}
	p.node.tomb.Go(func() error {
		callCtx, cancel := context.WithTimeout(p.node.tomb.Context(nil), timeout)
		defer cancel()
		offset, err := p.node.store.Append(callCtx, topic, p.number, records, NoCondition)
		outcomes <- appendOutcome{offset, err}
		return nil
	})
}

// never goes on until the outcome of an append is known.
func never(model.Ran) bool { return false }

// settleAppend appends records to a partition of a topic. While it isn't known whether that has had an effect, it makes further attempts, as
// the first of equal records counts: beside one that gets no response, and after one that has failed. It ends when an attempt succeeds, when all
// are known to have had no effect, or else none is in progress and stop returns true for the last outcome, or with the context.
func (p *partition) settleAppend(ctx context.Context, topic Topic, records []Record, stop func(last model.Ran) bool) (int64, error) {
	var tally jujubeattempt.Tally
	last := ErrStore{Call: methodAppend, Reason: "no time is left"}
	outcomes := make(chan appendOutcome, maxSettleAttempts)
	inFlight, retryDelay := 0, minAppendRetryDelay
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-timer.C:
			if inFlight == maxAttemptsInFlight || tally.Begun == maxSettleAttempts || tally.Begun > 0 && stop(model.RanUnknown) {
				continue
			}
			tally.Begin()
			inFlight++
			p.beginAppend(ctx, topic, records, outcomes)
			timer.Reset(appendHedgeDelay)
		case outcome := <-outcomes:
			if outcome.err == nil {
				return outcome.offset, nil
			}
			inFlight--
			ran := ranOf(outcome.err)
			tally.End(ran)
			if !errors.As(outcome.err, &last) {
				last.Reason = outcome.err.Error()
			}
			if inFlight == 0 && (!tally.MayHaveRun() || tally.Begun == maxSettleAttempts || stop(ran)) {
				last.Done = tally.MayHaveRun()
				return 0, last
			}
			timer.Reset(retryDelay)
			retryDelay = min(2*retryDelay, maxAppendRetryDelay)
		}
	}
	last.Done = tally.MayHaveRun()
	return 0, last
}
