package jujubefleet

import (
	"cmp"
	"math"
	"slices"

	model "jujubepier.example/core/models/jujubemodel"
)

// assignModels assigns engines to each model: first those that have its newest weights, which an earlier leader chose, then
// those with the fewest assigned models.
func (f *Fleet) assignModels() {
	counts := map[model.ModelName]int{}
	var names []model.ModelName
	engines := 0
	for _, e := range f.engines.All() {
		if e.Leaving || len(e.Models) == 0 {
			continue
		}
		engines++
		for _, name := range e.Models {
			if !slices.Contains(names, name) {
				names = append(names, name)
			}
		}
		for _, name := range e.assignedModels {
			counts[name]++
		}
	}
	slices.Sort(names)
	if len(names) == 0 {
		return
	}
	maxEngines := min(engines, int(math.Ceil(f.settings.Spread*float64(engines)/float64(len(names)))))
	for _, name := range names {
		for counts[name] < maxEngines {
			e := f.pickEngine(name)
			if e == nil {
				break
			}
			e.assignedModels = append(e.assignedModels, name)
			slices.Sort(e.assignedModels)
			counts[name]++
		}
		for counts[name] > maxEngines {
			f.unassignModel(name)
			counts[name]--
		}
	}
	f.rebalance()
}

// rebalance moves one model from the engine with the most assigned models to the one with the fewest. Engines are assigned as they
// appear, so that without it the first ones would have all models and the last one none.
func (f *Fleet) rebalance() {
	var fullest, emptiest *engine
	for _, e := range f.engines.All() {
		if e.Leaving || len(e.Models) == 0 || e.order != nil {
			continue
		}
		if fullest == nil || e.assignedWeight() > fullest.assignedWeight() {
			fullest = e
		}
		if emptiest == nil || e.assignedWeight() < emptiest.assignedWeight() {
			emptiest = e
		}
	}
	if fullest == nil || fullest.assignedWeight()-emptiest.assignedWeight() < 2 {
		return
	}
	for i, name := range fullest.assignedModels {
		if slices.Contains(emptiest.Models, name) && !slices.Contains(emptiest.assignedModels, name) {
			fullest.assignedModels = slices.Delete(fullest.assignedModels, i, i+1)
			emptiest.assignedModels = append(emptiest.assignedModels, name)
			slices.Sort(emptiest.assignedModels)
			return
		}
	}
}

// assignedWeight is the number of an engine's assigned models. An engine that names a rate counts one more.
func (e *engine) assignedWeight() int {
	if e.isLimited {
		return len(e.assignedModels) + 1
	}
	return len(e.assignedModels)
}

// pickEngine returns the engine to assign to a model next, or nil if the model has all engines.
func (f *Fleet) pickEngine(name model.ModelName) *engine {
	var best *engine
	for _, e := range f.engines.All() {
		if e.Leaving || !slices.Contains(e.Models, name) || slices.Contains(e.assignedModels, name) {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(f.versionLag(e, name), f.versionLag(best, name)), cmp.Compare(e.assignedWeight(), best.assignedWeight())) < 0 {
			best = e
		}
	}
	return best
}

// unassignModel unassigns a model from that of its engines which has the most assigned models.
func (f *Fleet) unassignModel(name model.ModelName) {
	var fullest *engine
	for _, e := range f.engines.All() {
		if slices.Contains(e.assignedModels, name) && (fullest == nil || e.assignedWeight() > fullest.assignedWeight()) {
			fullest = e
		}
	}
	if fullest != nil {
		fullest.assignedModels = slices.DeleteFunc(fullest.assignedModels, func(n model.ModelName) bool { return n == name })
	}
}

// versionLag returns 1 if an engine's weights are too old for the steps of the newest version, otherwise 0.
func (f *Fleet) versionLag(e *engine, name model.ModelName) int {
	if t, ok := f.targets.Get(name); ok && e.Versions[name] < t.version-1 {
		return 1
	}
	return 0
}
