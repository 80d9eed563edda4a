package jujubebatch

import (
	"cmp"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

// Engine is an endpoint's own entry: a model engine's, or a plain server's, which has no versions and gets no items.
type Engine struct {
	ID          model.EndpointID
	Incarnation model.Incarnation
	Service     model.ServiceName
	Address     string
	DataCentre  model.DataCentre
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
	// planned counts the items without a result that this instance runs there, has lent to the keeper or means to.
	planned int
	// others is how many more items the keeper said that it had at othersAt.
	others   int
	othersAt time.Time
	// keeper is the instance through which items reach the engine; empty for none.
	keeper model.InstanceID
	// avoidUntil keeps new runs away after a failure; loading does so for one model.
	avoidUntil time.Time
	loading    map[model.ModelName]time.Time
	pace       enginePace
	// lastEvent is the time of the latest event of any run here, stalls how often it has gone silent since.
	lastEvent time.Time
	stalls    int
	// patience is the least limit for its silence: twice the last one at which a run was given up before the engine's pace
	// was known; zero once it is.
	patience time.Duration
}

const (
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
	b.setKeeper(known)
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

// limit is how many items are planned for an engine at once.
func (e *engine) limit() int { return max(1, int(queueShare*float64(e.Slots))) }

// choose returns the engine that should run an item, nil when all that may are full. Slow ones are taken only when all are
// slow. A free slot goes before a place in a queue, and of the engines with free slots those of the better hardware come
// first; they take the longest items, which are planned first and which a step waits for. Among these, engines that the
// next steps of other models will want come last.
func (b *Batches) choose(now time.Time, row *item, service model.ServiceName, single bool, pace fleetPace) *engine {
	var best *engine
	var bestRank engineRank
	for _, e := range b.engines.All() {
		load := e.loadOf(now)
		if load >= e.limit() || !b.isEligible(now, e, row, service, single) {
			continue
		}
		rank := b.rankEngine(e, row.of.Model, load, pace)
		if best == nil || rank.compare(bestRank) < 0 {
			best, bestRank = e, rank
		}
	}
	return best
}

// engineClass is the first thing that counts when engines are compared for an item; lower is better.
type engineClass int

const (
	classFree engineClass = iota
	// classWeaker engines have a free slot and weaker hardware.
	classWeaker
	// classQueued engines have a place in their queue only.
	classQueued
	classSlow
)

// engineRank orders engines for an item; lower is better.
type engineRank struct {
	class engineClass
	// wanted counts the other models of which the engine takes the next step.
	wanted int
	load   float64
}

func (b *Batches) rankEngine(e *engine, name model.ModelName, load int, pace fleetPace) engineRank {
	rank := engineRank{wanted: b.countWanted(e, name), load: float64(load) / float64(max(1, e.Slots))}
	switch {
	case b.isSlow(e, pace):
		rank.class = classSlow
	case load >= e.Slots:
		rank.class = classQueued
	case pace.isSluggish(e):
		rank.class = classWeaker
	}
	return rank
}

func (r engineRank) compare(other engineRank) int {
	return cmp.Or(cmp.Compare(r.class, other.class), cmp.Compare(r.wanted, other.wanted), cmp.Compare(r.load, other.load))
}

// countWanted counts the other models of which an engine's version is newer than their latest step asks for.
func (b *Batches) countWanted(e *engine, except model.ModelName) int {
	count := 0
	for name, version := range e.Versions {
		if oldest, ok := b.oldest[name]; ok && name != except && version > oldest {
			count++
		}
	}
	return count
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
