package jujubebatch

import (
	"slices"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

// Engine is what an instance knows of one model engine.
type Engine struct {
	ID          model.EndpointID
	Incarnation model.Incarnation
	Service     model.ServiceName
	Address     string
	// Slots is how many requests the engine runs at once.
	Slots   int
	Leaving bool
	// Versions are the weight versions that the engine last said it has.
	Versions map[model.ModelName]model.WeightVersion
}

// engine is an engine with what this instance has seen of it.
type engine struct {
	Engine
	// inFlight counts this instance's runs.
	inFlight int
	// planned counts the items without a result that are planned for the engine, of all instances.
	planned int
	// avoidUntil keeps new runs away after a failure; loading does so for one model.
	avoidUntil time.Time
	loading    map[model.ModelName]time.Time
	// pace averages the time from one event to the next; zero while unknown.
	pace    time.Duration
	pacedAt time.Time
}

const (
	// paceWeight is the share of a new measurement in an engine's pace: about five events settle it.
	paceWeight = 0.25
	// paceMemory is how long a measured pace is trusted without a new one. A slow engine gets no work, so it has to be
	// tried again after a while.
	paceMemory = 4 * time.Second
	// queueShare is how many items are planned for each slot: engines queue a few more than they run, and a queued request
	// starts without a round trip.
	queueShare = 1.25
)

// PutEngine adds an engine or updates it. A higher incarnation has lost what its predecessor held.
func (b *Batches) PutEngine(e Engine) {
	known, ok := b.engines.Get(e.ID)
	if !ok || e.Incarnation > known.Incarnation {
		if ok {
			b.dropRuns(known, "the engine has started again")
			b.unplanAll(e.ID)
		}
		known = &engine{loading: map[model.ModelName]time.Time{}}
		b.engines.Put(e.ID, known)
	} else if e.Incarnation < known.Incarnation {
		return
	}
	for name, version := range known.Versions {
		if e.Versions[name] < version && e.Versions != nil {
			e.Versions[name] = version // a run told of a newer version before the entry did
		}
	}
	known.Engine = e
}

// EngineState returns what is known of an engine.
func (b *Batches) EngineState(id model.EndpointID) (Engine, bool) {
	e, ok := b.engines.Get(id)
	if !ok {
		return Engine{}, false
	}
	return e.Engine, true
}

// RemoveEngine forgets an engine; its runs go on elsewhere once they break.
func (b *Batches) RemoveEngine(id model.EndpointID) {
	b.engines.Delete(id)
	b.unplanAll(id)
}

// MarkLoading keeps a model's new runs off an engine that loads its weights.
func (b *Batches) MarkLoading(id model.EndpointID, name model.ModelName, until time.Time) {
	if e, ok := b.engines.Get(id); ok && e.loading[name].Before(until) {
		e.loading[name] = until
	}
}

// SetVersion takes note of a version that an engine has shown to have.
func (b *Batches) SetVersion(id model.EndpointID, name model.ModelName, version model.WeightVersion) {
	if e, ok := b.engines.Get(id); ok && e.Versions[name] < version {
		if e.Versions == nil {
			e.Versions = map[model.ModelName]model.WeightVersion{}
		}
		e.Versions[name] = version
		delete(e.loading, name)
	}
}

func (b *Batches) dropRuns(e *engine, reason string) {
	for _, r := range b.runs.All() {
		if r.engine == e.ID {
			b.cancel(r, reason)
		}
	}
}

// measure takes the time from one event of a run to the next.
func (e *engine) measure(now time.Time, gap time.Duration) {
	if e.pace == 0 {
		e.pace = gap
	} else {
		e.pace += time.Duration(paceWeight * float64(gap-e.pace))
	}
	e.pacedAt = now
}

// typicalPace returns the median pace of the engines, zero when fewer than three are known.
func (b *Batches) typicalPace(now time.Time) time.Duration {
	var paces []time.Duration
	for _, e := range b.engines.All() {
		if now.Sub(e.pacedAt) > paceMemory {
			e.pace = 0
		}
		if e.pace > 0 {
			paces = append(paces, e.pace)
		}
	}
	if len(paces) < 3 {
		return 0
	}
	slices.Sort(paces)
	return paces[len(paces)/2]
}

// isSlow tells whether an engine needs much longer for an event than the others.
func (b *Batches) isSlow(e *engine, typical time.Duration) bool {
	return typical > 0 && e.pace > time.Duration(b.settings.SlowFactor*float64(typical))
}

// limit is how many items are planned for an engine at once.
func (e *engine) limit() int { return max(1, int(queueShare*float64(e.Slots))) }

// choose returns the engine with the fewest planned items for its slots that may run an item, nil when all are full. Slow
// ones are taken only when all are slow.
func (b *Batches) choose(now time.Time, row *item, service model.ServiceName, single bool, typical time.Duration) *engine {
	var best *engine
	bestSlow := false
	for _, e := range b.engines.All() {
		if e.planned >= e.limit() || !b.isEligible(now, e, row, service, single) {
			continue
		}
		slow := b.isSlow(e, typical)
		if best == nil || bestSlow && !slow || bestSlow == slow && e.planned*best.Slots < best.planned*e.Slots {
			best, bestSlow = e, slow
		}
	}
	return best
}

func (b *Batches) isEligible(now time.Time, e *engine, row *item, service model.ServiceName, single bool) bool {
	name := row.of.Model
	version := e.Versions[name]
	if e.Service != service || e.Leaving || version < row.of.MinVersion {
		return false
	}
	if single && len(row.versions) > 0 && version != row.versions[0] {
		return false
	}
	return !now.Before(e.avoidUntil) && !now.Before(e.loading[name])
}
