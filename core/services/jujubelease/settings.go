// Package jujubelease implements a leader lease as a stream of records on the log. The offset of the accepted claim is the
// fencing token.
package jujubelease

import (
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

// Settings are the periods of a lease; zero fields take the value of DefaultSettings.
type Settings struct {
	TTL time.Duration
	// Margin is how much earlier than the log the holder considers the lease expired; it covers the clock drift within a TTL.
	Margin time.Duration
	// AppendTimeout is how long a record that was neither applied nor reported by HandleAppendFailure counts as outstanding.
	AppendTimeout time.Duration
	// Conditional is for a log that doesn't provide record times and appends a claim only at the offset up to which its
	// writer has read. Each claim on such a log is accepted, because its writer had read everything before it; writers claim
	// once they have seen no renewal for a TTL.
	Conditional bool
}

// DefaultSettings returns a lease of 15 s that is renewed every 5 s.
func DefaultSettings() Settings {
	return Settings{TTL: 15 * time.Second, Margin: time.Second, AppendTimeout: 5 * time.Second}
}

func (s Settings) withDefaults() Settings {
	d := DefaultSettings()
	if s.TTL == 0 {
		s.TTL = d.TTL
	}
	if s.Margin == 0 {
		s.Margin = s.TTL / 15
	}
	if s.AppendTimeout == 0 {
		s.AppendTimeout = s.TTL / 3
	}
	return s
}

// State is the lease as one instance sees it.
type State struct {
	// Holder and Incarnation are those of the last accepted claim; empty after a release.
	Holder      model.InstanceID
	Incarnation model.Incarnation
	// Fence is the offset of the last accepted claim; -1 before the first.
	Fence int64
	// Held is true while this instance is certain to hold the lease.
	Held bool
	// Expires is the local time until which Held stays true without a renewal; zero when this instance isn't the holder.
	Expires time.Time
	// Degraded is true when this instance held the lease as the log became unavailable to it. Others may have claimed it since,
	// unless all of them have promised not to (see LeadsWithoutLog).
	Degraded bool
}
