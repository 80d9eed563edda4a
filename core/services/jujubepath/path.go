// Package jujubepath decides how an instance reaches the platform's store: directly, or through another instance while
// the store turns this one away or can't be reached from here.
package jujubepath

import (
	"slices"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

// Settings are the constants of the choice.
type Settings struct {
	// ProbePeriod is the time between two direct tries while other instances are used, and with it how late the store's
	// return is noticed. 372 instances together make 2,500 probes a second, 0.4 of the store's reads.
	ProbePeriod time.Duration
	// PeerPause is how long an instance that couldn't help isn't asked again. While the store is down for all, this
	// bounds how often each one is asked.
	PeerPause time.Duration
	// BusyTolerance is how long refusals for too many calls, without a success between them, are put down to the calls of
	// all instances together; after that the store turns this one away.
	BusyTolerance time.Duration
}

// DefaultSettings returns the constants for outages of some seconds.
func DefaultSettings() Settings {
	return Settings{ProbePeriod: 150 * time.Millisecond, PeerPause: 700 * time.Millisecond, BusyTolerance: 500 * time.Millisecond}
}

// Path is owned by one goroutine at a time.
type Path struct {
	settings Settings
	// indirect is true from a direct failure to the next direct success.
	indirect bool
	probeAt  time.Time
	// succeeded is when a direct call last succeeded.
	succeeded time.Time
	// pausedUntil holds the instances that couldn't help lately.
	pausedUntil map[model.InstanceID]time.Time
	current     model.InstanceID
}

// New returns a path that is direct. The first instance that it goes through is the next one after this one by name, so that
// instances that are turned away together don't all ask the same one.
func New(self model.InstanceID, settings Settings) *Path {
	return &Path{settings: settings, current: self, pausedUntil: make(map[model.InstanceID]time.Time)}
}

// Direct tells whether calls go directly to the store.
func (p *Path) Direct() bool { return !p.indirect }

// NoteDirect takes the outcome of a direct call. It returns true when that changes the way.
func (p *Path) NoteDirect(now time.Time, ok bool) bool {
	changed := p.indirect == ok
	p.indirect = !ok
	if ok {
		p.succeeded = now
	} else {
		p.probeAt = now.Add(p.settings.ProbePeriod)
	}
	return changed
}

// Tolerates tells whether a direct call that was refused for too many calls should be repeated directly. Another instance
// would spend a call of the same rate.
func (p *Path) Tolerates(now time.Time) bool {
	return !p.indirect && now.Sub(p.succeeded) < p.settings.BusyTolerance
}

// ProbeDue tells whether the store should be tried directly now.
func (p *Path) ProbeDue(now time.Time) bool { return p.indirect && !now.Before(p.probeAt) }

// Choose returns the instance to go through; ok is false when none may be asked now. The same one is used while it helps.
func (p *Path) Choose(now time.Time, live []model.InstanceID) (id model.InstanceID, ok bool) {
	if slices.Contains(live, p.current) && !now.Before(p.pausedUntil[p.current]) {
		return p.current, true
	}
	start := 0
	for i, one := range live {
		if one > p.current {
			start = i
			break
		}
	}
	for i := range live {
		one := live[(start+i)%len(live)]
		if !now.Before(p.pausedUntil[one]) {
			p.current = one
			return one, true
		}
	}
	return "", false
}

// NotePeer takes the outcome of a call through another instance.
func (p *Path) NotePeer(now time.Time, id model.InstanceID, ok bool) {
	if ok {
		delete(p.pausedUntil, id)
		return
	}
	p.pausedUntil[id] = now.Add(p.settings.PeerPause)
}
