package jujubenode

import (
	"time"

	"jujubepier.example/core/services/jujubeview"
)

// Feed is a keyed topic of the platform that operators or endpoints write to.
type Feed struct {
	Topic Topic
	// Apply applies one record; a record without a value removes its key.
	Apply func(now time.Time, record Record)
	// Reset applies a complete snapshot. It is called once before any Apply, and again if records expired before they
	// were read.
	Reset func(now time.Time, records []Record)
	// HasEndpoints is true for the topic that holds the endpoints' registry entries.
	HasEndpoints bool
	// HasDesired is true for the topic that holds the desired state. It is read urgently, and requests are answered from it only
	// while its age is known.
	HasDesired bool
	// Redact returns a record without secrets, in which form it is passed to other instances; nil if records have none.
	Redact func(record Record) Record
}

// Follow adds a topic of the platform. It must be called before Run.
func (n *Node) Follow(feed Feed) {
	f := n.addFollower(feed.Topic, 0, func(now time.Time, _ int64, record Record) { feed.Apply(now, record) })
	f.reset, f.redact = feed.Reset, feed.Redact
	if feed.HasDesired {
		f.urgent, n.desiredFollower = true, f
		f.gate = jujubeview.Gate{Bound: n.settings.DesiredTime}
		f.onCaughtUp = n.scheduler.SetDesiredRead
	}
	if feed.HasEndpoints {
		n.endpointFollower = f
		f.gate = jujubeview.Gate{Bound: n.settings.EndpointLeaveTime}
		f.onCaughtUp = func(readAt time.Time) {
			n.endpoints.RecordRead(readAt)
			n.scheduler.SetRegistryRead(readAt)
		}
	}
}

func (n *Node) addFollower(topic Topic, part int, apply func(time.Time, int64, Record)) *follower {
	f := &follower{node: n, topic: topic, part: part, apply: apply, readCh: make(chan struct{}), snapshotSlot: make(chan struct{}, 1)}
	n.followers = append(n.followers, f)
	return f
}

// redacted returns records of a topic in the form in which they are passed to other instances.
func (n *Node) redacted(topic Topic, records []Record) []Record {
	f := n.followerOf(topic, 0)
	if f == nil || f.redact == nil {
		return records
	}
	copies := make([]Record, len(records))
	for i, record := range records {
		copies[i] = f.redact(record)
	}
	return copies
}
