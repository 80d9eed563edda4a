// Package jujubemember keeps the membership of the entry instances and spreads rumours among them.
package jujubemember

import (
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubedefault"
)

// Settings are the periods and bounds of the protocol; zero fields take the value of DefaultSettings.
type Settings struct {
	ProbeInterval time.Duration
	// ProbeTimeout is when a direct probe without an answer is repeated through other members.
	ProbeTimeout time.Duration
	// IndirectTimeout is how long the indirect probes may take; their answers travel four one-way trips and two ticks.
	IndirectTimeout time.Duration
	IndirectPeers   int
	SuspectFor      time.Duration
	// DeadProbeInterval is how often one dead member is probed, so that the halves of a healed partition find each other.
	DeadProbeInterval time.Duration
	// ForgetDeadAfter is longer than the hour that a partition between regions may last.
	ForgetDeadAfter time.Duration
	// Fanout is the number of peers that a new rumour is sent to, in each of Forwards consecutive ticks.
	Fanout   int
	Forwards int
	// MemberBurst and MemberRate (bytes, bytes per second) bound the forwarding of member rumours when many members change
	// at once; anti-entropy delivers those that are not forwarded.
	MemberBurst int
	MemberRate  int
	MaxMessage  int
	MaxPayload  int
	MaxRumours  int
	// Expiry is how long a rumour of a kind is valid after its receipt; kinds without an entry don't expire.
	Expiry map[model.RumourKind]time.Duration
}

// DefaultSettings returns the settings of the target size.
func DefaultSettings() Settings {
	return Settings{
		ProbeInterval:     time.Second,
		ProbeTimeout:      500 * time.Millisecond,
		IndirectTimeout:   time.Second,
		IndirectPeers:     3,
		SuspectFor:        5 * time.Second,
		DeadProbeInterval: 5 * time.Second,
		ForgetDeadAfter:   2 * time.Hour,
		Fanout:            4,
		Forwards:          2,
		MemberBurst:       32 << 10,
		MemberRate:        2 << 10,
		MaxMessage:        8 << 10,
		MaxPayload:        1 << 10,
		MaxRumours:        8192,
		Expiry: map[model.RumourKind]time.Duration{
			model.RumourEndpointLeaving: time.Hour,
			model.RumourStepAttempt:     10 * time.Minute,
			model.RumourSuspect:         time.Hour,
			model.RumourQuarantine:      24 * time.Hour,
			model.RumourSuccessor:       20 * time.Minute,
		},
	}
}

func (s Settings) withDefaults() Settings {
	d := DefaultSettings()
	jujubedefault.Set(&s.ProbeInterval, d.ProbeInterval)
	jujubedefault.Set(&s.ProbeTimeout, d.ProbeTimeout)
	jujubedefault.Set(&s.IndirectTimeout, d.IndirectTimeout)
	jujubedefault.Set(&s.IndirectPeers, d.IndirectPeers)
	jujubedefault.Set(&s.SuspectFor, d.SuspectFor)
	jujubedefault.Set(&s.DeadProbeInterval, d.DeadProbeInterval)
	jujubedefault.Set(&s.ForgetDeadAfter, d.ForgetDeadAfter)
	jujubedefault.Set(&s.Fanout, d.Fanout)
	jujubedefault.Set(&s.Forwards, d.Forwards)
	jujubedefault.Set(&s.MemberBurst, d.MemberBurst)
	jujubedefault.Set(&s.MemberRate, d.MemberRate)
	jujubedefault.Set(&s.MaxMessage, d.MaxMessage)
	jujubedefault.Set(&s.MaxPayload, d.MaxPayload)
	jujubedefault.Set(&s.MaxRumours, d.MaxRumours)
	if s.Expiry == nil {
		s.Expiry = d.Expiry
	}
	return s
}

// Send is a message for the adapter to deliver. It passes the answer to Receive and reports a failure with Failed.
type Send struct {
	To      model.InstanceID
	Address string
	Message model.PeerMessage
}

// Stats counts what an instance has sent, answers included.
type Stats struct {
	Messages int64
	// Bytes is EstimateSize of the messages plus MessageOverhead for each.
	Bytes    int64
	Received int64
	// Refused counts rumours that were too large or found the table full.
	Refused int64
}

// MessageOverhead is the approximate size of the net/rpc header and of the TCP and IP headers of one message.
const MessageOverhead = 80

// Approximate gob sizes of the parts of a message on an established connection.
const (
	messageSize = 36
	rumourSize  = 20
	versionSize = 18
)

// maxKey bounds the key of a rumour, as MaxPayload bounds its payload.
const maxKey = 256

// EstimateSize approximates the gob length of a message without encoding it.
func EstimateSize(message model.PeerMessage) int {
	size := messageSize + len(message.From) + len(message.Target) + versionSize*len(message.Versions)
	for _, rumour := range message.Rumours {
		size += estimateRumour(rumour)
	}
	return size
}

func estimateRumour(rumour model.Rumour) int {
	return rumourSize + len(rumour.Kind) + len(rumour.Key) + len(rumour.Payload)
}
