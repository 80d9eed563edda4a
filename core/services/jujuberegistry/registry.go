// Package jujuberegistry keeps the instances of the service that are alive, from the beats that each one writes to the
// platform's log.
package jujuberegistry

import (
	"cmp"
	"slices"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/models/jujubetable"
)

// State is what an instance says of itself.
type State string

// States of an instance, in the order in which it goes through them.
const (
	Starting State = "Starting"
	Ready    State = "Ready"
	// Leaving instances finish their work and get no new one.
	Leaving State = "Leaving"
)

// Beat is the record that an instance writes under its own name.
type Beat struct {
	Instance    model.InstanceID
	Incarnation model.Incarnation
	DataCentre  model.DataCentre
	// CallerAddress and PeerAddress are host:port with an IP number.
	CallerAddress string
	PeerAddress   string
	State         State
	// Engines are those that the instance keeps, with what it knows of them.
	Engines []model.EngineNote `json:",omitempty"`
	// Number grows with each beat of an incarnation.
	Number int64
}

// Settings are the periods of the registry.
type Settings struct {
	// TTL is the time without a beat after which an instance counts as gone: 3 beats of 800 ms and their way through
	// the log.
	TTL time.Duration
	// Grace is added after an outage of the log, in which no beat could be written.
	Grace time.Duration
}

// DefaultSettings returns the periods for beats of 800 ms.
func DefaultSettings() Settings {
	return Settings{TTL: 2800 * time.Millisecond, Grace: 2 * time.Second}
}

type row struct {
	beat Beat
	// seen is this instance's time of the latest beat's receipt.
	seen time.Time
}

// Registry is owned by one goroutine.
type Registry struct {
	settings Settings
	rows     *jujubetable.Table[model.InstanceID, *row]
	// contact is when the log was last read successfully; nobody expires while it can't be read.
	contact time.Time
	// graceUntil is set when the log returns after an outage.
	graceUntil time.Time
}

// New returns an empty registry.
func New(settings Settings) *Registry {
	return &Registry{settings: settings, rows: jujubetable.New[model.InstanceID, *row]()}
}

// Apply takes a beat. An older incarnation or number has no effect.
func (r *Registry) Apply(now time.Time, beat Beat) {
	known, ok := r.rows.Get(beat.Instance)
	if !ok {
		r.rows.Put(beat.Instance, &row{beat: beat, seen: now})
		return
	}
	order := cmp.Or(cmp.Compare(beat.Incarnation, known.beat.Incarnation), cmp.Compare(beat.Number, known.beat.Number))
	if order > 0 {
		known.beat, known.seen = beat, now
	}
}

// Remove forgets an instance that has left.
func (r *Registry) Remove(id model.InstanceID) { r.rows.Delete(id) }

// Contact says that the log was read up to its end.
func (r *Registry) Contact(now time.Time) {
	if !r.contact.IsZero() && now.Sub(r.contact) > r.settings.TTL/2 {
		r.graceUntil = now.Add(r.settings.Grace)
	}
	r.contact = now
}

// Live returns the instances that are alive, sorted by name.
func (r *Registry) Live(now time.Time) []Beat {
	var live []Beat
	for _, one := range r.rows.All() {
		last := one.seen.Add(r.settings.TTL)
		// Beats stop for all while the log is away, so its reader's last contact stands for the present.
		if r.contact.Before(last) || now.Before(r.graceUntil) {
			live = append(live, one.beat)
		}
	}
	slices.SortFunc(live, func(a, b Beat) int { return cmp.Compare(a.Instance, b.Instance) })
	return live
}
