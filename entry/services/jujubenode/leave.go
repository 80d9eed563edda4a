package jujubenode

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"jujubepier.example/core/modules/jujubeevent"
	"jujubepier.example/core/services/jujubebatch"
	"jujubepier.example/core/services/jujuberegistry"
)

const (
	// exitMargin is left of the drain time when the process ends, for closing what is open.
	exitMargin = 900 * time.Millisecond
	// closeTime is for the answers that are being written when no more requests are taken.
	closeTime = 400 * time.Millisecond
	// handOverTime is the part before that in which progress is written for the instances that take over.
	handOverTime = 700 * time.Millisecond
)

// leave ends this instance's part in the work: callers are told other addresses at once, and it serves those that have
// its address until the drain time is nearly over. Items that still run go on elsewhere from what is written.
func (n *Node) leave() {
	n.mu.Lock()
	began := time.Now()
	n.state, n.lastBeat = jujuberegistry.Leaving, time.Time{}
	n.leaveAt = began.Add(n.settings.DrainTime - exitMargin)
	runs := n.batches.Runs()
	n.mu.Unlock()
	n.log.Write(jujubeevent.InstanceLeaving, func() logrus.Fields {
		return logrus.Fields{"Instance": n.identity.Instance, "Until": n.leaveAt.Format(time.RFC3339Nano), "Runs": runs}
	})
	background := n.tomb.Context(nil)
	sleep(background, time.Until(n.leaveAt)-handOverTime)
	n.mu.Lock()
	n.batches.Drain()
	n.do(n.batches.Checkpoint(time.Now()))
	n.mu.Unlock()
	sleep(background, time.Until(n.leaveAt)-handOverTime/2)
	if n.stopServing != nil {
		closing, cancel := context.WithTimeout(background, closeTime)
		n.stopServing(closing)
		cancel()
	}
	var unwritten []jujubebatch.Entry
	for _, p := range n.partitions {
		unwritten = append(unwritten, p.takeUnwritten()...)
	}
	var handedOver []jujubebatch.Entry
	if len(unwritten) > 0 {
		handedOver = n.handOver(background, unwritten)
	}
	ctx, cancel := context.WithTimeout(background, handOverTime/2)
	defer cancel()
	if err := n.putRow(ctx, nil); err != nil {
		n.log.Write(jujubeevent.BeatFailed, func() logrus.Fields {
			return logrus.Fields{"Number": n.beatNumber, "Error": err.Error()}
		})
		n.tellPeers(background, "Relay.Left", LeftArgs{Instance: n.identity.Instance, HandedOver: handedOver})
	}
}

// leavesSoon tells whether too little of the drain time is left to accept lasting work.
func (n *Node) leavesSoon() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.leaveAt.IsZero() && time.Until(n.leaveAt) < 2*handOverTime
}

// IsLeaving tells whether the instance has begun to leave, so that connections are closed after their next answer.
func (n *Node) IsLeaving() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.leaveAt.IsZero()
}
