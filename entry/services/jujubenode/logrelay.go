package jujubenode

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"jujubepier.example/core/modules/jujubeclock"
	"jujubepier.example/core/modules/jujubeevent"
	"jujubepier.example/core/services/jujuberegistry"
)

const (
	// DefaultDirectReaders is the number of instances up to which all of them read the log from the store. 64 instances
	// with ten endpoints each read 12 MB of heartbeats a second, a sixth of the store's read rate.
	DefaultDirectReaders = 64
	// maxRecentBytes bounds the records of each partition that a relay keeps: two seconds' worth with 3,000 endpoints.
	// Instances that are further behind read from the store.
	maxRecentBytes = 2 << 20
	// maxOwnRecentBytes bounds those that other instances keep of the partitions whose age counts. In an outage of the store, instances
	// that have read up to different offsets equalise them.
	maxOwnRecentBytes = 128 << 10
	// relayRetryDelay is how long an instance reads from the store after its relay didn't respond, about half of the
	// time until a dead instance is detected.
	relayRetryDelay = 1500 * time.Millisecond
)

// logRelay is the instance that reads the log for this one; guarded by the node's lock.
type logRelay struct {
	// address is empty while this instance reads from the store.
	address    string
	avoidUntil time.Time
}

// updateRelay selects the relay among the live instances; the lock is held.
func (n *Node) updateRelay() {
	var relay jujuberegistry.Heartbeat
	if len(n.liveInstances) > n.settings.DirectReaders {
		relay, _ = jujuberegistry.RelayOf(n.liveInstances, n.identity.Instance)
	}
	if relay.PeerAddress == n.relay.address {
		return
	}
	n.relay = logRelay{address: relay.PeerAddress}
	n.log.Write(jujubeevent.SourceChanged, func() logrus.Fields {
		return logrus.Fields{"Source": relay.Instance, "Live": len(n.liveInstances)}
	})
}

// readNext reads the next records, from the relay if there is one that has them, or from the store.
func (f *follower) readNext(ctx context.Context) error {
	n := f.node
	n.mu.Lock()
	address, from := n.relay.address, f.next
	if time.Now().Before(n.relay.avoidUntil) || f.caughtUpAt.IsZero() {
		address = ""
	}
	n.mu.Unlock()
	if address != "" {
		askedAt := newReadTime(n.bootClock)
		if reply, ok := f.readFromRelay(ctx, address, from); ok {
			readAt := readTime{at: askedAt.at.Add(-reply.Ages.RequestAge), ReadTime: jujubeclock.Relayed(askedAt.RequestedAt, reply.Ages)}
			f.applyBatch(from, LogBatch{Records: reply.Records, End: reply.End}, readAt)
			return nil
		}
	}
	return f.readOnce(ctx, f.nextWait())
}

// readFromRelay requests records from the relay. It returns false if the call fails, if the relay doesn't keep the records
// from that offset on, or if it hasn't read the log up to its end recently.
func (f *follower) readFromRelay(ctx context.Context, address string, from int64) (SharedReply, bool) {
	callCtx, cancel := context.WithTimeout(ctx, readWait+peerTimeout)
	defer cancel()
	var reply SharedReply
	args := SharedArgs{Topic: f.topic, Part: f.part, From: from, Wait: f.nextWait()}
	err := f.node.store.pool.Call(callCtx, address, "Relay.Shared", args, &reply)
	if err == nil {
		if !reply.HasAges {
			// A relay of an earlier build measures the age with a clock that stops while its machine is suspended.
			reply.Ages = jujubeclock.ReadAges{RequestAge: reply.Age, ReadAge: reply.Age}
		}
		return reply, reply.Known && (reply.HasAges || !f.urgent)
	}
	f.node.mu.Lock()
	f.node.relay.avoidUntil = time.Now().Add(relayRetryDelay)
	f.node.mu.Unlock()
	f.node.log.Write(jujubeevent.SourceSilent, func() logrus.Fields {
		return logrus.Fields{"Address": address, "Topic": f.topic.Name, "Partition": f.part, "Error": err.Error()}
	})
	return reply, false
}

// SharedArgs request records that another instance has read recently.
type SharedArgs struct {
	Topic Topic
	Part  int
	From  int64
	// Wait is how long to wait if there are none.
	Wait time.Duration
}

// SharedReply holds the records from an offset on.
type SharedReply struct {
	// Known is false if the instance doesn't keep the records from the offset on, or hasn't read the partition up to
	// its end recently.
	Known   bool
	Records []Record
	// End is the offset after the last record that the instance has read, and Age the time since that was the end of
	// the partition.
	End int64
	Age time.Duration
	// Ages are those of the relay's view when the request arrived there, by its boot clock. Earlier builds don't set them, nor HasAges.
	HasAges bool
	Ages    jujubeclock.ReadAges
}

// Shared returns recently read records to an instance that uses this one as its relay.
func (r *Relay) Shared(args SharedArgs, reply *SharedReply) error {
	f := r.node.followerOf(args.Topic, args.Part)
	if f == nil {
		return nil
	}
	arrived := r.node.bootClock()
	timer := time.NewTimer(args.Wait)
	defer timer.Stop()
	for mayWait := true; ; {
		r.node.mu.Lock()
		now := time.Now()
		records, known := f.recentFrom(args.From)
		reply.Known = known && f.failingSince.IsZero() && f.wasReadRecently()
		reply.Records, reply.End, reply.Age = records, f.next, now.Sub(f.caughtUpAt)
		reply.HasAges, reply.Ages = true, f.viewTime.Ages(arrived)
		changedCh := r.node.stateChangedCh
		r.node.mu.Unlock()
		if !reply.Known || len(records) > 0 || !mayWait {
			return nil
		}
		select {
		case <-r.ctx.Done():
			return nil
		case <-timer.C:
			mayWait = false
		case <-changedCh:
		}
	}
}

func (n *Node) followerOf(topic Topic, part int) *follower {
	for _, f := range n.followers {
		if f.topic == topic && f.part == part {
			return f
		}
	}
	return nil
}

// recentLimit returns the greatest size of the records to keep: many for the instances that use this one as their relay.
func (f *follower) recentLimit() int {
	switch {
	case len(f.node.liveInstances) > f.node.settings.DirectReaders && f.node.relay.address == "":
		return maxRecentBytes
	case f.gate.Bound > 0:
		return maxOwnRecentBytes
	}
	return 0
}

// keepRecent keeps the record for other instances; the lock is held.
func (f *follower) keepRecent(record Record) {
	limit := f.recentLimit()
	if limit == 0 {
		f.dropRecent()
		return
	}
	if f.redact != nil {
		record = f.redact(record)
	}
	f.recent = append(f.recent, record)
	f.recentBytes += len(record.Key) + len(record.Value)
	first := 0
	for ; f.recentBytes > limit; first++ {
		f.recentBytes -= len(f.recent[first].Key) + len(f.recent[first].Value)
	}
	f.recent = f.recent[first:]
}

// dropRecent discards the kept records, because the next record isn't consecutive with them; the lock is held.
func (f *follower) dropRecent() { f.recent, f.recentBytes = nil, 0 }

// recentFrom returns the kept records from an offset on, and none if that offset hasn't been read yet; known is false
// if some of the records aren't kept. The lock is held.
func (f *follower) recentFrom(offset int64) (records []Record, known bool) {
	missing := max(0, f.next-offset)
	if missing > int64(len(f.recent)) {
		return nil, false
	}
	return f.recent[int64(len(f.recent))-missing:], true
}

// directReaders estimates how many instances read the log from the store; the lock is held. A few more do so in small
// data centres and while relays change.
func (n *Node) directReaders() int {
	return max(1, min(len(n.liveInstances), max(n.settings.DirectReaders, len(n.liveInstances)/jujuberegistry.RelayGroupSize)))
}
