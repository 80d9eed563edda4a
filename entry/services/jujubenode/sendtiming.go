package jujubenode

import (
	"time"

	"github.com/sirupsen/logrus"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeevent"
	"jujubepier.example/core/services/jujubebatch"
)

const (
	// slowDelay is how long a read may take beyond its wait, and a run until it is sent, without a line in the log.
	slowDelay = time.Second
	// oldViewAge is the age of a view from which on a run is logged when it is sent. With a relay, views are over a second old at times.
	oldViewAge = 2 * time.Second
)

// workKind is what is sent for an item.
type workKind string

const (
	workRun     workKind = "Run"
	workScoring workKind = "Scoring"
)

// sentWork is a run or scoring call that is about to be sent.
type sentWork struct {
	Kind       workKind
	Submission jujubebatch.SubmissionID
	Item       jujubebatch.ItemID
	Run        jujubebatch.RunID
	// Endpoint is empty for a scoring call, for which the router chooses one.
	Endpoint  model.EndpointID
	decidedAt time.Time
}

// recordSendCheck records the verdict on sending a run or scoring call, and the ages of the views on which it rests.
func (n *Node) recordSendCheck(work sentWork, check startCheck) {
	n.metrics.countSendCheck(work.Kind, check)
	n.log.Write(jujubeevent.SendChecked, func() logrus.Fields {
		return logrus.Fields{
			"Kind": work.Kind, "Submission": work.Submission, "Item": work.Item, "Run": work.Run, "Endpoint": work.Endpoint,
			"Verdict": check.Verdict, "Valid": check.Valid.String(), "SubmissionAge": check.Ages[0].String(),
			"EndpointsAge": check.Ages[1].String(), "DesiredAge": check.Ages[2].String(), "Waited": time.Since(work.decidedAt).String(),
		}
	})
}

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
