package jujubefleet

import (
	"cmp"
	"math"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

// Needs for a load, the most urgent first.
const (
	// needUrgent: few engines serve the model, because its versions arrived faster than the engines could load them.
	needUrgent = iota
	// needNewest: fewer than half of the model's engines have the newest version. The others stop serving with the next
	// version, or have done so already.
	needNewest
	// needSpare: the engine doesn't serve the model, but enough others do.
	needSpare
	needNone
)

// urgentServingShare is the share of a model's engines below which too few serve. Right after a new version half of them
// serve.
const urgentServingShare = 0.25

// needLoadShares is the share of the concurrent loads that each need may use. The remainder is reserved for more urgent
// needs, because a running load can't be stopped and a trainer that is behind announces versions without warning.
var needLoadShares = [needNone]float64{1, 0.8, 0.5}

// nextLoad returns the engine and the model to load next: for the most urgent need and, among equal needs, for the model
// with the smallest share of up-to-date engines in the engine's service. Services that a route sends requests to precede others, then
// engines that name no rate, and then those that no step of the newest version accepts.
func (f *Fleet) nextLoad(now time.Time, busy, maxLoads int) (*engine, model.ModelName) {
	counts := f.countEngines()
	var best *engine
	var bestModel model.ModelName
	var bestRank loadRank
	for _, e := range f.engines.All() {
		if !e.isReported || e.Leaving || e.order != nil || e.busy || now.Before(e.retryAt) || f.isHeldByOther(now, e) {
			continue
		}
		for _, name := range e.assignedModels {
			t, ok := f.targets.Get(name)
			if !ok || e.Versions[name] >= t.version {
				continue
			}
			rank := counts[serviceModel{e.Service, name}].rank(t.version - e.Versions[name])
			rank.limited, rank.unrouted = e.isLimited, !f.isRouted(e.Service)
			if rank.unrouted {
				rank.need = max(rank.need, needSpare)
			}
			if rank.need == needNone || maxLoads > 1 && float64(busy) >= math.Ceil(needLoadShares[rank.need]*float64(maxLoads)) {
				continue
			}
			if best == nil || rank.compare(bestRank) < 0 {
				best, bestModel, bestRank = e, name, rank
			}
		}
	}
	return best, bestModel
}

// engineCounts holds the numbers of engines of a model in one service.
type engineCounts struct {
	// assigned counts the engines that keep the model up to date, serving those that a step of the newest version accepts,
	// and newest those that have that version. The latter two include engines that are loading it.
	assigned, serving, newest int
}

// loadRank is the sort key of loads; the load with the lowest rank is ordered first.
type loadRank struct {
	// unrouted loads are those of services that no route sends requests to.
	unrouted bool
	need     int
	share    float64
	limited  bool
	lag      model.WeightVersion
}

// rank returns the rank of a load by an engine that is lag versions behind.
func (c engineCounts) rank(lag model.WeightVersion) loadRank {
	lag = min(lag, 2)
	share := func(count int) float64 { return float64(count) / float64(max(1, c.assigned)) }
	switch {
	case lag > 1 && share(c.serving) < urgentServingShare:
		return loadRank{need: needUrgent, share: share(c.serving), lag: lag}
	case 2*c.newest < c.assigned:
		return loadRank{need: needNewest, share: share(c.newest), lag: lag}
	case lag > 1:
		return loadRank{need: needSpare, share: share(c.serving), lag: lag}
	}
	return loadRank{need: needNone}
}

func (r loadRank) compare(other loadRank) int {
	return cmp.Or(compareFlags(r.unrouted, other.unrouted), cmp.Compare(r.need, other.need), cmp.Compare(r.share, other.share),
		compareFlags(r.limited, other.limited), cmp.Compare(other.lag, r.lag))
}

// compareFlags orders false before true.
func compareFlags(flag, other bool) int {
	switch {
	case flag == other:
		return 0
	case flag:
		return 1
	}
	return -1
}

// countEngines returns the numbers of engines of each model, by service.
func (f *Fleet) countEngines() map[serviceModel]engineCounts {
	counts := map[serviceModel]engineCounts{}
	for _, e := range f.engines.All() {
		if e.Leaving {
			continue
		}
		for _, name := range e.assignedModels {
			of := serviceModel{e.Service, name}
			c := counts[of]
			c.assigned++
			if t, ok := f.targets.Get(name); ok {
				isLoading := e.order != nil && e.order.Model == name
				if isLoading || e.Versions[name] >= t.version-1 {
					c.serving++
				}
				if isLoading && e.order.Version >= t.version || e.Versions[name] >= t.version {
					c.newest++
				}
			}
			counts[of] = c
		}
	}
	return counts
}
