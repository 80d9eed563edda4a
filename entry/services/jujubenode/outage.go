package jujubenode

import (
	"context"
	"slices"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujuberegistry"
)

const (
	// promiseInterval is the time between two requests for promises not to claim the lease, which last 0.7 s.
	promiseInterval = 250 * time.Millisecond
	// promiseTimeout bounds one request.
	promiseTimeout = 200 * time.Millisecond
	// claimantWindow is how recently before the last read of the log an instance must have written a heartbeat to count as one that
	// may claim the lease, also if it is considered gone. It covers outages of single instances, after which they may return.
	claimantWindow = 15 * time.Second
)

// leadsWithoutLog reports whether this instance still holds the lease although it can't reach the log: all other instances that may
// claim it have promised not to. Those that are cut off together can't know whether others have claimed it. The lock is held.
func (n *Node) leadsWithoutLog(now time.Time) bool {
	if !n.lease.State(now).Degraded {
		return false
	}
	addresses := n.claimants()
	others := make([]model.InstanceID, 0, len(addresses))
	for id := range addresses {
		others = append(others, id)
	}
	return n.lease.LeadsWithoutLog(now, others)
}

// claimants returns the peer addresses of the other instances that may claim the lease; the lock is held.
func (n *Node) claimants() map[model.InstanceID]string {
	addresses := make(map[model.InstanceID]string)
	for _, heartbeat := range n.registry.Recent(claimantWindow) {
		if heartbeat.Instance != n.identity.Instance {
			addresses[heartbeat.Instance] = heartbeat.PeerAddress
		}
	}
	return addresses
}

// knowsMembers reports whether the claimants are known: while not even this instance's own heartbeats are read back, those of others may
// be missing as well. The lock is held.
func (n *Node) knowsMembers() bool {
	return slices.ContainsFunc(n.registry.Recent(claimantWindow), func(h jujuberegistry.Heartbeat) bool {
		return h.Instance == n.identity.Instance
	})
}

// PromiseArgs ask for the promise not to claim the lease while its holder can't reach the log.
type PromiseArgs struct {
	Holder       model.InstanceID
	FencingToken int64
}

// PromiseReply is whether the promise is given.
type PromiseReply struct {
	Promised bool
}

// PromiseNoClaim promises the holder of the lease not to claim it for a while.
func (r *Relay) PromiseNoClaim(args PromiseArgs, reply *PromiseReply) error {
	r.node.mu.Lock()
	defer r.node.mu.Unlock()
	reply.Promised = r.node.lease.Promise(time.Now(), args.Holder, args.FencingToken)
	return nil
}

// askForPromises asks all other instances for their promise, if it is time to.
func (n *Node) askForPromises(ctx context.Context, fencingToken int64) {
	n.mu.Lock()
	now := time.Now()
	addresses := n.claimants()
	isDue := now.Sub(n.promisesRequestedAt) >= promiseInterval
	if isDue {
		n.promisesRequestedAt = now
	}
	n.mu.Unlock()
	if !isDue {
		return
	}
	args := PromiseArgs{Holder: n.identity.Instance, FencingToken: fencingToken}
	for id, address := range addresses {
		n.tomb.Go(func() error {
			callCtx, cancel := context.WithTimeout(ctx, promiseTimeout)
			defer cancel()
			var reply PromiseReply
			// Without a response there is no promise.
			if err := n.store.pool.Call(callCtx, address, "Relay.PromiseNoClaim", args, &reply); err != nil || !reply.Promised {
				return nil
			}
			n.mu.Lock()
			defer n.mu.Unlock()
			n.lease.RecordPromise(now, id)
			return nil
		})
	}
}
