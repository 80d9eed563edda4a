package jujubenode

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"jujubepier.example/core/modules/jujubeevent"
)

// desiredCopyInterval is the time between two requests of an instance without a desired state to the others.
const desiredCopyInterval = 300 * time.Millisecond

// DesiredArgs request the record of the desired state in force.
type DesiredArgs struct {
	// Next is the offset up to which the asking instance has read the topic.
	Next int64
}

// DesiredReply holds that record, redacted; Known is false if the instance has none or is behind the asking one.
type DesiredReply struct {
	Known  bool
	Record Record
}

// KeepDesired keeps the record of the desired state in force, redacted, for instances that start while the newest record is unusable. It
// is called from a feed, with the node's lock held.
func (n *Node) KeepDesired(record Record) {
	if redact := n.desiredFollower.redact; redact != nil {
		record = redact(record)
	}
	n.desiredRecord = record
}

// Desired returns the record of the desired state in force. An instance that is behind may have an older one than that.
func (r *Relay) Desired(args DesiredArgs, reply *DesiredReply) error {
	n := r.node
	n.mu.Lock()
	defer n.mu.Unlock()
	f := n.desiredFollower
	if f == nil || n.desired == nil || len(n.desiredRecord.Value) == 0 || f.next < args.Next {
		return nil
	}
	reply.Known, reply.Record = true, n.desiredRecord
	return nil
}

// copyDesired gets the desired state from another instance if this one finds only an unusable record of it: the one before is in force,
// but the store may not have its record any more. It returns once there is a desired state.
func (n *Node) copyDesired(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, desiredCopyInterval)
		n.mu.Lock()
		f := n.desiredFollower
		isKnown := f == nil || n.desired != nil
		isRead := f != nil && !f.caughtUpAt.IsZero()
		n.mu.Unlock()
		switch {
		case isKnown:
			return nil
		case isRead:
			n.askForDesired(ctx, f)
		}
	}
	return nil
}

// askForDesired asks the other instances one after the other, until one of them knows the desired state.
func (n *Node) askForDesired(ctx context.Context, f *follower) {
	addresses := n.peerAddresses()
	for _, id := range slices.Sorted(maps.Keys(addresses)) {
		n.mu.Lock()
		args := DesiredArgs{Next: f.next}
		n.mu.Unlock()
		callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
		var reply DesiredReply
		err := n.store.pool.Call(callCtx, addresses[id], "Relay.Desired", args, &reply)
		cancel()
		if err != nil || !reply.Known {
			continue
		}
		n.mu.Lock()
		if n.desired == nil {
			f.apply(time.Now(), args.Next, reply.Record)
		}
		isKnown := n.desired != nil
		n.notifyChange()
		n.mu.Unlock()
		if isKnown {
			n.log.Write(jujubeevent.DesiredCopied, func() logrus.Fields {
				return logrus.Fields{"Peer": id, "Next": args.Next}
			})
			return
		}
	}
}
