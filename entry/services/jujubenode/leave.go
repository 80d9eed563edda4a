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
	"jujubepier.example/core/services/jujuberegistry"
)

const (
	// exitMargin is the part of the drain time that is left for closing connections when the node exits.
	exitMargin = 900 * time.Millisecond
	// closeTimeout bounds the wait for responses in progress after the listener is closed.
	closeTimeout = 400 * time.Millisecond
	// handOverTime is the time before the exit in which progress is written for the instances that take over.
	handOverTime = 700 * time.Millisecond
	// leavingRetryAfter tells callers to use another address at once.
	leavingRetryAfter = time.Millisecond
)

// errServingEnded is the cause of the end of requests that are still in progress when the instance stops serving.
var errServingEnded = errors.New("the instance has left")

// leave drains this instance. Callers get other addresses immediately, but those that still use this instance's address are served
// until the drain time is nearly over, if their requests end by then; others are refused. Items that still run then continue on other
// instances from the written progress.
func (n *Node) leave() {
	n.mu.Lock()
	startedAt := time.Now()
	n.state = jujuberegistry.Leaving
	n.requestHeartbeat()
	n.leaveDeadline = startedAt.Add(n.settings.DrainTime - exitMargin)
	runs := n.scheduler.RunsInFlight()
	n.mu.Unlock()
	n.log.Write(jujubeevent.InstanceLeaving, func() logrus.Fields {
		return logrus.Fields{"Instance": n.identity.Instance, "Until": n.leaveDeadline.Format(time.RFC3339Nano), "Runs": runs}
	})
	background := n.tomb.Context(nil)
	sleep(background, time.Until(n.leaveDeadline)-handOverTime)
	n.mu.Lock()
	n.scheduler.Drain()
	n.executeActions(n.scheduler.Checkpoint(time.Now()))
	n.mu.Unlock()
	sleep(background, time.Until(n.servingEnd()))
	n.endServing()
	if n.stopServing != nil {
		closeCtx, cancel := context.WithTimeout(background, closeTimeout)
		n.stopServing(closeCtx)
		cancel()
	}
	var unwritten []jujubebatch.Entry
	for _, p := range n.partitions {
		unwritten = append(unwritten, p.drainUnwritten()...)
	}
	var handedOver []jujubebatch.Entry
	if len(unwritten) > 0 {
		handedOver = n.handOver(background, unwritten)
	}
	ctx, cancel := context.WithTimeout(background, handOverTime/2)
	defer cancel()
	final := n.writeFinalUsage(ctx)
	if err := n.putInstanceRecord(ctx, nil); err != nil {
		n.log.Write(jujubeevent.BeatFailed, func() logrus.Fields {
			return logrus.Fields{"Number": n.heartbeatNumber, "Error": err.Error()}
		})
		n.broadcast(background, "Relay.Left", LeftArgs{Instance: n.identity.Instance, HandedOver: handedOver, Usage: final})
	}
}

// servingEnd returns when a leaving instance stops serving callers.
func (n *Node) servingEnd() time.Time { return n.leaveDeadline.Add(-handOverTime / 2) }

// ServeContext returns a context for a caller's request: it ends with the caller's, and when the instance stops serving. Only requests
// from before the drain are still in progress then.
func (n *Node) ServeContext(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(n.serving, func() { cancel(errServingEnded) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// checkTimeLeft returns the refusal of a request that may last longer than this instance. A request that has been sent to an endpoint
// can't be passed to another instance any more.
func (n *Node) checkTimeLeft(deadline time.Time) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leaveDeadline.IsZero() || !deadline.After(n.servingEnd()) {
		return nil
	}
	return jujubeerror.ErrRefused{
		Code: jujubeerror.CodeLeaving, Ran: model.RanNo, RetryAfter: leavingRetryAfter, Message: "the instance leaves before the request's deadline; use another address",
	}
}

// isDrainEnding reports whether too little of the drain time is left to accept submissions.
func (n *Node) isDrainEnding() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.leaveDeadline.IsZero() && time.Until(n.leaveDeadline) < 2*handOverTime
}

// IsLeaving reports whether the instance has started to leave; connections are then closed after their next response.
func (n *Node) IsLeaving() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.leaveDeadline.IsZero()
}

// Kill stops the node immediately, as a crash of its process does.
func (n *Node) Kill() { n.tomb.Kill(nil) }
