package jujubenode

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeerror"
	"jujubepier.example/core/modules/jujubeevent"
	"jujubepier.example/core/services/jujubebatch"
	"jujubepier.example/core/services/jujubedesired"
	"jujubepier.example/core/services/jujuberegistry"
)

const (
	// refusalRetryAfter is the retry delay of refusals whose cause is temporary or concerns only this instance.
	refusalRetryAfter = 300 * time.Millisecond
	// maxPageBytes bounds the results of one response, so that the response with the encoding around the results stays
	// within the platform's limit.
	maxPageBytes = 900 << 10
)

// refusal returns an error for a request that had no effect. CodeStoreFailed is the code for an instance that can't serve the
// request now: it is starting or leaving, or it can't read or write the log, which the platform's store holds.
func refusal(code, message string) error {
	return jujubeerror.ErrRefused{Code: code, Ran: model.RanNo, RetryAfter: refusalRetryAfter, Message: message}
}

// unknownOutcome returns an error for a request that may have taken effect.
func unknownOutcome(message string) error {
	return jujubeerror.ErrRefused{Code: jujubeerror.CodeStoreFailed, Ran: model.RanUnknown, Message: message}
}

// Submit accepts a submission once it is on the log. The same submission may be sent again, to any instance.
func (n *Node) Submit(ctx context.Context, route *jujubedesired.Route, submission *jujubebatch.Submission) error {
	n.mu.Lock()
	ready, state := n.ready, n.state
	known, _ := n.scheduler.SubmissionStatus(submission.ID)
	known = known || n.scheduler.IsDeferred(submission.ID)
	origin, _ := n.scheduler.Origin(submission.ID)
	p := n.partitionOf(submission.ID)
	logUnavailable, mayBeOld := !p.follower.failingSince.IsZero(), p.mayHaveMissed(time.Now())
	desiredVersion, access := int64(0), Access{Organisation: submission.Organisation}
	if n.desired != nil {
		desiredVersion, access.Enforced = n.desired.Version, n.desired.Organisations != nil
	}
	n.mu.Unlock()
	var err error
	switch {
	case known && !access.allowsSubmission(origin.Organisation):
		n.logForeign(submission.ID, access)
		return ErrUnknownSubmission{ID: submission.ID}
	case known:
	case !ready || state == jujuberegistry.Leaving && n.isDrainEnding():
		err = refusal(jujubeerror.CodeStoreFailed, "the instance is starting or leaving")
	case logUnavailable:
		err = refusal(jujubeerror.CodeStoreFailed, "the log doesn't answer")
	default:
		if err = n.checkItems(access, submission); err != nil {
			break
		}
		if mayBeOld {
			if err = p.checkNew(ctx, submission.ID); err != nil {
				break
			}
		}
		submission.Accepted, submission.DesiredVersion = time.Now().UnixMilli(), desiredVersion
		err = n.appendSubmission(ctx, access, submission)
	}
	n.logSubmit(route, submission, known, err)
	return err
}

func (n *Node) logSubmit(route *jujubedesired.Route, s *jujubebatch.Submission, known bool, err error) {
	event := jujubeevent.SubmissionAccepted
	if err != nil {
		event = jujubeevent.SubmissionRefused
	}
	n.log.Write(event, func() logrus.Fields {
		return logrus.Fields{
			"Submission": s.ID, "Route": route.Name, "Items": len(s.Items), "Known": known, "Error": errorText(err),
		}
	})
}

// appendEntry appends an entry. Its error distinguishes a refusal, after which the entry isn't on the log, from a failure
// after which the entry may be on it.
func (n *Node) appendEntry(ctx context.Context, id jujubebatch.SubmissionID, entry jujubebatch.Entry) error {
	return asRefusal(n.partitionOf(id).append(ctx, entry))
}

// asRefusal translates the error of the append of an entry for the caller.
func asRefusal(err error) error {
	var tooLarge ErrTooLarge
	switch {
	case err == nil:
		return nil
	case errors.As(err, &tooLarge):
		return refusal(jujubeerror.CodeTooLarge, err.Error())
	case errors.As(err, new(ErrContentsNotWritten)) || ranOf(err) == model.RanNo:
		return refusal(jujubeerror.CodeStoreFailed, err.Error())
	}
	return unknownOutcome(err.Error())
}

// ReadResults returns the results from index first on, up to maxPageBytes. If there are none, it waits up to the given time for
// one.
func (n *Node) ReadResults(ctx context.Context, id jujubebatch.SubmissionID, first int, wait time.Duration) (jujubebatch.Page, error) {
	if err := n.ensureKnown(ctx, id); err != nil {
		return jujubebatch.Page{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		n.mu.Lock()
		page, ok := n.scheduler.ReadResults(id, first, maxPageBytes)
		wasReadRecently := n.partitionOf(id).follower.wasReadRecently()
		changedCh := n.stateChangedCh
		n.mu.Unlock()
		switch {
		case !ok:
			return page, ErrUnknownSubmission{ID: id}
		case page.InDoubt:
			return page, refusal(jujubeerror.CodeStoreFailed, "records of the submission have expired unread")
		case len(page.Results) > 0:
			if err := n.partitionOf(id).fetchTexts(ctx, page.Results); err != nil {
				return page, refusal(jujubeerror.CodeStoreFailed, err.Error())
			}
			return page, nil
		case wait <= 0 && wasReadRecently:
			return page, nil
		case !wasReadRecently && wait <= 0:
			return page, refusal(jujubeerror.CodeStoreFailed, "the log hasn't been read lately")
		case page.Ended || first >= page.Total:
			return page, nil
		}
		select {
		case <-ctx.Done():
			return page, nil
		case <-timer.C:
			wait = 0
		case <-changedCh:
		}
	}
}

// ErrUnknownSubmission is returned if no submission has the id after the log was read up to its end.
type ErrUnknownSubmission struct {
	ID jujubebatch.SubmissionID
}

// Error returns the id.
func (e ErrUnknownSubmission) Error() string { return "no submission " + string(e.ID) }

// ensureKnown checks that a submission exists. Before it reports an unknown submission it reads the log up to its end.
func (n *Node) ensureKnown(ctx context.Context, id jujubebatch.SubmissionID) error {
	n.mu.Lock()
	known, _ := n.scheduler.SubmissionStatus(id)
	isDeferred := n.scheduler.IsDeferred(id)
	f := n.partitionOf(id).follower
	hasCaughtUp := !f.caughtUpAt.IsZero()
	n.mu.Unlock()
	if known {
		return nil
	}
	if isDeferred {
		return refuseDeferred()
	}
	if !hasCaughtUp {
		return refusal(jujubeerror.CodeStoreFailed, "the log hasn't been read yet")
	}
	if err := f.sync(ctx); err != nil {
		return refusal(jujubeerror.CodeStoreFailed, err.Error())
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if known, _ = n.scheduler.SubmissionStatus(id); !known {
		if n.scheduler.IsDeferred(id) {
			return refuseDeferred()
		}
		if time.Since(f.caughtUpAt) > maxReadAge {
			return refusal(jujubeerror.CodeStoreFailed, "the log is read behind its end")
		}
		if n.partitionOf(id).mayHaveMissed(time.Now()) {
			return refusal(jujubeerror.CodeStoreFailed, "records of submissions have expired unread")
		}
		return ErrUnknownSubmission{ID: id}
	}
	return nil
}

// ItemBody returns the body of an item's request, for callers that request it by the item's id.
func (n *Node) ItemBody(ctx context.Context, id jujubebatch.SubmissionID, item jujubebatch.ItemID) ([]byte, error) {
	if err := n.ensureKnown(ctx, id); err != nil {
		return nil, err
	}
	n.mu.Lock()
	location, ok := n.scheduler.FindContent(id, item)
	n.mu.Unlock()
	if !ok {
		return nil, ErrUnknownSubmission{ID: id}
	}
	content, err := n.partitionOf(id).fetchContent(ctx, location)
	if err != nil {
		return nil, refusal(jujubeerror.CodeStoreFailed, err.Error())
	}
	return content.Body, nil
}
