package jujubefleet

import (
	"cmp"
	"math"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

// Needs for a load, the most pressing first.
const (
	// needNow is that of a model of which few engines serve: its versions came faster than the engines could follow.
	needNow = iota
	// needNext is that of a model of which fewer than half of the engines have the newest version. Those that haven't drop
	// out with the next version, or have done so already.
	needNext
	// needMore is that of an engine that doesn't serve while enough others do.
	needMore
	needNone
)

// pressingShare is the share of a model's engines below which too few serve. Half of them do right after a version.
const pressingShare = 0.25

// loadShares are how much of the loads at once each need may fill. The rest is free for more pressing ones, as a begun load
// can't be stopped and the versions of a trainer that is behind come without a warning.
var loadShares = [needNone]float64{1, 0.8, 0.5}

// next returns the engine and the model to load next: for the most pressing need, and among equal ones for the model with
// the fewest engines that are as far. Engines that no step of the newest version takes go before others.
func (f *Fleet) next(now time.Time, busy, most int) (*engine, model.ModelName) {
	counts := f.count()
	var best *engine
	var bestModel model.ModelName
	var bestRank loadRank
	for _, e := range f.engines.All() {
		if !e.read || e.Leaving || e.order != nil || e.busy || now.Before(e.notBefore) || f.isForeign(now, e) {
			continue
		}
		for _, name := range e.models {
			t, ok := f.targets.Get(name)
			if !ok || e.Versions[name] >= t.version {
				continue
			}
			rank := counts[name].rank(t.version - e.Versions[name])
			if rank.need == needNone || most > 1 && float64(busy) >= math.Ceil(loadShares[rank.need]*float64(most)) {
				continue
			}
			if best == nil || rank.compare(bestRank) < 0 {
				best, bestModel, bestRank = e, name, rank
			}
		}
	}
	return best, bestModel
}

// modelCount counts the engines of a model.
type modelCount struct {
	// all are those that keep it up to date, serving those that a step of the newest version takes, and newest those that
	// have that version; both include engines that load it.
	all, serving, newest int
}

// loadRank orders loads; the lower one goes first.
type loadRank struct {
	need  int
	share float64
	lag   model.WeightVersion
}

// rank returns the rank of a load by an engine that is behind by some versions.
func (c modelCount) rank(lag model.WeightVersion) loadRank {
	lag = min(lag, 2)
	share := func(count int) float64 { return float64(count) / float64(max(1, c.all)) }
	switch {
	case lag > 1 && share(c.serving) < pressingShare:
		return loadRank{needNow, share(c.serving), lag}
	case 2*c.newest < c.all:
		return loadRank{needNext, share(c.newest), lag}
	case lag > 1:
		return loadRank{needMore, share(c.serving), lag}
	}
	return loadRank{need: needNone}
}

func (r loadRank) compare(other loadRank) int {
	return cmp.Or(cmp.Compare(r.need, other.need), cmp.Compare(r.share, other.share), cmp.Compare(other.lag, r.lag))
}

// count counts the engines of each model.
func (f *Fleet) count() map[model.ModelName]modelCount {
	counts := map[model.ModelName]modelCount{}
	for _, e := range f.engines.All() {
		if e.Leaving {
			continue
		}
		for _, name := range e.models {
			c := counts[name]
			c.all++
			if t, ok := f.targets.Get(name); ok {
				loads := e.order != nil && e.order.Model == name
				if loads || e.Versions[name] >= t.version-1 {
					c.serving++
				}
				if loads && e.order.Version >= t.version || e.Versions[name] >= t.version {
					c.newest++
				}
			}
			counts[name] = c
		}
	}
	return counts
}
