package jujubebatch

import (
	"cmp"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubeplacement"
)

// offeredPlacement is the reason for the engine of an item that another instance delegated to this one.
const offeredPlacement jujubeplacement.Reason = "Offered"

// place returns the engine that the placement policy selects among those that are allowed, or nil if none has room. Engines without
// memory for the item are used only if no other has room. Of the engines that are as good as the selected one, the cost of the prompt
// decides.
func (s *Scheduler) place(now time.Time, item *item, fleet fleetIntervals, isAllowed func(e *engine) bool) *engine {
	if !s.hasRoom(now, isAllowed) {
		return nil
	}
	if e := s.placeAmong(now, item, fleet, func(e *engine) bool {
		return isAllowed(e) && s.hasMemory(e, item, s.estimateLoad(now, e))
	}); e != nil {
		return e
	}
	return s.placeAmong(now, item, fleet, isAllowed)
}

// hasRoom reports whether an engine among those that are allowed may be assigned a further item.
func (s *Scheduler) hasRoom(now time.Time, isAllowed func(e *engine) bool) bool {
	for _, e := range s.engines.All() {
		if s.estimateLoad(now, e) < s.maxAssigned(e) && isAllowed(e) {
			return true
		}
	}
	return false
}

func (s *Scheduler) placeAmong(now time.Time, item *item, fleet fleetIntervals, isAllowed func(e *engine) bool) *engine {
	s.candidates, s.candidateEngines = s.candidates[:0], s.candidateEngines[:0]
	for _, e := range s.engines.All() {
		if !isAllowed(e) {
			continue
		}
		candidate := s.describeEngine(now, e, item, fleet)
		s.candidates, s.candidateEngines = append(s.candidates, candidate), append(s.candidateEngines, e)
	}
	var policy jujubeplacement.Policy = jujubeplacement.ByFinish{}
	if s.settings.Placement != nil {
		policy = s.settings.Placement
	}
	choice, ok := policy.Choose(s.describeItem(item, item.textLength()), s.candidates)
	if !ok {
		return nil
	}
	item.modify().choice = choice
	equals := s.prompts.candidates[:0]
	for i, candidate := range s.candidates {
		if i == choice.Index || jujubeplacement.IsEqual(s.candidates[choice.Index], candidate) {
			equals = append(equals, engineLoad{s.candidateEngines[i], candidate.Load})
		}
	}
	s.prompts.candidates = equals
	if len(equals) == 1 || !s.weighsPrompt(item) {
		return s.candidateEngines[choice.Index]
	}
	return s.chooseEngine(now, item, equals)
}

func (s *Scheduler) describeEngine(now time.Time, e *engine, item *item, fleet fleetIntervals) jujubeplacement.Engine {
	return jujubeplacement.Engine{
		Slots: e.Slots, Load: s.estimateLoad(now, e), MaxLoad: s.maxAssigned(e), Interval: expectedInterval(e, fleet),
		CompetingModels: s.countCompetingModels(e, item.submission.Model),
	}
}

func (s *Scheduler) describeItem(item *item, done int) jujubeplacement.Item {
	lengths := s.lengthsOf(item.submission.Model)
	return jujubeplacement.Item{
		Events:     lengths.Remaining(item.ExpectedTokens, done),
		StepEvents: item.submission.stepEvents,
		MeanEvents: lengths.Mean(),
	}
}

// lengthsOf returns the estimates for a model's items.
func (s *Scheduler) lengthsOf(name model.ModelName) *jujubeplacement.Lengths {
	lengths, ok := s.lengths[name]
	if !ok {
		lengths = &jujubeplacement.Lengths{}
		s.lengths[name] = lengths
	}
	return lengths
}

// expectedInterval returns an engine's usual event interval, or the recent one while its work is disturbed.
func expectedInterval(e *engine, fleet fleetIntervals) time.Duration {
	usual := cmp.Or(fleet.typicalBaseline, defaultEventInterval)
	if e.intervals.hasBaseline() {
		usual = e.intervals.baseline
	}
	if float64(e.intervals.recent) > baselineCutoff*float64(usual) {
		return e.intervals.recent
	}
	return usual
}

// describePlacement adds the expectations to the start of a run.
func (s *Scheduler) describePlacement(start *StartRun, item *item, e *engine, fleet fleetIntervals) {
	if !s.settings.UnevenEngines {
		return
	}
	described := s.describeItem(item, item.textLength())
	start.ExpectedEvents, start.Placement = int(described.Events), item.choice.Reason
	start.ExpectedFinish = jujubeplacement.Engine{
		Slots: e.Slots, Load: max(0, e.assigned-1), Interval: expectedInterval(e, fleet),
	}.Finish(described)
	if item.delegatedHere && item.offeredEngine == e.ID {
		start.Placement = offeredPlacement
	}
}

// minQueuedTime is how long a run waits for its first event before it counts as queued at a full engine. The first event of a run that has
// a slot takes one interval and the prompt.
const minQueuedTime = 150 * time.Millisecond

// selectFasterEngine returns the engine with a free slot on which a run is expected to end much earlier, and the reason for the move.
func (s *Scheduler) selectFasterEngine(now time.Time, r *run, fleet fleetIntervals) (to *engine, reason MoveReason) {
	item := r.item
	e, known := s.engines.Get(r.engine)
	route, found := s.matchRoute(item)
	if !known || !found || !route.HasTarget(e.Service) || route.SingleVersion && len(item.events) > 0 {
		return nil, "" // where the route has no such target any more, the run may end where it began, but no other one may begin there
	}
	isQueued := r.awaitsFirstEvent
	if isQueued && (e.inFlight <= e.Slots || now.Sub(r.startedAt) < minQueuedTime) {
		return nil, "" // the engine is about to start it, or loads weights
	}
	described := s.describeItem(item, len(item.events))
	here := jujubeplacement.Engine{Slots: e.Slots, Load: max(0, s.estimateLoad(now, e)-1), Interval: expectedInterval(e, fleet)}
	if !isQueued {
		here.Load = min(here.Load, max(0, here.Slots-1))
	}
	var finish time.Duration
	for _, other := range s.engines.All() {
		interval := expectedInterval(other, fleet)
		if other == e || !isQueued && (!other.intervals.hasBaseline() || interval >= here.Interval) {
			continue
		}
		load := s.estimateLoad(now, other)
		if load >= min(other.Slots, s.maxAssigned(other)) || !s.isEligible(now, other, item, e.Service, route.SingleVersion) {
			continue
		}
		there := jujubeplacement.Engine{Slots: other.Slots, Load: load, MaxLoad: other.Slots, Interval: interval}
		if !jujubeplacement.ShouldMove(described, here, there) {
			continue
		}
		if at := there.Finish(described); to == nil || at < finish {
			to, finish = other, at
		}
	}
	switch {
	case to == nil:
		return nil, ""
	case isQueued:
		return to, FreeSlot
	}
	return to, FasterEngine
}

// estimateLoad returns how many items of all instances the engine has or is about to get.
func (s *Scheduler) estimateLoad(now time.Time, e *engine) int {
	remoteLoad := e.remoteLoad
	switch age := now.Sub(e.remoteLoadAt); {
	case age > time.Second:
		remoteLoad = 0
	case age > remoteLoadTTL:
		remoteLoad = max(0, min(remoteLoad, s.maxAssigned(e)-probeItems-e.assigned))
	}
	return e.assigned + remoteLoad + s.countPendingOffers(e.ID)
}
