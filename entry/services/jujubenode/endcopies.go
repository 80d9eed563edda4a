package jujubenode

import (
	"cmp"
	"context"
	"slices"
	"time"

	"jujubepier.example/core/services/jujubebatch"
	"jujubepier.example/core/services/jujuberegistry"
)

const (
	// endCopies is the number of other instances that get a copy of an end before it is acknowledged. A survey finds an end that one live
	// instance knows, so an acknowledged one is missed only if all of these are lost before any instance has read it.
	endCopies = 2
	// endCopyTimeout bounds the time for which an acknowledgement waits for copies.
	endCopyTimeout = 150 * time.Millisecond
)

// CopyEndsArgs are ends that the sender has appended.
type CopyEndsArgs struct {
	Ends []UnreadEnd
}

// CopyEnds records ends that another instance is about to acknowledge.
func (r *Relay) CopyEnds(args CopyEndsArgs, _ *Empty) error {
	r.node.mu.Lock()
	defer r.node.mu.Unlock()
	r.node.applyUnreadEnds(args.Ends)
	return nil
}

// applyUnreadEnds ends submissions whose ends other instances have appended; the lock is held.
func (n *Node) applyUnreadEnds(ends []UnreadEnd) {
	now := time.Now()
	for _, end := range ends {
		if end.Part < 0 || end.Part >= len(n.partitions) {
			continue
		}
		n.partitions[end.Part].recordUnreadEnd(end)
		n.scheduler.Apply(now, &jujubebatch.Entry{End: &jujubebatch.End{Submission: end.Submission}})
	}
	n.notifyChange()
}

// copyEnd sends an end that this instance has appended to some others, and waits a while for their replies.
func (n *Node) copyEnd(ctx context.Context, id jujubebatch.SubmissionID) {
	n.mu.Lock()
	p := n.partitionOf(id)
	args := CopyEndsArgs{Ends: slices.DeleteFunc(slices.Clone(p.unreadEnds), func(end UnreadEnd) bool { return end.Submission != id })}
	addresses := n.copyTargets()
	n.mu.Unlock()
	if len(args.Ends) == 0 {
		return // it has been read already
	}
	ctx, cancel := context.WithTimeout(ctx, endCopyTimeout)
	defer cancel()
	done := make(chan struct{}, len(addresses))
	for _, address := range addresses {
		go func() {
			_ = n.store.pool.Call(ctx, address, "Relay.CopyEnds", args, &Empty{}) // the log has the end in any case
			done <- struct{}{}
		}()
	}
	for range addresses {
		<-done
	}
}

// copyTargets returns the addresses of the instances that get copies: the next ones by name, those of other data centres first, as a data
// centre may be lost as a whole. The lock is held.
func (n *Node) copyTargets() []string {
	others := slices.DeleteFunc(slices.Clone(n.liveInstances), func(h jujuberegistry.Heartbeat) bool {
		return h.Instance == n.identity.Instance || h.PeerAddress == ""
	})
	rank := func(isFirst bool) int {
		if isFirst {
			return 0
		}
		return 1
	}
	slices.SortFunc(others, func(a, b jujuberegistry.Heartbeat) int {
		return cmp.Or(
			cmp.Compare(rank(a.DataCentre != n.identity.DataCentre), rank(b.DataCentre != n.identity.DataCentre)),
			cmp.Compare(rank(a.Instance > n.identity.Instance), rank(b.Instance > n.identity.Instance)),
			cmp.Compare(a.Instance, b.Instance),
		)
	})
	var addresses []string
	for _, heartbeat := range others[:min(endCopies, len(others))] {
		addresses = append(addresses, heartbeat.PeerAddress)
	}
	return addresses
}
