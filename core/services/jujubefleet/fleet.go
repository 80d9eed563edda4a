// Package jujubefleet decides which engine loads which weight version, where each engine holds several models at once and
// only a few engines may load at the same time.
//
// Loads are scarce: with 11 engines, two loads at once and 0.9 s for each, nine fit between two versions that are 4 s
// apart, for all models together. A step takes engines with its version or the one before, so an engine that loads each
// second version serves all the time. Each model therefore has about twice the engines that can load a version, an engine
// may belong to several models, and those go first whose weights no step takes any more.
package jujubefleet

import (
	"math"
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
	Engine model.EndpointID
	// Incarnation is the engine's, as the leader knows it.
	Incarnation model.Incarnation
	Address     string
	Model       model.ModelName
	Version     model.WeightVersion
	Mode        Mode
	Fence       int64
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
	// Spread is how many engines a model has, as a multiple of its equal part of all engines. The platform's loads suffice
	// for about 0.8 of that part each version, and each load lasts for two versions.
	Spread float64
	// LoadShare is the share of the engines that load at once. Beyond a fifth each load takes longer, but all together
	// take less time; with more than a third the engines that are left are too few.
	LoadShare float64
	// LoadTime is how long an engine is expected to load; its state is read after that.
	LoadTime time.Duration
	// OrderTimeout is when an order without an outcome is given up and the engine's state is read again.
	OrderTimeout time.Duration
	// EndPoll is the time between two readings of an engine whose load is about to end; its report is 100 ms old.
	EndPoll time.Duration
	// RetryPause keeps a refusing or silent engine from being asked again at once.
	RetryPause time.Duration
	// LeaseTime is how long an engine takes no orders from another instance than the last one.
	LeaseTime time.Duration
}

// DefaultSettings returns the constants for engines that load in about 0.9 s, and 3 of 11 at once.
func DefaultSettings() Settings {
	return Settings{
		Spread: 1.6, LoadShare: 0.28, LoadTime: 950 * time.Millisecond, OrderTimeout: 4 * time.Second,
		EndPoll: 120 * time.Millisecond, RetryPause: 400 * time.Millisecond, LeaseTime: 3 * time.Second,
	}
}

type engine struct {
	Engine
	// models are those that this engine keeps up to date, sorted.
	models []model.ModelName
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
	// heldBy and heldAt are the latest order that was announced by any instance.
	heldBy model.InstanceID
	heldAt time.Time
}

// Fleet is owned by one goroutine at a time. Each instance keeps it; only the leader orders.
type Fleet struct {
	settings Settings
	self     model.InstanceID
	engines  *jujubetable.Table[model.EndpointID, *engine]
	targets  *jujubetable.Table[model.ModelName, *target]
	single   bool
}

// target is the newest version of a model.
type target struct {
	version model.WeightVersion
}

// New returns a fleet without engines or targets.
func New(self model.InstanceID, settings Settings) *Fleet {
	return &Fleet{
		settings: settings, self: self, engines: jujubetable.New[model.EndpointID, *engine](),
		targets: jujubetable.New[model.ModelName, *target](),
	}
}

// SetSingle says whether results must come from one version, so that runs have to finish before a load.
func (f *Fleet) SetSingle(single bool) { f.single = single }

// Announce sets a model's newest version; lower ones have no effect.
func (f *Fleet) Announce(name model.ModelName, version model.WeightVersion) bool {
	t, ok := f.targets.Get(name)
	if !ok {
		t = &target{}
		f.targets.Put(name, t)
	}
	if version <= t.version {
		return false
	}
	t.version = version
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
	case e.busy && e.order != nil:
		e.readAt = now.Add(f.settings.EndPoll)
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

// settle ends an engine's order. That the engine was busy when it was last read doesn't hold any more.
func (f *Fleet) settle(e *engine) { e.order, e.busy, e.readAt = nil, false, time.Time{} }

// NoteHolder takes an instance's announcement that it orders an engine. An instance announces each order before it gives
// it, so the next one that leads knows which engines it has to leave alone for a while and which it may order at once.
func (f *Fleet) NoteHolder(now time.Time, id model.EndpointID, holder model.InstanceID) {
	if e, ok := f.engines.Get(id); ok {
		e.heldBy, e.heldAt = holder, now
	}
}

// isForeign tells whether another instance has ordered an engine within the lease time.
func (f *Fleet) isForeign(now time.Time, e *engine) bool {
	return e.heldBy != "" && e.heldBy != f.self && now.Sub(e.heldAt) < f.settings.LeaseTime
}

// Outstanding returns the order that an engine carries out.
func (f *Fleet) Outstanding(id model.EndpointID) (Order, bool) {
	e, ok := f.engines.Get(id)
	if !ok || e.order == nil {
		return Order{}, false
	}
	return *e.order, true
}

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

// maxDue is how many engines are read at once. Each reading opens a connection to an engine that was not asked before; at
// 25 rounds a second 3,000 engines take two seconds.
const maxDue = 64

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
		if len(due) == maxDue {
			break // the others are due in the next round
		}
		e.readAt = now.Add(f.settings.RetryPause / 2)
		due = append(due, e.Engine)
	}
	return due
}

// Plan returns the orders to give now under a fence.
func (f *Fleet) Plan(now time.Time, fence int64) []Order {
	f.assign()
	count, busy, ending := 0, 0, 0
	for _, e := range f.engines.All() {
		if e.order != nil && now.Sub(e.orderedAt) > f.settings.OrderTimeout {
			f.settle(e)
			e.read = false // what became of the order shows in the engine's own report
		}
		if e.Leaving {
			continue
		}
		count++
		switch {
		case e.order == nil && !e.busy:
		case e.order != nil && now.Sub(e.orderedAt) >= f.settings.LoadTime:
			ending++ // its state is about to be read; the next load needn't wait for that
		default:
			busy++
		}
	}
	most := max(1, int(math.Round(f.settings.LoadShare*float64(count))))
	var orders []Order
	for busy < most && busy+ending < most+most/4 {
		e, name := f.next(now, busy, most)
		if e == nil {
			break
		}
		t, _ := f.targets.Get(name)
		order := Order{
			Engine: e.ID, Incarnation: e.Incarnation, Address: e.Address, Model: name, Version: t.version, Mode: Retain, Fence: fence, Expected: e.Accepted,
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
