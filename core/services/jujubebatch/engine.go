package jujubebatch

import (
	"cmp"
	"slices"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubeprompt"
)

// Engine describes an endpoint: a model engine, or a plain server, which has no versions and is assigned no items.
type Engine struct {
	ID          model.EndpointID
	Incarnation model.Incarnation
	Service     model.ServiceName
	// SoftwareVersion is empty if the engine doesn't report it; its texts then can't be continued.
	SoftwareVersion model.SoftwareVersion
	Address         string
	DataCentre      model.DataCentre
	// Slots is how many requests the engine runs concurrently.
	Slots   int
	Leaving bool
	// Versions are the weight versions that the engine last reported.
	Versions map[model.ModelName]model.WeightVersion
}

// engine is an Engine with this instance's observations of it.
type engine struct {
	Engine
	// inFlight counts this instance's runs on the engine.
	inFlight int
	// assigned counts the items without a result that this instance runs on the engine, has delegated to its gateway or is
	// going to.
	assigned int
	// remoteLoad is how many further items the gateway reported at remoteLoadAt.
	remoteLoad   int
	remoteLoadAt time.Time
	// gateway is the instance through which items reach the engine; empty for none.
	gateway model.InstanceID
	// isLimited is true while the engine names a rate of requests; throttledUntil delays new runs until it may get another one.
	isLimited      bool
	throttledUntil time.Time
	// avoidUntil delays new runs after a failure; loadingUntil delays those of one model.
	avoidUntil   time.Time
	loadingUntil map[model.ModelName]time.Time
	intervals    engineIntervals
	// lastEventAt is the time of the latest event of any run of this instance. stalls counts how often the engine has
	// fallen silent since.
	lastEventAt time.Time
	stalls      int
	// minSilenceLimit is a lower bound for the engine's silence limit: twice the limit at which a run was last cancelled
	// before the engine had a baseline. It is zero once there is one.
	minSilenceLimit time.Duration
	// memory is the estimate of what the engine's process keeps of prompts.
	memory *jujubeprompt.Memory
}

const (
	// queueFactor is how many items are assigned per slot. Engines queue a few more requests than they run, and a queued
	// request starts without a round trip.
	queueFactor = 1.25
)

// PutEngine adds or updates an engine. An engine with a higher incarnation has restarted and lost its requests.
func (s *Scheduler) PutEngine(e Engine) {
	known, ok := s.engines.Get(e.ID)
	if !ok || e.Incarnation > known.Incarnation {
		if ok {
			if e.SoftwareVersion == "" || e.SoftwareVersion != known.SoftwareVersion {
				s.DropTextsOnEngine(e.ID)
			}
			s.cancelRuns(known, "the engine has restarted")
			s.unassignAll(e.ID)
		}
		known = &engine{loadingUntil: map[model.ModelName]time.Time{}, memory: jujubeprompt.NewMemory(s.prompts.memory)}
		s.engines.Put(e.ID, known)
		s.isFleetMeasured = false
	} else if e.Incarnation < known.Incarnation {
		return
	}
	for name, version := range known.Versions {
		if e.Versions[name] < version && e.Versions != nil {
			e.Versions[name] = version // a run reported a newer version before the instance list did
		}
	}
	hasMoved := known.ID == "" || known.DataCentre != e.DataCentre
	known.Engine = e
	if hasMoved {
		s.selectGateway(known)
	}
	s.trackEngine(known)
}

// EngineState returns the current description of an engine.
func (s *Scheduler) EngineState(id model.EndpointID) (Engine, bool) {
	e, ok := s.engines.Get(id)
	if !ok {
		return Engine{}, false
	}
	return e.Engine, true
}

// HasEndpoint reports whether a service has an endpoint that isn't leaving.
func (s *Scheduler) HasEndpoint(service model.ServiceName) bool {
	for _, e := range s.engines.All() {
		if e.Service == service && !e.Leaving {
			return true
		}
	}
	return false
}

// EngineAt returns the endpoint with an address.
func (s *Scheduler) EngineAt(address string) (Engine, bool) {
	for _, e := range s.engines.All() {
		if e.Address == address {
			return e.Engine, true
		}
	}
	return Engine{}, false
}

// EngineAddressesAfter returns the addresses of up to count endpoints that aren't leaving, in turn: the one with an address, if
// there is one, and those that follow it.
func (s *Scheduler) EngineAddressesAfter(address string, count int) []string {
	var addresses []string
	first := 0
	for _, e := range s.engines.All() {
		if e.Leaving {
			continue
		}
		if e.Address == address {
			first = len(addresses)
		}
		addresses = append(addresses, e.Address)
	}
	rotated := slices.Concat(addresses[first:], addresses[:first])
	return rotated[:min(count, len(rotated))]
}

// ForgetFailures lets runs start on all engines again, when their failures were those of this instance's links.
func (s *Scheduler) ForgetFailures() {
	for _, e := range s.engines.All() {
		e.avoidUntil, e.stalls = time.Time{}, 0
	}
	for _, submission := range s.openSubmissions() {
		for item := range submission.modified() {
			item.earlyBreaks = 0
		}
	}
}

// RemoveEngine removes an engine. Its runs continue on other engines once their connections break.
func (s *Scheduler) RemoveEngine(id model.EndpointID) {
	s.engines.Delete(id)
	s.isFleetMeasured = false
	s.unassignAll(id)
}

// Gateway returns the instance through which requests reach an endpoint; empty for none.
func (s *Scheduler) Gateway(id model.EndpointID) model.InstanceID {
	e, ok := s.engines.Get(id)
	if !ok {
		return ""
	}
	return e.gateway
}

// SetLimited sets whether an engine names a rate of requests that it accepts. Without one it isn't throttled any more.
func (s *Scheduler) SetLimited(id model.EndpointID, limited bool) {
	e, ok := s.engines.Get(id)
	if !ok {
		return
	}
	e.isLimited = limited
	if !limited {
		e.throttledUntil = time.Time{}
	}
}

// Throttle delays new runs on an engine that may get no request before the given time.
func (s *Scheduler) Throttle(id model.EndpointID, until time.Time) {
	if e, ok := s.engines.Get(id); ok && e.throttledUntil.Before(until) {
		e.throttledUntil = until
	}
}

// ThrottledFor returns how long an engine may get no request; zero if it may get one now.
func (s *Scheduler) ThrottledFor(now time.Time, id model.EndpointID) time.Duration {
	e, ok := s.engines.Get(id)
	if !ok {
		return 0
	}
	return max(0, e.throttledUntil.Sub(now))
}

// MarkLoading delays new runs of a model on an engine that is loading its weights.
func (s *Scheduler) MarkLoading(id model.EndpointID, name model.ModelName, until time.Time) {
	if e, ok := s.engines.Get(id); ok && e.loadingUntil[name].Before(until) {
		e.loadingUntil[name] = until
	}
}

// SetVersion records a weight version with which an engine has responded.
func (s *Scheduler) SetVersion(id model.EndpointID, name model.ModelName, version model.WeightVersion) {
	if e, ok := s.engines.Get(id); ok && e.Versions[name] < version {
		if e.Versions == nil {
			e.Versions = map[model.ModelName]model.WeightVersion{}
		}
		e.Versions[name] = version
		delete(e.loadingUntil, name)
		e.memory.SetVersion(name, version)
	}
}

// DropTextsOnEngine drops the texts of the runs on an engine that has restarted with another software version. A run that was
// sent before the restart became known may have reached either version.
func (s *Scheduler) DropTextsOnEngine(id model.EndpointID) {
	for _, r := range s.runs.All() {
		if r.engine == id {
			s.dropUnfitText(r.item, "the engine may have restarted with another software version")
		}
	}
}

func (s *Scheduler) cancelRuns(e *engine, reason string) {
	for _, r := range s.runs.All() {
		if r.engine == e.ID {
			s.cancelRun(r, reason)
		}
	}
}

// maxAssigned is how many items may be assigned to an engine at a time. The gateway of one that names a rate accepts them one by
// one, so that the others don't wait for a permit while another engine has a free slot.
func (s *Scheduler) maxAssigned(e *engine) int {
	if e.isLimited && e.gateway == s.self {
		return min(e.inFlight+1, max(1, e.Slots))
	}
	return max(1, int(queueFactor*float64(e.Slots)))
}

// selectEngine returns the engine that should run an item, or nil if all eligible engines are full. Slow engines are
// selected only if all are slow. Engines with a free slot come before those with only queue space, and among them the
// faster hardware comes first. It gets the longest items, which are assigned first and determine how long a step takes.
// Among equals, engines that the next steps of other models will need come last.
func (s *Scheduler) selectEngine(now time.Time, item *item, service model.ServiceName, singleVersion bool, fleet fleetIntervals) *engine {
	return s.selectBest(now, item, fleet, func(e *engine) bool { return s.isEligible(now, e, item, service, singleVersion) })
}

// selectUsableEngine returns the engine that should run an item if it started anew.
func (s *Scheduler) selectUsableEngine(now time.Time, item *item, service model.ServiceName, fleet fleetIntervals) *engine {
	return s.selectBest(now, item, fleet, func(e *engine) bool { return s.isUsable(now, e, item, service) })
}

// selectBest returns the best engine with room among those that are allowed: the one on which the item costs the least time, of those
// that rank highest, or the first of them if its prompt isn't known.
func (s *Scheduler) selectBest(now time.Time, item *item, fleet fleetIntervals, isAllowed func(e *engine) bool) *engine {
	if s.settings.UnevenEngines {
		return s.place(now, item, fleet, isAllowed)
	}
	var bestRank engineRank
	best := s.prompts.candidates[:0]
	for _, e := range s.engines.All() {
		load := s.estimateLoad(now, e)
		if load >= s.maxAssigned(e) || !isAllowed(e) {
			continue
		}
		rank := s.rankEngine(e, item, load, fleet)
		switch order := rank.compare(bestRank); {
		case len(best) == 0 || order < 0:
			best, bestRank = append(best[:0], engineLoad{e, load}), rank
		case order == 0:
			best = append(best, engineLoad{e, load})
		}
	}
	s.prompts.candidates = best
	return s.chooseEngine(now, item, best)
}

// engineClass is the first criterion by which engines are ranked for an item; lower is better.
type engineClass int

const (
	classFree engineClass = iota
	// classSlowHardware engines have a free slot but slower hardware.
	classSlowHardware
	// classQueued engines have only queue space.
	classQueued
	classSlow
	// classNoMemory engines have no memory for the item beside those that they have.
	classNoMemory
)

// engineRank ranks engines for an item; lower is better.
type engineRank struct {
	class engineClass
	// competingModels counts the other models whose next step can run on the engine.
	competingModels int
	// load is the load per slot; zero if the cost decides instead.
	load float64
}

func (s *Scheduler) rankEngine(e *engine, item *item, load int, fleet fleetIntervals) engineRank {
	rank := engineRank{competingModels: s.countCompetingModels(e, item.submission.Model)}
	if !s.weighsPrompt(item) {
		rank.load = float64(load) / float64(max(1, e.Slots))
	}
	switch {
	case !s.hasMemory(e, item, load):
		rank.class = classNoMemory
	case s.isSlow(e, fleet):
		rank.class = classSlow
	case load >= e.Slots:
		rank.class = classQueued
	case fleet.hasSlowHardware(e):
		rank.class = classSlowHardware
	}
	return rank
}

func (r engineRank) compare(other engineRank) int {
	return cmp.Or(cmp.Compare(r.class, other.class), cmp.Compare(r.competingModels, other.competingModels), cmp.Compare(r.load, other.load))
}

// countCompetingModels counts the other models for which the engine has a newer version than their latest step requires.
func (s *Scheduler) countCompetingModels(e *engine, except model.ModelName) int {
	count := 0
	for name, version := range e.Versions {
		if minVersion, ok := s.latestMinVersions[name]; ok && name != except && version > minVersion {
			count++
		}
	}
	return count
}

// isEligible reports whether an engine may run an item now and continue its text.
func (s *Scheduler) isEligible(now time.Time, e *engine, item *item, service model.ServiceName, singleVersion bool) bool {
	return item.fitsEngine(e, singleVersion) && s.isUsable(now, e, item, service)
}

// isUsable reports whether an engine may run an item now if it starts anew.
func (s *Scheduler) isUsable(now time.Time, e *engine, item *item, service model.ServiceName) bool {
	name := item.submission.Model
	if e.Service != service || e.Leaving || e.Versions[name] < item.submission.MinVersion {
		return false
	}
	return !now.Before(e.avoidUntil) && !now.Before(e.throttledUntil) && !now.Before(e.loadingUntil[name])
}
