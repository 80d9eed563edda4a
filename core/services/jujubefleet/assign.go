package jujubefleet

import (
	"cmp"
	"math"
	"slices"

	model "jujubepier.example/core/models/jujubemodel"
)

// serviceModel is a model at the engines of one service. An item's service is fixed by its route, so each service needs engines of its
// own for a model.
type serviceModel struct {
	service model.ServiceName
	model   model.ModelName
}

// assignModels assigns engines of each service to each model: first those that have its newest weights, which an earlier leader chose,
// then those with the fewest assigned models.
func (f *Fleet) assignModels() {
	counts := map[serviceModel]int{}
	names := map[model.ServiceName][]model.ModelName{}
	engines := map[model.ServiceName]int{}
	var services []model.ServiceName
	for _, e := range f.engines.All() {
		if e.Leaving || len(e.Models) == 0 {
			continue
		}
		if engines[e.Service] == 0 {
			services = append(services, e.Service)
		}
		engines[e.Service]++
		for _, name := range e.Models {
			if !slices.Contains(names[e.Service], name) {
				names[e.Service] = append(names[e.Service], name)
			}
		}
		for _, name := range e.assignedModels {
			counts[serviceModel{e.Service, name}]++
		}
	}
	slices.Sort(services)
	for _, service := range services {
		slices.Sort(names[service])
		maxEngines := min(engines[service], int(math.Ceil(f.settings.Spread*float64(engines[service])/float64(len(names[service])))))
		for _, name := range names[service] {
			f.assignModel(serviceModel{service, name}, counts[serviceModel{service, name}], maxEngines)
		}
		f.rebalance(service)
	}
}

// assignModel assigns or unassigns engines until a model has maxEngines of a service.
func (f *Fleet) assignModel(of serviceModel, count, maxEngines int) {
	for ; count < maxEngines; count++ {
		e := f.pickEngine(of)
		if e == nil {
			break
		}
		e.assignedModels = append(e.assignedModels, of.model)
		slices.Sort(e.assignedModels)
	}
	for ; count > maxEngines; count-- {
		f.unassignModel(of)
	}
}

// rebalance moves one model from the engine of a service with the most assigned models to the one with the fewest. Engines are assigned
// as they appear, so that without it the first ones would have all models and the last one none.
func (f *Fleet) rebalance(service model.ServiceName) {
	var fullest, emptiest *engine
	for _, e := range f.engines.All() {
		if e.Service != service || e.Leaving || len(e.Models) == 0 || e.order != nil {
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

// pickEngine returns the engine to assign to a model next, or nil if the model has all engines of the service.
func (f *Fleet) pickEngine(of serviceModel) *engine {
	name := of.model
	var best *engine
	for _, e := range f.engines.All() {
		if e.Service != of.service || e.Leaving || !slices.Contains(e.Models, name) || slices.Contains(e.assignedModels, name) {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(f.versionLag(e, name), f.versionLag(best, name)), cmp.Compare(e.assignedWeight(), best.assignedWeight())) < 0 {
			best = e
		}
	}
	return best
}

// unassignModel unassigns a model from that of its engines of a service which has the most assigned models.
func (f *Fleet) unassignModel(of serviceModel) {
	name := of.model
	var fullest *engine
	for _, e := range f.engines.All() {
		if e.Service == of.service && slices.Contains(e.assignedModels, name) && (fullest == nil || e.assignedWeight() > fullest.assignedWeight()) {
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
