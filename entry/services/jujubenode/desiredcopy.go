package jujubenode

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"jujubepier.example/core/modules/jujubeevent"
)

// desiredCopyInterval is the time between two requests of an instance without a certain desired state to the others.
const desiredCopyInterval = 300 * time.Millisecond

// DesiredArgs request the record of the desired state in force.
type DesiredArgs struct {
	// Next is the offset up to which the asking instance has read the topic.
	Next int64
}

// DesiredReply holds that record, redacted; Known is false if the instance has none, may have missed one, or is behind the
// asking one.
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
	if f == nil || !n.isDesiredCertain() || len(n.desiredRecord.Value) == 0 || f.next < args.Next {
		return nil
	}
	reply.Known, reply.Record = true, n.desiredRecord
	return nil
}

// copyDesired gets the desired state from another instance if this one finds only an unusable record of it: the one before is in force,
// but the store may not have its record any more. This happens to an instance that starts, and to one that was cut off until the records
// had expired.
func (n *Node) copyDesired(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, desiredCopyInterval)
		n.mu.Lock()
		f := n.desiredFollower
		isCertain := n.isDesiredCertain()
		isRead := f != nil && !f.caughtUpAt.IsZero()
		n.mu.Unlock()
		if f == nil {
			return nil
		}
		if isRead && !isCertain {
			n.askForDesired(ctx, f)
		}
	}
	return nil
}

// askForDesired asks the other instances one after the other, until one of them has shown which desired state is in force.
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
		if !n.isDesiredCertain() {
			n.applyCopy(args.Next, func() { f.apply(time.Now(), args.Next, reply.Record) })
		}
		isCertain := n.isDesiredCertain()
		n.notifyChange()
		n.mu.Unlock()
		if isCertain {
			n.log.Write(jujubeevent.DesiredCopied, func() logrus.Fields {
				return logrus.Fields{"Peer": id, "Next": args.Next}
			})
			return
		}
	}
}
