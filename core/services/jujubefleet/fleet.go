// Package jujubefleet decides which engine loads which weight version, where each engine holds several models at once and
// only a few engines may load at the same time.
//
// Loads are scarce: with 11 engines, two loads at once and 0.9 s for each, nine fit between two versions that are 4 s
// apart, for all models together. So each engine keeps one model up to date, and of the engines whose turn it is the one
// goes first that has fallen furthest behind.
package jujubefleet

import (
	"cmp"
	"math"
	"slices"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/models/jujubetable"
)

// Mode tells what becomes of the runs on an engine that loads a model.
type Mode string

// Modes of an order.
const (
	// Retain lets runs go on with the new weights.
	Retain Mode = "Retain"
	// Await lets runs finish before the load.
	Await Mode = "Await"
)

// Order asks an engine to load a version.
type Order struct {
	Engine  model.EndpointID
	Address string
	Model   model.ModelName
	Version model.WeightVersion
	Mode    Mode
	Fence   int64
	// Expected is the number of orders that the engine has taken before; it refuses the order when that has changed, so
	// that an order that is carried out late does no harm.
	Expected int64
}

// Engine is what the instance that gives the orders knows of one engine.
type Engine struct {
	ID          model.EndpointID
	Incarnation model.Incarnation
	Address     string
	Leaving     bool
	Models      []model.ModelName
	Versions    map[model.ModelName]model.WeightVersion
}

// Settings are the constants of the rollout.
type Settings struct {
	// LoadShare is the share of the engines that load at once. More at once make each load longer.
	LoadShare float64
	// LoadTime is how long an engine is expected to load; its state is read after that.
	LoadTime time.Duration
	// OrderTimeout is when an order without an outcome is given up and the engine's state is read again.
	OrderTimeout time.Duration
	// RetryPause keeps a refusing or silent engine from being asked again at once.
	RetryPause time.Duration
}

// DefaultSettings returns the constants for engines that load in about 0.9 s, a fifth of them at once.
func DefaultSettings() Settings {
	return Settings{
		LoadShare: 0.2, LoadTime: 950 * time.Millisecond, OrderTimeout: 4 * time.Second, RetryPause: 400 * time.Millisecond,
	}
}

type engine struct {
	Engine
	// model is the one that this engine keeps up to date.
	model model.ModelName
	// read is true once the engine's own report is known; without it the number of orders isn't.
	read bool
	// Accepted is the number of orders that the engine has taken since its start, as far as is known.
	Accepted int64
	// busy is true while the engine says that it carries out an order.
	busy bool
	// order is the one that is being carried out, as far as is known.
	order     *Order
	orderedAt time.Time
	// readAt is when the engine's state has to be read; zero when nothing is awaited.
	readAt    time.Time
	notBefore time.Time
}

// Fleet is owned by one goroutine at a time. Each instance keeps it; only the leader orders.
type Fleet struct {
	settings Settings
	engines  *jujubetable.Table[model.EndpointID, *engine]
	targets  *jujubetable.Table[model.ModelName, model.WeightVersion]
	single   bool
}

// New returns a fleet without engines or targets.
func New(settings Settings) *Fleet {
	return &Fleet{
		settings: settings, engines: jujubetable.New[model.EndpointID, *engine](),
		targets: jujubetable.New[model.ModelName, model.WeightVersion](),
	}
}

// SetSingle says whether results must come from one version, so that runs have to finish before a load.
func (f *Fleet) SetSingle(single bool) { f.single = single }

// Announce sets a model's newest version; lower ones have no effect.
func (f *Fleet) Announce(name model.ModelName, version model.WeightVersion) bool {
	known, _ := f.targets.Get(name)
	if version <= known {
		return false
	}
	f.targets.Put(name, version)
	return true
}

// PutEngine takes an engine's entry. A higher incarnation has forgotten the orders of its predecessor.
func (f *Fleet) PutEngine(e Engine) {
	known, ok := f.engines.Get(e.ID)
	switch {
	case !ok || e.Incarnation > known.Incarnation:
		known = &engine{Engine: e}
		f.engines.Put(e.ID, known)
		return
	case e.Incarnation < known.Incarnation:
		return
	}
	known.Address, known.Leaving, known.Models = e.Address, e.Leaving, e.Models
	for name, version := range e.Versions {
		f.SetVersion(e.ID, name, version)
	}
}

// Report is an engine's answer about its state.
type Report struct {
	Engine      model.EndpointID
	Incarnation model.Incarnation
	Versions    map[model.ModelName]model.WeightVersion
	// Accepted is the number of orders that the engine has taken since its start.
	Accepted int64
	// Busy is true while the engine carries out an order.
	Busy bool
}

// Report takes an engine's state, which may be some hundred milliseconds old.
func (f *Fleet) Report(now time.Time, report Report) {
	e, ok := f.engines.Get(report.Engine)
	if !ok || report.Incarnation != e.Incarnation || report.Accepted < e.Accepted {
		return
	}
	e.read, e.Accepted, e.busy = true, report.Accepted, report.Busy
	for name, version := range report.Versions {
		f.SetVersion(report.Engine, name, version)
	}
	switch {
	case e.busy:
		e.readAt = now.Add(f.settings.RetryPause)
	case e.order == nil:
		e.readAt = time.Time{}
	case report.Accepted > e.order.Expected && now.Sub(e.orderedAt) > f.settings.LoadTime:
		f.settle(e) // the load has ended, with the version or without
	case report.Accepted == e.order.Expected && now.Sub(e.orderedAt) > f.settings.LoadTime:
		f.settle(e) // the order has got lost; should it come later, its number of orders is an old one
	}
}

func (f *Fleet) settle(e *engine) { e.order, e.readAt = nil, time.Time{} }

// RemoveEngine forgets an engine.
func (f *Fleet) RemoveEngine(id model.EndpointID) { f.engines.Delete(id) }

// Outcome tells what became of an order.
type Outcome string

// Outcomes of an order.
const (
	// Started means that the engine loads the version.
	Started Outcome = "Started"
	// Holds means that the engine has the version already.
	Holds Outcome = "Holds"
	// Refused means that the engine has not taken the order; its state has to be read.
	Refused Outcome = "Refused"
	// Fenced means that the engine has seen a higher fence.
	Fenced Outcome = "Fenced"
	// Unknown means that there was no answer; the order may be carried out later.
	Unknown Outcome = "Unknown"
)

// Result takes the outcome of an order.
func (f *Fleet) Result(now time.Time, order Order, outcome Outcome) {
	e, ok := f.engines.Get(order.Engine)
	if !ok || e.order == nil || e.order.Version != order.Version || e.order.Model != order.Model {
		return
	}
	switch outcome {
	case Started:
		e.Accepted = max(e.Accepted, order.Expected+1)
		e.readAt = now.Add(f.settings.LoadTime)
	case Holds:
		e.setVersion(order.Model, order.Version)
		f.settle(e)
	case Refused, Fenced:
		f.settle(e)
		e.notBefore, e.readAt = now.Add(f.settings.RetryPause), now
	case Unknown:
		e.readAt = now.Add(f.settings.RetryPause)
	}
}

func (e *engine) setVersion(name model.ModelName, version model.WeightVersion) {
	if e.Versions == nil {
		e.Versions = map[model.ModelName]model.WeightVersion{}
	}
	e.Versions[name] = max(e.Versions[name], version)
}

// SetVersion takes note of a version that an engine has shown to have.
func (f *Fleet) SetVersion(id model.EndpointID, name model.ModelName, version model.WeightVersion) {
	if e, ok := f.engines.Get(id); ok && e.Versions[name] < version {
		e.setVersion(name, version)
		if e.order != nil && e.order.Model == name && version >= e.order.Version {
			f.settle(e)
		}
	}
}

// Due returns the engines whose state has to be read now, and puts off the next reading.
func (f *Fleet) Due(now time.Time) []Engine {
	var due []Engine
	for _, e := range f.engines.All() {
		if !e.read && e.readAt.IsZero() {
			e.readAt = now
		}
		if e.readAt.IsZero() || now.Before(e.readAt) {
			continue
		}
		e.readAt = now.Add(f.settings.RetryPause / 2)
		due = append(due, e.Engine)
	}
	return due
}

// Plan returns the orders to give now under a fence.
func (f *Fleet) Plan(now time.Time, fence int64) []Order {
	f.assign()
	count, busy := 0, 0
	for _, e := range f.engines.All() {
		if e.order != nil && now.Sub(e.orderedAt) > f.settings.OrderTimeout {
			f.settle(e)
		}
		if e.Leaving {
			continue
		}
		count++
		if e.order != nil || e.busy {
			busy++
		}
	}
	most := max(1, int(math.Round(f.settings.LoadShare*float64(count))))
	var orders []Order
	for busy < most {
		e := f.next(now)
		if e == nil {
			break
		}
		version, _ := f.targets.Get(e.model)
		order := Order{
			Engine: e.ID, Address: e.Address, Model: e.model, Version: version, Mode: Retain, Fence: fence, Expected: e.Accepted,
		}
		if f.single {
			order.Mode = Await
		}
		e.order, e.orderedAt, e.readAt = &order, now, now.Add(f.settings.OrderTimeout)
		orders = append(orders, order)
		busy++
	}
	return orders
}

// next returns the engine that loads next: of the models with the fewest engines that can serve, the engine that is
// furthest behind.
func (f *Fleet) next(now time.Time) *engine {
	serving := map[model.ModelName]int{}
	for _, e := range f.engines.All() {
		if target, ok := f.targets.Get(e.model); ok && !e.Leaving && e.Versions[e.model] >= target-1 {
			serving[e.model]++
		}
	}
	var best *engine
	var bestLag model.WeightVersion
	for _, e := range f.engines.All() {
		target, ok := f.targets.Get(e.model)
		if !ok || !e.read || e.Leaving || e.order != nil || e.busy || now.Before(e.notBefore) || e.Versions[e.model] >= target {
			continue
		}
		lag := min(target-e.Versions[e.model], 2)
		if best == nil || lag > bestLag || lag == bestLag && serving[e.model] < serving[best.model] {
			best, bestLag = e, lag
		}
	}
	return best
}

// assign gives each engine a model: the one that has the fewest engines, of those that the engine holds.
func (f *Fleet) assign() {
	counts := map[model.ModelName]int{}
	for _, e := range f.engines.All() {
		if e.model != "" && !e.Leaving {
			counts[e.model]++
		}
	}
	for _, e := range f.engines.All() {
		if e.Leaving || len(e.Models) == 0 {
			continue
		}
		if e.model == "" {
			e.model = f.pick(e, counts)
			counts[e.model]++
		}
	}
	f.rebalance(counts)
}

// pick prefers the model that the engine has the newest weights of, as an earlier leader chose it, while that model has
// no more than its part of the engines.
func (f *Fleet) pick(e *engine, counts map[model.ModelName]int) model.ModelName {
	fair := (f.engines.Len() + len(e.Models) - 1) / len(e.Models)
	names := slices.Clone(e.Models)
	slices.SortFunc(names, func(a, b model.ModelName) int {
		aLag, bLag := f.lag(e, a), f.lag(e, b)
		aFull, bFull := counts[a] >= fair, counts[b] >= fair
		if aFull != bFull {
			if bFull {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(aLag, bLag), cmp.Compare(counts[a], counts[b]), cmp.Compare(a, b))
	})
	return names[0]
}

// lag is how far an engine is behind, zero when nothing was announced yet.
func (f *Fleet) lag(e *engine, name model.ModelName) model.WeightVersion {
	target, _ := f.targets.Get(name)
	return max(0, target-e.Versions[name])
}

// rebalance moves one engine from the model with the most engines to the one with the fewest when they differ by two.
func (f *Fleet) rebalance(counts map[model.ModelName]int) {
	var most *engine
	for _, e := range f.engines.All() {
		if e.Leaving || e.model == "" || e.order != nil {
			continue
		}
		if most == nil || counts[e.model] > counts[most.model] {
			most = e
		}
	}
	if most == nil {
		return
	}
	target := most.model
	for _, name := range most.Models {
		if counts[name] < counts[target] {
			target = name
		}
	}
	if counts[most.model]-counts[target] >= 2 {
		most.model = target
	}
}
