package jujubenode

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"jujubepier.example/core/modules/jujubeevent"
	"jujubepier.example/core/services/jujuberegistry"
)

const (
	// DefaultDirectReaders is up to how many instances all read the log themselves. 64 instances with ten endpoints each
	// read 12 MB a second of heartbeats, a sixth of what the store gives.
	DefaultDirectReaders = 64
	// maxRecentBytes bounds the records that a source keeps of each partition: those of two seconds at 3,000 endpoints. Who is
	// further behind reads from the store.
	maxRecentBytes = 2 << 20
	// avoidSource is how long an instance reads the log itself after its source gave no answer, about half of the time until
	// one that is gone is known to be.
	avoidSource = 1500 * time.Millisecond
)

// logSource is the instance whose reading of the log this one shares; guarded by the node's lock.
type logSource struct {
	// address is empty when this instance reads the log itself.
	address    string
	avoidUntil time.Time
}

// setSource finds the source among the live instances; the lock is held.
func (n *Node) setSource() {
	var found jujuberegistry.Beat
	if len(n.live) > n.settings.DirectReaders {
		found, _ = jujuberegistry.Source(n.live, n.identity.Instance)
	}
	if found.PeerAddress == n.source.address {
		return
	}
	n.source = logSource{address: found.PeerAddress}
	n.log.Write(jujubeevent.SourceChanged, func() logrus.Fields {
		return logrus.Fields{"Source": found.Instance, "Live": len(n.live)}
	})
}

// readNext reads the records that follow, from the source if this instance has one that is as far, or from the store.
func (f *follower) readNext(ctx context.Context) error {
	n := f.node
	n.mu.Lock()
	address, from := n.source.address, f.next
	if time.Now().Before(n.source.avoidUntil) || f.caughtUp.IsZero() {
		address = ""
	}
	n.mu.Unlock()
	if address != "" {
		if reply, ok := f.askSource(ctx, address, from); ok {
			f.take(from, LogBatch{Records: reply.Records, End: reply.End}, reply.Age)
			return nil
		}
	}
	return f.readOnce(ctx, f.wait())
}

// askSource asks a source for records. ok is false when it has none to give, as it isn't as far or can't read itself.
func (f *follower) askSource(ctx context.Context, address string, from int64) (SharedReply, bool) {
	call, cancel := context.WithTimeout(ctx, readWait+peerTimeout)
	defer cancel()
	var reply SharedReply
	args := SharedArgs{Topic: f.topic, Part: f.part, From: from, Wait: f.wait()}
	err := f.node.store.pool.Call(call, address, "Relay.Shared", args, &reply)
	if err == nil {
		return reply, reply.Known
	}
	f.node.mu.Lock()
	f.node.source.avoidUntil = time.Now().Add(avoidSource)
	f.node.mu.Unlock()
	f.node.log.Write(jujubeevent.SourceSilent, func() logrus.Fields {
		return logrus.Fields{"Address": address, "Topic": f.topic.Name, "Partition": f.part, "Error": err.Error()}
	})
	return reply, false
}

// SharedArgs ask an instance for records that it has read lately.
type SharedArgs struct {
	Topic Topic
	Part  int
	From  int64
	// Wait is how long to wait when there are none.
	Wait time.Duration
}

// SharedReply holds the records from an offset on.
type SharedReply struct {
	// Known is false when the instance doesn't have them, or doesn't know that there are none.
	Known   bool
	Records []Record
	// End is the offset behind the last one that the instance has read, and Age how long ago that was the partition's end.
	End int64
	Age time.Duration
}

// Shared gives records to an instance that shares this one's reading.
func (r *Relay) Shared(args SharedArgs, reply *SharedReply) error {
	f := r.node.followerOf(args.Topic, args.Part)
	if f == nil {
		return nil
	}
	timer := time.NewTimer(args.Wait)
	defer timer.Stop()
	for waits := true; ; {
		r.node.mu.Lock()
		now := time.Now()
		records, known := f.recentFrom(args.From)
		reply.Known = known && f.failing.IsZero() && f.isFresh(now)
		reply.Records, reply.End, reply.Age = records, f.next, now.Sub(f.caughtUp)
		changed := r.node.changed
		r.node.mu.Unlock()
		if !reply.Known || len(records) > 0 || !waits {
			return nil
		}
		select {
		case <-r.ctx.Done():
			return nil
		case <-timer.C:
			waits = false
		case <-changed:
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

// keepRecent keeps a record for those that share this instance's reading; the lock is held.
func (f *follower) keepRecent(record Record) {
	if len(f.node.live) <= f.node.settings.DirectReaders || f.node.source.address != "" {
		f.dropRecent()
		return
	}
	f.recent = append(f.recent, record)
	f.recentBytes += len(record.Key) + len(record.Value)
	first := 0
	for ; f.recentBytes > maxRecentBytes; first++ {
		f.recentBytes -= len(f.recent[first].Key) + len(f.recent[first].Value)
	}
	f.recent = f.recent[first:]
}

// dropRecent forgets the kept records, as the next one doesn't follow them; the lock is held.
func (f *follower) dropRecent() { f.recent, f.recentBytes = nil, 0 }

// recentFrom returns the kept records from an offset on, none for one that hasn't been read yet; known is false when some of
// them aren't kept. The lock is held.
func (f *follower) recentFrom(offset int64) (records []Record, known bool) {
	missing := max(0, f.next-offset)
	if missing > int64(len(f.recent)) {
		return nil, false
	}
	return f.recent[int64(len(f.recent))-missing:], true
}

// readers is how many instances read the log from the store; the lock is held. A few more do so in small data centres and
// while sources change.
func (n *Node) readers() int {
	return max(1, min(len(n.live), max(n.settings.DirectReaders, len(n.live)/jujuberegistry.SourceGroup)))
}
