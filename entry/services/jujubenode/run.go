package jujubenode

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeevent"
	"jujubepier.example/core/modules/jujubehttp"
	"jujubepier.example/core/services/jujubebatch"
	"jujubepier.example/core/services/jujuberegistry"
	"jujubepier.example/core/services/jujubethrottle"
)

// executeActions executes the scheduler's actions; the lock is held, so nothing here blocks.
func (n *Node) executeActions(actions []jujubebatch.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case jujubebatch.StartRun:
			n.startRun(a)
		case jujubebatch.CancelRun:
			n.cancelRun(a)
		case jujubebatch.StartScoring:
			n.startScoring(a)
		case jujubebatch.AppendEntry:
			n.enqueue(a)
		case jujubebatch.TextDropped:
			n.log.Write(jujubeevent.TextDropped, func() logrus.Fields {
				return logrus.Fields{
					"Submission": a.Submission, "Item": a.Item, "Events": a.Events, "SoftwareVersion": a.SoftwareVersion, "Reason": a.Reason,
				}
			})
		case jujubebatch.OfferItems:
			n.tomb.Go(func() error { n.sendOffers(a); return nil })
		case jujubebatch.ConfirmItems:
			n.tomb.Go(func() error { n.confirmDelegated(a); return nil })
		}
	}
}

func (n *Node) enqueue(a jujubebatch.AppendEntry) {
	select {
	case n.partitionOf(a.Submission).queue <- a.Entry:
	default:
		// The store has been unavailable for so long that the queue is full. The item counts as unfinished and is run
		// again.
		n.scheduler.ClearResultQueued(a.Entry)
		n.log.Write(jujubeevent.AppendFailed, func() logrus.Fields {
			return logrus.Fields{"Submission": a.Submission, "Entries": 1, "Error": "the queue is full"}
		})
	}
}

// activeRun is a run or scoring call in progress.
type activeRun struct {
	cancel context.CancelFunc
	// address is the engine's; empty for a scoring call.
	address string
}

// startRun starts a run of an item in the background; the lock is held.
func (n *Node) startRun(start jujubebatch.StartRun) {
	ctx, cancel := context.WithCancel(n.tomb.Context(nil))
	n.activeRuns[start.Run] = activeRun{cancel, start.Address}
	n.log.Write(jujubeevent.ItemStarted, func() logrus.Fields {
		return logrus.Fields{
			"Submission": start.Submission, "Item": start.Item, "Run": start.Run, "Endpoint": start.Engine, "After": start.After,
			"KnownVersion": start.KnownVersion, "InFlight": start.InFlight, "Planned": start.Assigned, "Pace": start.EventInterval.String(),
			"SoftwareVersion": start.SoftwareVersion, "TextSoftware": start.TextSoftware, "Checkpoint": start.Progress != nil,
			"PromptTokens": start.PromptTokens, "KeptTokens": start.KeptTokens,
			"ExpectedEvents": start.ExpectedEvents, "ExpectedFinish": start.ExpectedFinish.String(), "Placement": start.Placement,
			"By": start.By, "ViewAge": n.partitionOf(start.Submission).follower.viewAge().String(), "Source": n.relay.address,
		}
	})
	n.metrics.countPrompt(start.PromptTokens, start.KeptTokens)
	decidedAt := time.Now()
	n.tomb.Go(func() error {
		defer cancel()
		n.runItem(ctx, start, decidedAt)
		return nil
	})
}

// cancelRun cancels a run of this instance; the lock is held.
func (n *Node) cancelRun(a jujubebatch.CancelRun) {
	if run, ok := n.activeRuns[a.Run]; ok {
		run.cancel()
		delete(n.activeRuns, a.Run)
		if a.Silent {
			n.tomb.Go(func() error { n.endpointPath.checkLinks(run.address); return nil })
		}
	}
	if a.Move != "" {
		n.metrics.countMove(a.Move)
	}
	n.log.Write(jujubeevent.ItemStopped, func() logrus.Fields {
		return logrus.Fields{"Run": a.Run, "Reason": a.Reason}
	})
}

func (n *Node) runItem(ctx context.Context, start jujubebatch.StartRun, decidedAt time.Time) {
	startedAt := time.Now()
	kind, err := n.callEngine(ctx, start, decidedAt)
	n.metrics.runs.UpdateDuration(startedAt)
	if kind == jujubebatch.RunBroken && ctx.Err() == nil {
		n.endpointPath.checkLinks(start.Address)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	if _, ok := n.activeRuns[start.Run]; ok {
		delete(n.activeRuns, start.Run)
		n.log.Write(jujubeevent.ItemEnded, func() logrus.Fields {
			return logrus.Fields{
				"Submission": start.Submission, "Item": start.Item, "Run": start.Run, "Endpoint": start.Engine, "Outcome": kind,
				"Error": errorText(err), "Took": now.Sub(startedAt).String(),
			}
		})
	}
	n.metrics.countRun(kind)
	n.scheduler.HandleRunEnd(now, start.Run, kind)
	n.notifyChange()
}

// callEngine fetches the content and the earlier progress of a run and calls the engine.
func (n *Node) callEngine(ctx context.Context, start jujubebatch.StartRun, decidedAt time.Time) (jujubebatch.EndKind, error) {
	p := n.partitionOf(start.Submission)
	timing := sendTiming{decidedAt: decidedAt, preparedAt: time.Now()}
	content := start.InlineContent
	if content.Headers == nil {
		var err error
		if content, err = p.fetchContent(ctx, start.Content); err != nil {
			// Nothing was sent. The item is retried after a delay.
			return jujubebatch.RunUnsent, err
		}
	}
	if start.Progress != nil {
		var events []string
		if err := p.fetchBlob(ctx, blobRef{start.Progress.Data, start.Progress.By}, &events); err != nil {
			n.log.Write(jujubeevent.ProgressLost, func() logrus.Fields {
				return logrus.Fields{"Submission": start.Submission, "Item": start.Item, "Run": start.Run, "Error": err.Error()}
			})
		}
		n.mu.Lock()
		after, ok := n.scheduler.RestoreProgress(start.Run, events)
		n.mu.Unlock()
		if !ok {
			return jujubebatch.RunUnsent, context.Canceled
		}
		start.After = after
	}
	timing.contentAt = time.Now()
	if verdict := n.acquirePermit(ctx, start.Engine, jujubethrottle.Interactive); verdict.Decision != jujubethrottle.Permitted {
		return jujubebatch.RunThrottled, nil
	}
	// The submission may have ended meanwhile. The item is decided on again once the log has been read.
	work := sentWork{workRun, start.Submission, start.Item, start.Run, start.Engine, decidedAt}
	if check := n.checkSend(work); !check.Verdict.Allows() {
		n.recordSendCheck(work, check)
		return jujubebatch.RunUnsent, ErrRunNotSent{Submission: start.Submission}
	}
	timing.permitAt = time.Now()
	permit := func() jujubehttp.SendPermit {
		permit := n.permitSend(work)
		if permit.Allowed {
			n.recordSend(start, timing)
		}
		return permit
	}
	return n.engineClient.Run(jujubehttp.WithSendPermit(ctx, permit), start, content, runSink{ctx, n, start})
}

// runSink passes a run's events to the scheduler.
type runSink struct {
	ctx   context.Context
	node  *Node
	start jujubebatch.StartRun
}

// Accepted records the weight version with which the engine started. A run that continues a text goes on only if the engine's process
// is known to be that of its entry.
func (s runSink) Accepted(version model.WeightVersion, connectedAt time.Time) bool {
	isConfirmed := s.start.After == 0 || connectedAt.IsZero() ||
		s.node.confirmProcess(s.ctx, s.start.Engine, s.start.Incarnation, connectedAt)
	s.node.mu.Lock()
	defer s.node.mu.Unlock()
	if !isConfirmed {
		s.node.scheduler.RestartText(s.start.Run, "the software version of the engine's process isn't known")
		return false
	}
	if !connectedAt.IsZero() {
		s.node.scheduler.HandleRunConnected(s.start.Run, jujuberegistry.ConfirmableAt(connectedAt))
	}
	return s.node.scheduler.HandleRunAccepted(time.Now(), s.start.Run, version)
}

// Event records an event.
func (s runSink) Event(number int, data string, version model.WeightVersion) bool {
	s.node.mu.Lock()
	defer s.node.mu.Unlock()
	return s.node.scheduler.HandleRunEvent(time.Now(), s.start.Run, number, data, version)
}

// Failed records an internal error.
func (s runSink) Failed(signature string) {
	s.node.mu.Lock()
	defer s.node.mu.Unlock()
	s.node.scheduler.HandleRunFailure(s.start.Run, signature)
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
