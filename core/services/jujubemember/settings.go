// Package jujubemember tracks the membership of the entry instances and gossips updates among them.
package jujubemember

import (
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubedefault"
)

// Settings holds the intervals and limits of the gossip protocol. Zero fields take the value of DefaultSettings.
type Settings struct {
	ProbeInterval time.Duration
	// ProbeTimeout is how long a direct probe may stay unanswered before other members are asked to probe the target.
	ProbeTimeout time.Duration
	// IndirectTimeout is how long the indirect probes may take. An indirect probe needs four one-way trips and two ticks.
	IndirectTimeout time.Duration
	// IndirectPeers is the number of members that are asked to probe a target.
	IndirectPeers int
	// SuspicionTimeout is how long a member stays suspected before it is declared dead.
	SuspicionTimeout time.Duration
	// DeadProbeInterval is how often one dead member is probed, so that the halves of a healed partition merge.
	DeadProbeInterval time.Duration
	// ForgetDeadAfter is how long a dead member is remembered. It exceeds the hour that a partition between regions may
	// last.
	ForgetDeadAfter time.Duration
	// Fanout is the number of peers to which a new update is sent, in each of ForwardTicks consecutive ticks.
	Fanout       int
	ForwardTicks int
	// MemberBurst and MemberRate (bytes, bytes per second) limit the forwarding of member updates when many members change
	// at once. Anti-entropy delivers those that are not forwarded.
	MemberBurst int
	MemberRate  int
	// MaxMessage is the limit of a message's estimated size in bytes.
	MaxMessage int
	// MaxPayload is the limit of an update's payload in bytes.
	MaxPayload int
	// MaxUpdates is the limit of the number of updates in the table.
	MaxUpdates int
	// Expiry is how long an update of a kind is valid after its receipt. Kinds without an entry don't expire.
	Expiry map[model.GossipKind]time.Duration
}

// DefaultSettings returns the settings for deployments of the target size.
func DefaultSettings() Settings {
	return Settings{
		ProbeInterval:     time.Second,
		ProbeTimeout:      500 * time.Millisecond,
		IndirectTimeout:   time.Second,
		IndirectPeers:     3,
		SuspicionTimeout:  5 * time.Second,
		DeadProbeInterval: 5 * time.Second,
		ForgetDeadAfter:   2 * time.Hour,
		Fanout:            4,
		ForwardTicks:      2,
		MemberBurst:       32 << 10,
		MemberRate:        2 << 10,
		MaxMessage:        8 << 10,
		MaxPayload:        1 << 10,
		MaxUpdates:        8192,
		Expiry: map[model.GossipKind]time.Duration{
			model.GossipEndpointLeaving: time.Hour,
			model.GossipStepAttempt:     10 * time.Minute,
			model.GossipSuspect:         time.Hour,
			model.GossipCompletion:      time.Hour,
			model.GossipQuarantine:      24 * time.Hour,
			model.GossipSuccessor:       20 * time.Minute,
		},
	}
}

func (s Settings) withDefaults() Settings {
	d := DefaultSettings()
	jujubedefault.Set(&s.ProbeInterval, d.ProbeInterval)
	jujubedefault.Set(&s.ProbeTimeout, d.ProbeTimeout)
	jujubedefault.Set(&s.IndirectTimeout, d.IndirectTimeout)
	jujubedefault.Set(&s.IndirectPeers, d.IndirectPeers)
	jujubedefault.Set(&s.SuspicionTimeout, d.SuspicionTimeout)
	jujubedefault.Set(&s.DeadProbeInterval, d.DeadProbeInterval)
	jujubedefault.Set(&s.ForgetDeadAfter, d.ForgetDeadAfter)
	jujubedefault.Set(&s.Fanout, d.Fanout)
	jujubedefault.Set(&s.ForwardTicks, d.ForwardTicks)
	jujubedefault.Set(&s.MemberBurst, d.MemberBurst)
	jujubedefault.Set(&s.MemberRate, d.MemberRate)
	jujubedefault.Set(&s.MaxMessage, d.MaxMessage)
	jujubedefault.Set(&s.MaxPayload, d.MaxPayload)
	jujubedefault.Set(&s.MaxUpdates, d.MaxUpdates)
	if s.Expiry == nil {
		s.Expiry = d.Expiry
	}
	return s
}

// Send is a message for the adapter to deliver. The adapter passes the reply to Receive and calls HandleSendFailure on a failure.
type Send struct {
	To      model.InstanceID
	Address string
	Message model.PeerMessage
}

// Stats holds counters of the messages that an instance has sent (replies included) and received.
type Stats struct {
	Messages int64
	// Bytes is the sum of EstimateSize and MessageOverhead over the sent messages.
	Bytes    int64
	Received int64
	// Refused counts updates that were invalid or too large, or that exceeded the capacity of the table.
	Refused int64
}

// MessageOverhead is the approximate total size of the net/rpc, TCP and IP headers of one message, in bytes.
const MessageOverhead = 80

// Approximate gob sizes of the parts of a message on an established connection, in bytes.
const (
	messageSize = 36
	updateSize  = 20
	versionSize = 18
)

// maxKeyLength limits the key of an update, as MaxPayload limits its payload.
const maxKeyLength = 256

// EstimateSize approximates the gob length of a message without encoding it.
func EstimateSize(message model.PeerMessage) int {
	size := messageSize + len(message.From) + len(message.Target) + versionSize*len(message.Versions)
	for _, update := range message.Rumours {
		size += estimateUpdate(update)
	}
	return size
}

func estimateUpdate(update model.Rumour) int {
	return updateSize + len(update.Kind) + len(update.Key) + len(update.Payload)
}
