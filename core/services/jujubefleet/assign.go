package jujubefleet

import (
	"cmp"
	"math"
	"slices"

	model "jujubepier.example/core/models/jujubemodel"
)

// assign gives each model its engines: those that have its newest weights first, as an earlier leader chose them, then
// those that have the fewest models.
func (f *Fleet) assign() {
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
		for _, name := range e.models {
			counts[name]++
		}
	}
	slices.Sort(names)
	if len(names) == 0 {
		return
	}
	most := min(engines, int(math.Ceil(f.settings.Spread*float64(engines)/float64(len(names)))))
	for _, name := range names {
		for counts[name] < most {
			e := f.pick(name)
			if e == nil {
				break
			}
			e.models = append(e.models, name)
			slices.Sort(e.models)
			counts[name]++
		}
		for counts[name] > most {
			f.release(name)
			counts[name]--
		}
	}
}

// pick returns the engine that a model gets next, nil when it has all.
func (f *Fleet) pick(name model.ModelName) *engine {
	var best *engine
	for _, e := range f.engines.All() {
		if e.Leaving || !slices.Contains(e.Models, name) || slices.Contains(e.models, name) {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(f.lag(e, name), f.lag(best, name)), cmp.Compare(len(e.models), len(best.models))) < 0 {
			best = e
		}
	}
	return best
}

// release takes a model from the engine with the most models.
func (f *Fleet) release(name model.ModelName) {
	var most *engine
	for _, e := range f.engines.All() {
		if slices.Contains(e.models, name) && (most == nil || len(e.models) > len(most.models)) {
			most = e
		}
	}
	if most != nil {
		most.models = slices.DeleteFunc(most.models, func(one model.ModelName) bool { return one == name })
	}
}

// lag is how far an engine is behind: 0 when it serves the newest version's steps, else 1.
func (f *Fleet) lag(e *engine, name model.ModelName) int {
	if t, ok := f.targets.Get(name); ok && e.Versions[name] < t.version-1 {
		return 1
	}
	return 0
}
