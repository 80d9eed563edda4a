package jujubebatch

import (
	"slices"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/models/jujubetable"
	"jujubepier.example/core/services/jujubedesired"
	"jujubepier.example/core/services/jujubeplacement"
)

// Scheduler assigns the items of submissions to engines, for one instance. It isn't safe for concurrent use.
type Scheduler struct {
	settings Settings
	self     model.InstanceID
	desired  *jujubedesired.State
	live     []Member
	// liveIDs has the ids of live.
	liveIDs     map[model.InstanceID]bool
	submissions *jujubetable.Table[SubmissionID, *submission]
	// heldBytes is the memory of all submissions, and memoryLimit that above which further ones are deferred; zero for none.
	heldBytes, memoryLimit int
	// deferred are the submissions that aren't kept for lack of memory, and deferredIDs has their ids, the earliest first.
	deferred    map[SubmissionID]*deferred
	deferredIDs []SubmissionID
	engines     *jujubetable.Table[model.EndpointID, *engine]
	runs        *jujubetable.Table[RunID, *run]
	// registryReadAt is a time up to which all entries of engines have been observed.
	registryReadAt time.Time
	// desiredReadAt is a time up to which all changes of the desired state have been read.
	desiredReadAt time.Time
	// resumedAt is when the process last went on after a pause.
	resumedAt time.Time
	scorings  *jujubetable.Table[RunID, *scoring]
	// scoringBudgets is how many more scoring calls may begin in the current tick, by service.
	scoringBudgets map[model.ServiceName]int
	// latestItems maps the hash of each item without a result to its state in the latest submission, since groups may be submitted
	// again.
	latestItems map[uint64]*item
	// latestMinVersions holds the minimum version of each model's latest step. The next step will require a newer one.
	latestMinVersions map[model.ModelName]model.WeightVersion
	// byReadTime is in the order of the submissions' records, byEndTime in the order of their end records.
	byReadTime []submissionTime
	byEndTime  []submissionTime
	// buried are the deleted submissions, the earliest first, and buriedIDs has their ids.
	buried    []submissionTime
	buriedIDs map[SubmissionID]bool
	// streams holds what began the callers' streams, by the attempt that brought the first event; streamsByTime has them in
	// the order in which they were read.
	streams       map[model.RequestID]StreamOrigin
	streamsByTime []retainedStream
	actions       []Action
	// offers are those of the current tick, one per instance.
	offers []OfferItems
	// pendingOffers are offers for submissions whose records, or the desired state under which they were accepted, haven't been read yet.
	pendingOffers []pendingOffer
	// unreachableUntil holds the time until which an instance that didn't respond is bypassed.
	unreachableUntil map[model.InstanceID]time.Time
	lastRunID        RunID
	// measuredFleet are the intervals at the latest tick. isFleetMeasured is true if none of the engines' intervals has changed since,
	// and measuredUntil is when the first of them expires; zero for none.
	measuredFleet   fleetIntervals
	isFleetMeasured bool
	measuredUntil   time.Time
	// lengths are estimated from the results of each model's submissions.
	lengths map[model.ModelName]*jujubeplacement.Lengths
	// candidates and candidateEngines are reused by place.
	candidates       []jujubeplacement.Engine
	candidateEngines []*engine
	draining         bool
	// isBehindLog is true while records are known to be unread. No run starts in that time, because the next record may
	// end its submission or be the item's result.
	isBehindLog bool
	// mayStart reports whether the view of the log is recent enough to start items of a submission; nil for always.
	mayStart func(id SubmissionID) bool
	// ticks counts the calls of Tick.
	ticks   int
	prompts prompts
	// holds has the submissions that haven't ended here and whose end an instance has in hand.
	holds map[SubmissionID]holds
}

// New returns a scheduler without submissions or engines.
func New(self model.InstanceID, settings Settings) *Scheduler {
	return &Scheduler{
		settings: settings, self: self, desired: &jujubedesired.State{}, liveIDs: make(map[model.InstanceID]bool),
		submissions:       jujubetable.New[SubmissionID, *submission](),
		engines:           jujubetable.New[model.EndpointID, *engine](),
		runs:              jujubetable.New[RunID, *run](),
		scorings:          jujubetable.New[RunID, *scoring](),
		latestItems:       make(map[uint64]*item),
		deferred:          make(map[SubmissionID]*deferred),
		latestMinVersions: make(map[model.ModelName]model.WeightVersion),
		unreachableUntil:  make(map[model.InstanceID]time.Time),
		streams:           make(map[model.RequestID]StreamOrigin),
		prompts:           newPrompts(settings),
		holds:             make(map[SubmissionID]holds),
		buriedIDs:         make(map[SubmissionID]bool),
		lengths:           make(map[model.ModelName]*jujubeplacement.Lengths),
	}
}

// SetDesired replaces the desired state.
func (s *Scheduler) SetDesired(state *jujubedesired.State) {
	s.desired = state
	for _, e := range s.engines.All() {
		s.setCapacity(e)
	}
}

// Drain prevents new runs; runs in flight continue.
func (s *Scheduler) Drain() { s.draining = true }

// SetLagging sets whether the submissions' topic is known to have unread records.
func (s *Scheduler) SetLagging(behind bool) { s.isBehindLog = behind }

// RunsInFlight returns the number of runs in flight.
func (s *Scheduler) RunsInFlight() int { return s.runs.Len() }

// Tick advances the scheduler to now and returns the actions to perform.
func (s *Scheduler) Tick(now time.Time) []Action {
	s.ticks++
	s.expireSubmissions(now)
	s.expireHolds(now)
	s.acceptPendingOffers(now)
	fleet := s.measureFleet(now)
	s.prompts.now, s.prompts.rates = now, s.prompts.estimator.Rates(fleet.goodBaseline)
	s.scoringBudgets, s.measuredFleet = nil, fleet
	var open []*submission
	for _, submission := range s.openSubmissions() {
		if s.mayHaveWork(submission) {
			open = append(open, submission)
		}
	}
	if s.settings.UnevenEngines {
		s.measureSteps(now, open, fleet)
	}
	s.checkRuns(now, fleet)
	if !s.draining && !s.isBehindLog {
		s.advanceItems(now, open, fleet)
	}
	for _, offer := range s.offers {
		s.actions = append(s.actions, offer)
	}
	actions := s.actions
	s.actions, s.offers = nil, nil
	return actions
}

// openSubmissions returns the submissions with unresolved items, the oldest first.
func (s *Scheduler) openSubmissions() []*submission {
	var open []*submission
	for _, submission := range s.submissions.All() {
		if !submission.ended && submission.unresolved > 0 {
			open = append(open, submission)
		}
	}
	slices.SortStableFunc(open, func(x, y *submission) int { return x.readAt.Compare(y.readAt) })
	return open
}

// startItems starts this instance's items on their assigned engines or delegates them to the engines' gateways.
func (s *Scheduler) startItems(now time.Time, submission *submission) {
	if !s.mayDecide(submission) {
		return
	}
	givenUp := 0
	for item := range s.startable(now, submission) {
		if item.hasResult || item.resultQueued || item.run != nil || now.Before(item.notBefore) || !s.isResponsible(now, item) {
			continue
		}
		route, ok := s.matchRoute(item)
		if s.mayGiveUp(now, item, route) {
			if givenUp++; givenUp <= maxGivenUpPerTick {
				s.cancelScoring(item, "the item is given up")
				s.queueResult(item, Errored)
			}
			continue
		}
		if item.unscored != nil {
			if s.allowsStart(submission) {
				s.startScoring(item)
			}
			continue
		}
		if !ok || item.assignedEngine == "" || item.hasUsedAttempts(route) {
			continue
		}
		e, ok := s.engines.Get(item.assignedEngine)
		if !ok || !route.HasTarget(e.Service) || !s.isEligible(now, e, item, e.Service, route.SingleVersion) {
			s.unassign(item)
			continue
		}
		if s.hasRemoteGateway(now, e) && item.offeredEngine != e.ID {
			s.delegate(now, item, e)
			continue
		}
		if s.allowsStart(submission) {
			s.startRun(now, item, e, route)
		}
	}
}

func (s *Scheduler) startRun(now time.Time, item *item, e *engine, route *jujubedesired.Route) {
	s.lastRunID++
	r := &run{
		id: s.lastRunID, item: item, engine: e.ID, softwareVersion: e.SoftwareVersion, startedAt: now, lastEventAt: now,
		awaitsFirstEvent: true,
	}
	item.run = r
	if item.loggedEvents < len(item.events) {
		item.loggedAt = now
	}
	s.runs.Put(r.id, r)
	start := StartRun{
		Run: r.id, Engine: e.ID, Incarnation: e.Incarnation, Address: e.Address, Submission: item.submission.ID, By: item.submission.By, Item: item.ID,
		Host: item.submission.Host, Path: item.Path, Organisation: item.submission.Organisation, IsEnforced: s.desired.Organisations != nil, InlineContent: item.given, Progress: item.progress, After: len(item.events),
		KnownVersion: e.Versions[item.submission.Model], InFlight: e.inFlight, Assigned: e.assigned, EventInterval: e.intervals.recent,
		SoftwareVersion: e.SoftwareVersion, PromptTokens: item.Prompt.Tokens(),
	}
	if item.promptUse != nil {
		start.KeptTokens = item.promptUse.Kept
	}
	start.TextSoftware, _ = item.textSoftware()
	start.Content, _ = item.contentPlace()
	if route.SingleVersion {
		start.ExpectVersion = start.KnownVersion
	}
	s.describePlacement(&start, item, e, s.measuredFleet)
	e.inFlight++
	s.actions = append(s.actions, start)
}

// queueResult requests that an item's result be appended to the log.
func (s *Scheduler) queueResult(item *item, state ResultState) {
	item.resultQueued = true
	result := &Result{Submission: item.submission.ID, Item: item.ID, State: state}
	switch {
	case state == Completed && item.unscored != nil:
		*result = *item.unscored
		result.State = Completed
	case state == Completed:
		result.Text, result.TextBytes = joinText(item.events)
		result.Versions, result.Events = item.versions, len(item.events)
	}
	s.actions = append(s.actions, AppendEntry{item.submission.ID, Entry{Result: result}})
}

// cancelRun cancels a run. The item keeps the events received so far.
func (s *Scheduler) cancelRun(r *run, reason string) {
	s.endRun(r, CancelRun{Run: r.id, Reason: reason})
}

// cancelSilentRun cancels a run whose engine has sent no event in time.
func (s *Scheduler) cancelSilentRun(r *run, reason string) {
	s.endRun(r, CancelRun{Run: r.id, Reason: reason, Silent: true})
}

func (s *Scheduler) endRun(r *run, cancel CancelRun) {
	if r.cancelled {
		return
	}
	r.cancelled = true
	s.actions = append(s.actions, cancel)
	s.removeRun(r)
	s.dropUnconfirmedText(r)
}

func (s *Scheduler) removeRun(r *run) {
	if _, ok := s.runs.Get(r.id); !ok {
		return
	}
	s.runs.Delete(r.id)
	if e, ok := s.engines.Get(r.engine); ok {
		e.inFlight = max(0, e.inFlight-1)
	}
	if r.item.run == r {
		r.item.run = nil
		s.unassign(r.item)
	}
}

// checkRuns cancels stalled runs, moves runs off slow engines and checkpoints long ones.
func (s *Scheduler) checkRuns(now time.Time, fleet fleetIntervals) {
	moves := 0
	for _, r := range s.runs.All() {
		item := r.item
		silenceLimit := s.silenceLimit(r, fleet)
		limit := max(s.settings.StallTimeout, silenceLimit)
		if r.awaitsFirstEvent {
			limit = s.settings.FirstEventTimeout
		}
		switch {
		case now.Sub(r.lastEventAt) > limit:
			s.avoidSilentEngine(now, r)
			s.cancelSilentRun(r, "no event in time")
			continue
		case s.isEngineSilent(now, r, silenceLimit):
			s.avoidSilentEngine(now, r)
			if e, ok := s.engines.Get(r.engine); ok && !e.intervals.hasBaseline() {
				e.minSilenceLimit = min(2*silenceLimit, maxSilenceLimit)
			}
			s.cancelSilentRun(r, "the engine is silent")
			continue
		}
		if moves < maxMovesPerTick && item.delegation == nil && !s.isWithheld(item.submission) && now.Sub(item.movedAt) > minMoveInterval {
			if to, reason := s.selectMoveTarget(now, r, fleet); to != nil && s.allowsStart(item.submission) {
				moves++
				s.moveRun(now, r, to, reason)
				continue
			}
		}
		// A checkpoint has the whole text, so the next one is written only when the text is twice as long.
		if s.settings.CheckpointAfter > 0 && len(item.events) > 2*item.loggedEvents &&
			now.Sub(r.startedAt) > s.settings.CheckpointAfter && now.Sub(item.loggedAt) > s.settings.CheckpointAfter && s.isConfirmed(r) {
			s.checkpoint(now, item)
		}
	}
}

// maxMovesPerTick limits how many runs change engines in one tick, so that a wrong decision becomes visible before all
// runs have moved.
const maxMovesPerTick = 4

// longRunEvents is the number of events from which on a run counts as long. Most items end earlier, and the step waits for
// the others. A move costs a connection and a few tens of milliseconds, which faster hardware makes up for within ten
// events.
const longRunEvents = 32

// minMoveInterval is the minimum time between two moves of an item. The gateway's note on an engine may be one heartbeat
// old.
const minMoveInterval = time.Second

// selectMoveTarget returns the engine with a free slot to which a run should move, and the reason: its own engine is slow,
// or it is a long run on slower hardware.
func (s *Scheduler) selectMoveTarget(now time.Time, r *run, fleet fleetIntervals) (to *engine, reason MoveReason) {
	if s.settings.UnevenEngines {
		return s.selectFasterEngine(now, r, fleet)
	}
	e, known := s.engines.Get(r.engine)
	if !known || r.awaitsFirstEvent {
		return nil, ""
	}
	isSlow, isLong := s.isSlow(e, fleet), len(r.item.events) >= longRunEvents && fleet.hasSlowHardware(e)
	if !isSlow && !isLong {
		return nil, ""
	}
	route, found := s.matchRoute(r.item)
	if !found || route.SingleVersion {
		return nil, ""
	}
	if !route.HasTarget(e.Service) {
		return nil, "" // the run may end where it began, but no other one may begin there
	}
	other := s.selectEngine(now, r.item, e.Service, false, fleet)
	switch {
	case other == nil || s.isSlow(other, fleet) || s.estimateLoad(now, other) >= other.Slots ||
		!s.hasMemory(other, r.item, s.estimateLoad(now, other)):
		return nil, ""
	case isSlow:
		return other, SlowEngine
	case fleet.hasSlowHardware(other):
		return nil, ""
	}
	return other, WeakerHardware
}

func (s *Scheduler) checkpoint(now time.Time, item *item) {
	item.loggedAt = now
	progress := &Progress{
		Submission: item.submission.ID, Item: item.ID, Events: slices.Clone(item.events), Count: len(item.events),
		Versions: slices.Clone(item.versions), SoftwareVersion: item.softwareVersion,
	}
	s.actions = append(s.actions, AppendEntry{item.submission.ID, Entry{Progress: progress}})
}

// Checkpoint writes checkpoints of all runs, so that another instance can resume them.
func (s *Scheduler) Checkpoint(now time.Time) []Action {
	for _, r := range s.runs.All() {
		if len(r.item.events) > r.item.loggedEvents && s.isConfirmed(r) {
			s.checkpoint(now, r.item)
		}
	}
	actions := s.actions
	s.actions = nil
	return actions
}
