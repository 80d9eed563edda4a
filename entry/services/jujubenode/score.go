package jujubenode

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeerror"
	"jujubepier.example/core/modules/jujubeevent"
	"jujubepier.example/core/modules/jujubehttp"
	"jujubepier.example/core/services/jujubebatch"
)

// defaultScoringTimeout bounds a scoring call whose route has no timeout.
const defaultScoringTimeout = 3 * time.Second

func (n *Node) startScoring(start jujubebatch.StartScoring) {
	ctx, cancel := context.WithCancel(n.tomb.Context(nil))
	n.activeRuns[start.Run] = activeRun{cancel: cancel}
	work := sentWork{workScoring, start.Submission, start.Item, start.Run, "", time.Now()}
	permit := func() jujubehttp.SendPermit { return n.permitSend(work) }
	n.tomb.Go(func() error {
		defer cancel()
		n.runScoring(ctx, start, permit)
		return nil
	})
}

// runScoring makes a scoring call and passes its outcome to the scheduler.
func (n *Node) runScoring(ctx context.Context, start jujubebatch.StartScoring, permit func() jujubehttp.SendPermit) {
	startedAt := time.Now()
	outcome, tries, err := n.callScoring(ctx, start, permit)
	n.metrics.scorings.UpdateDuration(startedAt)
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	if _, ok := n.activeRuns[start.Run]; ok {
		delete(n.activeRuns, start.Run)
		n.metrics.countScoring(outcome)
		n.log.Write(jujubeevent.ItemScored, func() logrus.Fields {
			return logrus.Fields{
				"Submission": start.Submission, "Item": start.Item, "Run": start.Run, "Request": start.Call.ID, "Score": outcome.Score,
				"Failures": len(outcome.Failures), "Tries": tries, "Error": errorText(err), "Took": now.Sub(startedAt).String(),
			}
		})
	}
	n.scheduler.HandleScoringEnd(now, start.Run, outcome)
	n.notifyChange()
}

func (n *Node) callScoring(ctx context.Context, start jujubebatch.StartScoring, permit func() jujubehttp.SendPermit) (outcome jujubebatch.ScoringOutcome, tries int, err error) {
	content := start.InlineContent
	if content.Headers == nil {
		if content, err = n.partitionOf(start.Submission).fetchContent(ctx, start.Content); err != nil {
			return outcome, 0, err
		}
	}
	route, err := n.MatchRoute(ctx, start.Call.Host, start.Call.Path)
	if err != nil {
		return outcome, 0, refusal(jujubeerror.CodeNoEndpoint, "the scoring call has no route")
	}
	timeout := defaultScoringTimeout
	if route.Timeout > 0 {
		timeout = route.Timeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	f := newForwarding(n, route, PlainRequest{
		ID: start.Call.ID, IsEnforced: n.hasOrganisations(), Method: http.MethodPost, URI: start.Call.Path, Host: start.Call.Host,
		Body: content.ScoringBody, Deadline: deadline,
	})
	f.retryable, f.priority, f.permit = true, model.PriorityTrainer, permit
	f.onResponse = func(response Response) { outcome.AddResponse(response.Status, response.Stamp) }
	_, err = f.run(ctx)
	if refused, ok := jujubeerror.IsErrRefused(err); ok && refused.Code == jujubeerror.CodeOverloaded && f.attempts == 0 {
		outcome.Refused, outcome.RetryAfter = true, refused.RetryAfter
	}
	return outcome, f.attempts, err
}
