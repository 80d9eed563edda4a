// Package jujuberegistry tracks which instances of the service are alive, from the heartbeats that they write to the
// platform's log, and which endpoints have an entry in the platform's store.
package jujuberegistry

import (
	"cmp"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/models/jujubetable"
	"jujubepier.example/core/services/jujubethrottle"
	"jujubepier.example/core/services/jujubeusage"
)

// State is the state that an instance reports about itself.
type State string

// States of an instance, in the order in which it passes through them.
const (
	Starting State = "Starting"
	Ready    State = "Ready"
	// Leaving instances finish their work and receive no new work.
	Leaving State = "Leaving"
)

// Heartbeat is the heartbeat record that an instance writes to the log under its own name.
type Heartbeat struct {
	Instance    model.InstanceID
	Incarnation model.Incarnation
	DataCentre  model.DataCentre
	// CallerAddress and PeerAddress are host:port with an IP number.
	CallerAddress string
	PeerAddress   string
	State         State
	// CutOff is true while the instance reaches endpoints through others only.
	CutOff bool `json:",omitempty"`
	// Engines holds the known state of the engines whose gateway the instance is.
	Engines []model.EngineNote `json:",omitempty"`
	// Limits holds the rates of the endpoints whose gateway the instance is.
	Limits []jujubethrottle.Notice `json:",omitempty"`
	// BatchMemory is the memory in bytes that the instance has for accepted submissions; zero for no limit. Deferred are the ids of those
	// that are on the log and that it doesn't keep for lack of memory.
	BatchMemory int      `json:",omitempty"`
	Deferred    []string `json:",omitempty"`
	// Number increases with each heartbeat of an incarnation.
	Number int64
	// Usage holds the instance's counts of requests, and TimeOfDay its time of day when it wrote the heartbeat. Both are absent where
	// the reports of usage aren't a duty.
	Usage     *jujubeusage.Note `json:",omitempty"`
	TimeOfDay time.Time         `json:",omitzero"`
}

// Settings holds the periods of the registry.
type Settings struct {
	// TTL is the time without a heartbeat after which an instance is considered gone: 3 heartbeats of 800 ms and their
	// latency through the log.
	TTL time.Duration
	// Grace is the additional time after an outage of the log, during which no heartbeats could be written.
	Grace time.Duration
}

// DefaultSettings returns the periods for a heartbeat interval of 800 ms.
func DefaultSettings() Settings {
	return Settings{TTL: 2800 * time.Millisecond, Grace: 2 * time.Second}
}

// registration is the latest heartbeat of an instance.
type registration struct {
	heartbeat Heartbeat
	// receivedAt is when this instance received the heartbeat, by its own clock.
	receivedAt time.Time
}

// Registry holds the live instances. It is owned by one goroutine.
type Registry struct {
	settings      Settings
	registrations *jujubetable.Table[model.InstanceID, *registration]
	// lastRead is when the log was last read successfully; no instance expires while the log can't be read.
	lastRead time.Time
	// graceUntil is set when the log becomes available after an outage; no instance expires before it.
	graceUntil time.Time
	// isListed is true if nothing that Live depends on has been recorded since its latest call, and wasInGrace is whether that call
	// was before graceUntil.
	isListed, wasInGrace bool
}

// New returns an empty registry.
func New(settings Settings) *Registry {
	return &Registry{settings: settings, registrations: jujubetable.New[model.InstanceID, *registration]()}
}

// Apply stores a heartbeat. One with an older incarnation or number has no effect.
func (r *Registry) Apply(now time.Time, heartbeat Heartbeat) {
	r.isListed = false
	known, ok := r.registrations.Get(heartbeat.Instance)
	if !ok {
		r.registrations.Put(heartbeat.Instance, &registration{heartbeat: heartbeat, receivedAt: now})
		return
	}
	order := cmp.Or(cmp.Compare(heartbeat.Incarnation, known.heartbeat.Incarnation), cmp.Compare(heartbeat.Number, known.heartbeat.Number))
	if order > 0 {
		known.heartbeat, known.receivedAt = heartbeat, now
	}
}

// Remove removes an instance that has left.
func (r *Registry) Remove(id model.InstanceID) {
	r.isListed = false
	r.registrations.Delete(id)
}

// RecordRead records that the log was read up to its end. After an outage it starts the grace period.
func (r *Registry) RecordRead(now time.Time) {
	r.isListed = false
	if !r.lastRead.IsZero() && now.Sub(r.lastRead) > r.settings.TTL/2 {
		r.graceUntil = now.Add(r.settings.Grace)
	}
	r.lastRead = now
}

// Recent returns the latest heartbeats of the instances that wrote one in a time before the last read of the log and haven't left, also
// of those that count as gone.
func (r *Registry) Recent(window time.Duration) []Heartbeat {
	var recent []Heartbeat
	for _, registration := range r.registrations.All() {
		if r.lastRead.Sub(registration.receivedAt) < window {
			recent = append(recent, registration.heartbeat)
		}
	}
	return recent
}

// IsListed reports whether the latest result of Live is still that of a call now.
func (r *Registry) IsListed(now time.Time) bool {
	return r.isListed && r.wasInGrace == now.Before(r.graceUntil)
}

// Live returns the instances that are alive, sorted by name.
func (r *Registry) Live(now time.Time) []Heartbeat {
	r.isListed, r.wasInGrace = true, now.Before(r.graceUntil)
	live := make([]Heartbeat, 0, r.registrations.Len())
	for _, registration := range r.registrations.All() {
		expiry := registration.receivedAt.Add(r.settings.TTL)
		// While the log is unavailable, no heartbeats of any instance arrive, so the time of the last read is used instead
		// of the current time.
		if r.lastRead.Before(expiry) || r.wasInGrace {
			live = append(live, registration.heartbeat)
		}
	}
	return live
}
