package jujubenode

import (
	"time"

	"github.com/sirupsen/logrus"

	"jujubepier.example/core/modules/jujubeevent"
	"jujubepier.example/core/services/jujubebatch"
)

const (
	// slowDelay is how long a read may take beyond its wait, and a run until it is sent, without a line in the log.
	slowDelay = time.Second
	// oldViewAge is the age of a view from which on a run is logged when it is sent. With a relay, views are over a second old at times.
	oldViewAge = 2 * time.Second
)

// sendTiming is when a run went through the steps before its request is sent.
type sendTiming struct {
	// preparedAt is when the run's goroutine began, contentAt when it had the content and the earlier text, permitAt when it had a permit.
	decidedAt, preparedAt, contentAt, permitAt time.Time
}

// recordSend is called immediately before a run's request is written to its connection.
func (n *Node) recordSend(start jujubebatch.StartRun, timing sendTiming) {
	now := time.Now()
	n.mu.Lock()
	f := n.partitionOf(start.Submission).follower
	viewAge, hasUnread, reading, source := f.viewAge(), f.hasUnread, now.Sub(f.readSince), n.relay.address
	sinceTick := now.Sub(n.pauses.lastTick)
	n.mu.Unlock()
	n.metrics.sendDelays.Update(now.Sub(timing.decidedAt).Seconds())
	n.metrics.viewAges.Update(viewAge.Seconds())
	if viewAge < oldViewAge && now.Sub(timing.decidedAt) < slowDelay {
		return
	}
	n.log.Write(jujubeevent.RunSentLate, func() logrus.Fields {
		return logrus.Fields{
			"Submission": start.Submission, "Item": start.Item, "Run": start.Run, "Endpoint": start.Engine, "By": start.By,
			"Placement": start.Placement, "ViewAge": viewAge.String(), "Unread": hasUnread, "Reading": reading.String(), "Source": source,
			"SinceTick": sinceTick.String(), "Waited": now.Sub(timing.decidedAt).String(),
			"StartTook": timing.preparedAt.Sub(timing.decidedAt).String(), "ContentTook": timing.contentAt.Sub(timing.preparedAt).String(),
			"PermitTook": timing.permitAt.Sub(timing.contentAt).String(), "ConnectTook": now.Sub(timing.permitAt).String(),
		}
	})
}

// readTiming is the state at the beginning of a read.
type readTiming struct {
	requestedAt time.Time
	wait        time.Duration
	viewAge     time.Duration
	next        int64
}

// beginRead is called before each read of run.
func (f *follower) beginRead() readTiming {
	wait := f.nextWait()
	f.node.mu.Lock()
	defer f.node.mu.Unlock()
	f.readSince = time.Now()
	return readTiming{f.readSince, wait, f.viewAge(), f.next}
}

// viewAge returns how long ago the latest read that reached the partition's end was requested; the lock is held.
func (f *follower) viewAge() time.Duration { return f.node.bootClock().Sub(f.viewTime.RequestedAt) }

// recordRead logs a read that took much longer than it was to wait.
func (f *follower) recordRead(timing readTiming, err error) {
	now := time.Now()
	if now.Sub(timing.requestedAt) < timing.wait+slowDelay {
		return
	}
	f.node.mu.Lock()
	defer f.node.mu.Unlock()
	f.node.log.Write(jujubeevent.ReadSlow, func() logrus.Fields {
		return logrus.Fields{
			"Topic": f.topic.Name, "Partition": f.part, "Source": f.node.relay.address, "Wait": timing.wait.String(),
			"Took": now.Sub(timing.requestedAt).String(), "ApplyTook": now.Sub(f.respondedAt).String(), "Records": f.next - timing.next,
			"ViewAgeBefore": timing.viewAge.String(), "ViewAge": f.viewAge().String(), "Unread": f.hasUnread,
			"SinceTick": now.Sub(f.node.pauses.lastTick).String(), "Error": errorText(err),
		}
	})
}
