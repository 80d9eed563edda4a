// Package jujubefleet decides which engine loads which weight version, where each engine holds several models at once and
// only a few engines may load at the same time.
//
// Load capacity is scarce: with 11 engines, two concurrent loads and 0.9 s per load, nine loads of all models together fit
// between two versions that are 4 s apart. A step accepts engines with its version or the one before, so an engine that
// loads every second version serves all the time. Each model is therefore assigned about twice as many engines as can load
// a version, an engine may be assigned to several models, and the engines whose weights no step accepts any more load
// first.
package jujubefleet

import (
	"math"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/models/jujubetable"
)

// Mode determines how an engine treats its runs when it loads a model.
type Mode string

// Modes of an order.
const (
	// Retain continues runs with the new weights.
	Retain Mode = "Retain"
	// Await waits for runs to finish before the load.
	Await Mode = "Await"
)

// Order requests an engine to load a version.
type Order struct {
	Engine model.EndpointID
	// Incarnation is the engine's incarnation known to the leader.
	Incarnation model.Incarnation
	Address     string
	Model       model.ModelName
	Version     model.WeightVersion
	Mode        Mode
	Fence       int64
	// Expected is the number of orders that the engine has accepted so far. The engine refuses the order if that number has
	// changed, so that an order that arrives late has no effect.
	Expected int64
}

// Engine is the state of an engine as known to the instance that sends the orders.
type Engine struct {
	ID          model.EndpointID
	Incarnation model.Incarnation
	Service     model.ServiceName
	Address     string
	Leaving     bool
	Models      []model.ModelName
	Versions    map[model.ModelName]model.WeightVersion
}

// Settings holds the constants of the rollout of weights.
type Settings struct {
	// Spread is the number of engines per model, as a multiple of an equal share of all engines. The platform's load
	// capacity suffices for about 0.8 of that share per version, and each load serves two versions.
	Spread float64
	// LoadShare is the share of the engines that may load at the same time. Above a fifth each load takes longer, but all
	// loads together take less time. Above a third too few engines are left to serve.
	LoadShare float64
	// LoadTime is the expected duration of a load, after which the engine's state is polled.
	LoadTime time.Duration
	// OrderTimeout is how long to wait for an order's outcome. Then the order is abandoned and the engine's state is polled
	// again.
	OrderTimeout time.Duration
	// EndPollInterval is the interval at which an engine is polled whose load is about to end. An engine's report is 100 ms old.
	EndPollInterval time.Duration
	// RetryDelay is the delay before an engine that refused or didn't respond is contacted again.
	RetryDelay time.Duration
	// LeaseTime is how long an engine accepts orders only from the instance that sent the last one.
	LeaseTime time.Duration
}

// DefaultSettings returns the settings for engines that load in about 0.9 s, where 3 of 11 engines may load at the same
// time.
func DefaultSettings() Settings {
	return Settings{
		Spread: 1.6, LoadShare: 0.28, LoadTime: 950 * time.Millisecond, OrderTimeout: 4 * time.Second,
		EndPollInterval: 120 * time.Millisecond, RetryDelay: 400 * time.Millisecond, LeaseTime: 3 * time.Second,
	}
}

// engine is an engine with its assignment and the state of its order.
type engine struct {
	Engine
	// assignedModels are the models that this engine keeps up to date, sorted.
	assignedModels []model.ModelName
	// isReported is true once the engine's own report was received; until then acceptedOrders is unknown.
	isReported bool
	// acceptedOrders is the known number of orders that the engine has accepted since its start.
	acceptedOrders int64
	// busy is true while the engine reports that it executes an order.
	busy bool
	// order is the order that the engine is assumed to execute; nil for none.
	order     *Order
	orderedAt time.Time
	// pollAt is when the engine's state has to be polled; zero if nothing is awaited.
	pollAt  time.Time
	retryAt time.Time
	// isLimited is true while the engine names a rate of requests, so that it serves fewer items than others.
	isLimited bool
	// holder is the instance that last announced an order to this engine, at holderAnnouncedAt.
	holder            model.InstanceID
	holderAnnouncedAt time.Time
}

// Fleet plans the loads of all engines. It is owned by one goroutine at a time. Each instance maintains a Fleet, but only
// the leader sends orders.
type Fleet struct {
	settings      Settings
	self          model.InstanceID
	engines       *jujubetable.Table[model.EndpointID, *engine]
	targets       *jujubetable.Table[model.ModelName, *target]
	singleVersion bool
	// routed holds the services that a route sends requests to; nil while that is unknown.
	routed map[model.ServiceName]bool
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

// SetSingleVersion sets whether each result must come from a single version, so that runs have to finish before a load.
func (f *Fleet) SetSingleVersion(single bool) { f.singleVersion = single }

// SetRoutedServices sets the services that a route sends requests to. Their engines load before others.
func (f *Fleet) SetRoutedServices(routed map[model.ServiceName]bool) { f.routed = routed }

func (f *Fleet) isRouted(service model.ServiceName) bool { return f.routed == nil || f.routed[service] }

// SetTargetVersion sets a model's newest version and reports whether it changed. Lower versions have no effect.
func (f *Fleet) SetTargetVersion(name model.ModelName, version model.WeightVersion) bool {
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

// PutEngine adds or updates an engine. A higher incarnation replaces all state, because the new process has no record of
// the orders of its predecessor.
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
	known.Service, known.Address, known.Leaving, known.Models = e.Service, e.Address, e.Leaving, e.Models
	for name, version := range e.Versions {
		f.SetVersion(e.ID, name, version)
	}
}

// Report is the state that an engine returns when it is polled.
type Report struct {
	Engine      model.EndpointID
	Incarnation model.Incarnation
	Versions    map[model.ModelName]model.WeightVersion
	// Accepted is the number of orders that the engine has accepted since its start.
	Accepted int64
	// Busy is true while the engine executes an order.
	Busy bool
}

// ApplyReport applies an engine's state, which may be some hundred milliseconds old.
func (f *Fleet) ApplyReport(now time.Time, report Report) {
	e, ok := f.engines.Get(report.Engine)
	if !ok || report.Incarnation != e.Incarnation || report.Accepted < e.acceptedOrders {
		return
	}
	e.isReported, e.acceptedOrders, e.busy = true, report.Accepted, report.Busy
	for name, version := range report.Versions {
		f.SetVersion(report.Engine, name, version)
	}
	switch {
	case e.busy && e.order != nil:
		e.pollAt = now.Add(f.settings.EndPollInterval)
	case e.busy:
		e.pollAt = now.Add(f.settings.RetryDelay)
	case e.order == nil:
		e.pollAt = time.Time{}
	case report.Accepted > e.order.Expected && now.Sub(e.orderedAt) > f.settings.LoadTime:
		f.clearOrder(e) // the load has ended, successfully or not
	case report.Accepted == e.order.Expected && now.Sub(e.orderedAt) > f.settings.LoadTime:
		f.clearOrder(e) // the order was lost; if it arrives later, the engine refuses it because of its outdated Expected
	}
}

// clearOrder removes an engine's order. It also resets busy, as the engine's last report is outdated.
func (f *Fleet) clearOrder(e *engine) { e.order, e.busy, e.pollAt = nil, false, time.Time{} }

// RecordHolder records an instance's announcement that it sends an order to an engine. An instance announces each order
// before it sends it, so that the next leader has a record of which engines don't accept its orders until the lease has
// expired and which it may order at once.
func (f *Fleet) RecordHolder(now time.Time, id model.EndpointID, holder model.InstanceID) {
	if e, ok := f.engines.Get(id); ok {
		e.holder, e.holderAnnouncedAt = holder, now
	}
}

// SetLimited sets whether an engine names a rate of requests that it accepts.
func (f *Fleet) SetLimited(id model.EndpointID, limited bool) {
	if e, ok := f.engines.Get(id); ok {
		e.isLimited = limited
	}
}

// isHeldByOther reports whether another instance has announced an order to an engine within the lease time.
func (f *Fleet) isHeldByOther(now time.Time, e *engine) bool {
	return e.holder != "" && e.holder != f.self && now.Sub(e.holderAnnouncedAt) < f.settings.LeaseTime
}

// OutstandingOrder returns the order that an engine is assumed to execute.
func (f *Fleet) OutstandingOrder(id model.EndpointID) (Order, bool) {
	e, ok := f.engines.Get(id)
	if !ok || e.order == nil {
		return Order{}, false
	}
	return *e.order, true
}

// RemoveEngine removes an engine.
func (f *Fleet) RemoveEngine(id model.EndpointID) { f.engines.Delete(id) }

// Outcome is the outcome of an order.
type Outcome string

// Outcomes of an order.
const (
	// Started means that the engine loads the version.
	Started Outcome = "Started"
	// Holds means that the engine already has the version.
	Holds Outcome = "Holds"
	// Refused means that the engine refused the order; its state has to be polled.
	Refused Outcome = "Refused"
	// Fenced means that the engine has received a higher fencing token.
	Fenced Outcome = "Fenced"
	// Unknown means that there was no response; the order may be executed later.
	Unknown Outcome = "Unknown"
	// Unsent means that the order wasn't sent, because the engine's rate of requests was used up.
	Unsent Outcome = "Unsent"
)

// HandleOutcome applies the outcome of an order.
func (f *Fleet) HandleOutcome(now time.Time, order Order, outcome Outcome) {
	e, ok := f.engines.Get(order.Engine)
	if !ok || e.order == nil || e.order.Version != order.Version || e.order.Model != order.Model {
		return
	}
	switch outcome {
	case Started:
		e.acceptedOrders = max(e.acceptedOrders, order.Expected+1)
		e.pollAt = now.Add(f.settings.LoadTime)
	case Holds:
		e.setVersion(order.Model, order.Version)
		f.clearOrder(e)
	case Refused, Fenced:
		f.clearOrder(e)
		e.retryAt, e.pollAt = now.Add(f.settings.RetryDelay), now
	case Unknown:
		e.pollAt = now.Add(f.settings.RetryDelay)
	case Unsent:
		f.clearOrder(e)
		e.retryAt = now.Add(f.settings.RetryDelay)
	}
}

func (e *engine) setVersion(name model.ModelName, version model.WeightVersion) {
	if e.Versions == nil {
		e.Versions = map[model.ModelName]model.WeightVersion{}
	}
	e.Versions[name] = max(e.Versions[name], version)
}

// SetVersion records a version that an engine is known to have. It ends an order to load that version or a lower one.
func (f *Fleet) SetVersion(id model.EndpointID, name model.ModelName, version model.WeightVersion) {
	if e, ok := f.engines.Get(id); ok && e.Versions[name] < version {
		e.setVersion(name, version)
		if e.order != nil && e.order.Model == name && version >= e.order.Version {
			f.clearOrder(e)
		}
	}
}

// maxPollsPerRound limits how many engines are polled per round. Each poll opens a connection to an engine that was not
// polled before. At 25 rounds a second, 3,000 engines take two seconds.
const maxPollsPerRound = 64

// EnginesToPoll returns the engines whose state has to be polled now, and postpones their next poll.
func (f *Fleet) EnginesToPoll(now time.Time) []Engine {
	var due []Engine
	for _, e := range f.engines.All() {
		if !e.isReported && e.pollAt.IsZero() {
			e.pollAt = now
		}
		if e.pollAt.IsZero() || now.Before(e.pollAt) {
			continue
		}
		if len(due) == maxPollsPerRound {
			break // the others are polled in the next round
		}
		e.pollAt = now.Add(f.settings.RetryDelay / 2)
		due = append(due, e.Engine)
	}
	return due
}

// Plan returns the orders to send now with a fencing token.
func (f *Fleet) Plan(now time.Time, fencingToken int64) []Order {
	f.assignModels()
	count, busy, ending := 0, 0, 0
	for _, e := range f.engines.All() {
		if e.order != nil && now.Sub(e.orderedAt) > f.settings.OrderTimeout {
			f.clearOrder(e)
			e.isReported = false // the engine's own report has to show whether it executed the order
		}
		if e.Leaving {
			continue
		}
		count++
		switch {
		case e.order == nil && !e.busy:
		case e.order != nil && now.Sub(e.orderedAt) >= f.settings.LoadTime:
			ending++ // its state is about to be polled; the next load needn't wait for that
		default:
			busy++
		}
	}
	maxLoads := max(1, int(math.Round(f.settings.LoadShare*float64(count))))
	var orders []Order
	for busy < maxLoads && busy+ending < maxLoads+maxLoads/4 {
		e, name := f.nextLoad(now, busy, maxLoads)
		if e == nil {
			break
		}
		t, _ := f.targets.Get(name)
		order := Order{
			Engine: e.ID, Incarnation: e.Incarnation, Address: e.Address, Model: name, Version: t.version, Mode: Retain, Fence: fencingToken, Expected: e.acceptedOrders,
		}
		if f.singleVersion {
			order.Mode = Await
		}
		e.order, e.orderedAt, e.pollAt = &order, now, now.Add(f.settings.OrderTimeout)
		orders = append(orders, order)
		busy++
	}
	return orders
}
