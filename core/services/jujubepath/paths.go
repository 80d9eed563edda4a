package jujubepath

import (
	"slices"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

// Paths holds a path for each part of the store, such as a partition of its log. A store may lose some parts only: with a common path,
// calls to the other parts would change to peers, which can't reach the lost part either, and back, for as long as that lasts. It
// isn't safe for concurrent use.
type Paths[K comparable] struct {
	self     model.InstanceID
	settings Settings
	paths    map[K]*Path
	// keys are those of paths, in the order in which they were first used.
	keys []K
	// lastDirectSuccess is the time of the last successful direct call to any part.
	lastDirectSuccess time.Time
	// nextProbe is when the next probe of any part is due. While the whole store is away, probes of all parts together are as many as
	// those of a single path.
	nextProbe time.Time
	// lastProbed is the index in keys of the part that was probed last.
	lastProbed int
}

// NewPaths returns direct paths.
func NewPaths[K comparable](self model.InstanceID, settings Settings) *Paths[K] {
	return &Paths[K]{self: self, settings: settings, paths: make(map[K]*Path)}
}

// Of returns the path to a part.
func (p *Paths[K]) Of(key K) *Path {
	path, ok := p.paths[key]
	if !ok {
		path = New(p.self, p.settings)
		p.paths[key] = path
		p.keys = append(p.keys, key)
	}
	return path
}

// RecordDirect records the outcome of a direct call to a part. It returns true when the part's path changes between direct and
// indirect. When a part has become reachable again, the others are probed at once.
func (p *Paths[K]) RecordDirect(now time.Time, key K, ok bool) bool {
	changed := p.Of(key).RecordDirect(ok)
	switch {
	case !ok:
		p.nextProbe = now.Add(p.settings.ProbeInterval)
	case changed:
		p.lastDirectSuccess, p.nextProbe = now, now
	default:
		p.lastDirectSuccess = now
	}
	return changed
}

// ShouldRetryDirect reports whether a direct call to a part that was refused for too many calls should be retried directly. The rate
// limit is one for all parts, and a call through a peer would count against it, too.
func (p *Paths[K]) ShouldRetryDirect(now time.Time, key K) bool {
	return p.Of(key).IsDirect() && now.Sub(p.lastDirectSuccess) < p.settings.BusyTolerance
}

// ProbeDue returns the part that is due for a direct probe, in turn among those with an indirect path; ok is false for none.
func (p *Paths[K]) ProbeDue(now time.Time) (key K, ok bool) {
	if now.Before(p.nextProbe) {
		return key, false
	}
	for i := range p.keys {
		index := (p.lastProbed + 1 + i) % len(p.keys)
		if !p.paths[p.keys[index]].IsDirect() {
			p.lastProbed = index
			return p.keys[index], true
		}
	}
	return key, false
}

// IndirectParts returns the parts that aren't reached directly, in the order in which they were first used.
func (p *Paths[K]) IndirectParts() []K {
	return slices.DeleteFunc(slices.Clone(p.keys), func(key K) bool { return p.paths[key].IsDirect() })
}
