package jujubebatch

import (
	"slices"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/models/jujubetable"
	"jujubepier.example/core/services/jujubedesired"
)

// Batches is the scheduler of one instance. It isn't safe for concurrent use.
type Batches struct {
	settings    Settings
	self        model.InstanceID
	desired     *jujubedesired.State
	live        []Member
	submissions *jujubetable.Table[SubmissionID, *submission]
	engines     *jujubetable.Table[model.EndpointID, *engine]
	runs        *jujubetable.Table[RunID, *run]
	scorings    *jujubetable.Table[RunID, *scoring]
	// scoringBudgets is how many more scoring calls may begin in the current tick, by service.
	scoringBudgets map[model.ServiceName]int
	// latestItems maps each item without a result to its state in the latest submission, since groups may be submitted
	// again.
	latestItems map[ItemID]*item
	// latestMinVersions holds the minimum version of each model's latest step. The next step will require a newer one.
	latestMinVersions map[model.ModelName]model.WeightVersion
	// byReadTime is in the order of the submissions' records, byEndTime in the order of their end records.
	byReadTime []submissionTime
	byEndTime  []submissionTime
	actions    []Action
	// offers are those of the current tick, one per instance.
	offers []OfferItems
	// pendingOffers are offers for submissions whose records haven't been read yet.
	pendingOffers []pendingOffer
	// unreachableUntil holds the time until which an instance that didn't respond is bypassed.
	unreachableUntil map[model.InstanceID]time.Time
	lastRunID        RunID
	draining         bool
	// isBehindLog is true while records are known to be unread. No run starts in that time, because the next record may
	// end its submission or be the item's result.
	isBehindLog bool
}

// New returns a scheduler without submissions or engines.
func New(self model.InstanceID, settings Settings) *Batches {
	return &Batches{
		settings: settings, self: self, desired: &jujubedesired.State{},
		submissions:       jujubetable.New[SubmissionID, *submission](),
		engines:           jujubetable.New[model.EndpointID, *engine](),
		runs:              jujubetable.New[RunID, *run](),
		scorings:          jujubetable.New[RunID, *scoring](),
		latestItems:       make(map[ItemID]*item),
		latestMinVersions: make(map[model.ModelName]model.WeightVersion),
		unreachableUntil:  make(map[model.InstanceID]time.Time),
	}
}

// SetDesired replaces the desired state.
func (b *Batches) SetDesired(state *jujubedesired.State) { b.desired = state }

// Drain prevents new runs; runs in flight continue.
func (b *Batches) Drain() { b.draining = true }

// SetBehind sets whether the submissions' topic is known to have unread records.
func (b *Batches) SetBehind(behind bool) { b.isBehindLog = behind }

// Runs returns the number of runs in flight.
func (b *Batches) Runs() int { return b.runs.Len() }

// Tick advances the scheduler to now and returns the actions to perform.
func (b *Batches) Tick(now time.Time) []Action {
	b.expireSubmissions(now)
	fleet := b.measureFleet(now)
	b.scoringBudgets = nil
	b.checkRuns(now, fleet)
	if !b.draining && !b.isBehindLog {
		for _, submission := range b.openSubmissions() {
			if !b.mayHaveWork(submission) {
				continue
			}
			b.checkDelegations(now, submission)
			b.assignItems(now, submission, fleet)
			b.startItems(now, submission)
		}
	}
	for _, offer := range b.offers {
		b.actions = append(b.actions, offer)
	}
	actions := b.actions
	b.actions, b.offers = nil, nil
	return actions
}

// openSubmissions returns the submissions with unresolved items, the oldest first.
func (b *Batches) openSubmissions() []*submission {
	var open []*submission
	for _, submission := range b.submissions.All() {
		if !submission.ended && submission.unresolved > 0 {
			open = append(open, submission)
		}
	}
	slices.SortStableFunc(open, func(x, y *submission) int { return x.readAt.Compare(y.readAt) })
	return open
}

// startItems starts this instance's items on their assigned engines or delegates them to the engines' gateways.
func (b *Batches) startItems(now time.Time, submission *submission) {
	for _, item := range submission.order {
		if item.hasResult || item.resultQueued || item.run != nil || now.Before(item.notBefore) || !b.isResponsible(now, item) {
			continue
		}
		route, ok := b.desired.Match(submission.Host, item.Path)
		if !ok && b.desired.Version > 0 || ok && b.isPastRetention(now, submission, route) {
			b.cancelScoring(item, "the item is given up")
			b.queueResult(item, Errored)
			continue
		}
		if item.unscored != nil {
			b.startScoring(item)
			continue
		}
		if !ok || item.assignedEngine == "" {
			continue
		}
		e, ok := b.engines.Get(item.assignedEngine)
		if !ok || !b.isEligible(now, e, item, route.Choose(string(item.ID)), route.SingleVersion) {
			b.unassign(item)
			continue
		}
		if b.hasRemoteGateway(now, e) && item.offeredEngine != e.ID {
			b.delegate(now, item, e)
			continue
		}
		b.startRun(now, item, e, route)
	}
}

func (b *Batches) startRun(now time.Time, item *item, e *engine, route *jujubedesired.Route) {
	b.lastRunID++
	r := &run{id: b.lastRunID, item: item, engine: e.ID, startedAt: now, lastEventAt: now, awaitsFirstEvent: true}
	item.run = r
	if item.loggedEvents < len(item.events) {
		item.loggedAt = now
	}
	b.runs.Put(r.id, r)
	start := StartRun{
		Run: r.id, Engine: e.ID, Incarnation: e.Incarnation, Address: e.Address, Submission: item.submission.ID, Item: item.ID,
		Host: item.submission.Host, Path: item.Path, Given: item.Content, Progress: item.progress, After: len(item.events),
		KnownVersion: e.Versions[item.submission.Model], InFlight: e.inFlight, Planned: e.assigned, Pace: e.intervals.recent,
	}
	start.Content, _ = item.contentPlace()
	if route.SingleVersion {
		start.ExpectVersion = start.KnownVersion
	}
	e.inFlight++
	b.actions = append(b.actions, start)
}

// queueResult requests that an item's result be appended to the log.
func (b *Batches) queueResult(item *item, state ResultState) {
	item.resultQueued = true
	result := &Result{Submission: item.submission.ID, Item: item.ID, State: state}
	switch {
	case state == Completed && item.unscored != nil:
		*result = *item.unscored
		result.State = Completed
	case state == Completed:
		result.Text, result.TextBytes = joinText(item.events)
		result.Versions = item.versions
	}
	b.actions = append(b.actions, AppendEntry{item.submission.ID, Entry{Result: result}})
}

// handedOverPause is how long an item isn't run again after its result was handed over to another instance. It is longer
// than the usual outage of the store.
const handedOverPause = 10 * time.Second

// NoteHandedOver handles the notice that a leaving instance handed an item's result over to another instance, or to this
// one if toSelf is true.
func (b *Batches) NoteHandedOver(now time.Time, entry Entry, toSelf bool) {
	if entry.Result == nil {
		return
	}
	submission, ok := b.submissions.Get(entry.Result.Submission)
	if !ok {
		return
	}
	if item, ok := submission.items[entry.Result.Item]; ok {
		item.resultQueued = item.resultQueued || toSelf
		item.notBefore = now.Add(handedOverPause)
	}
}

// Unlist clears the queued state of a result that couldn't be queued, so that it is queued again.
func (b *Batches) Unlist(entry Entry) {
	if entry.Result == nil {
		return
	}
	if submission, ok := b.submissions.Get(entry.Result.Submission); ok {
		if item, ok := submission.items[entry.Result.Item]; ok {
			item.resultQueued = false
		}
	}
}

// Discard drops a text that can't be stored. Its item is run again, with a longer delay each time.
func (b *Batches) Discard(now time.Time, entry Entry) {
	text := entry.Result
	if text == nil {
		text = entry.Unscored
	}
	if text == nil {
		return
	}
	submission, ok := b.submissions.Get(text.Submission)
	if !ok {
		return
	}
	item, ok := submission.items[text.Item]
	if !ok || item.hasResult {
		return
	}
	b.cancelScoring(item, "the text can't be stored")
	item.events, item.versions, item.unscored, item.loggedEvents = nil, nil, nil, 0
	item.resultQueued, item.unscoredLogged = false, false
	item.notBefore = now.Add(crashBackoff << min(item.crashes, maxCrashDoublings))
	item.crashes++
}

// cancelRun cancels a run. The item keeps the events received so far.
func (b *Batches) cancelRun(r *run, reason string) {
	if r.cancelled {
		return
	}
	r.cancelled = true
	b.actions = append(b.actions, CancelRun{r.id, reason})
	b.removeRun(r)
}

func (b *Batches) removeRun(r *run) {
	if _, ok := b.runs.Get(r.id); !ok {
		return
	}
	b.runs.Delete(r.id)
	if e, ok := b.engines.Get(r.engine); ok {
		e.inFlight = max(0, e.inFlight-1)
	}
	if r.item.run == r {
		r.item.run = nil
		b.unassign(r.item)
	}
}

// checkRuns cancels stalled runs, moves runs off slow engines and checkpoints long ones.
func (b *Batches) checkRuns(now time.Time, fleet fleetIntervals) {
	moves := 0
	for _, r := range b.runs.All() {
		item := r.item
		silenceLimit := b.silenceLimit(r, fleet)
		limit := max(b.settings.StallTimeout, silenceLimit)
		if r.awaitsFirstEvent {
			limit = b.settings.FirstEventTimeout
		}
		switch {
		case now.Sub(r.lastEventAt) > limit:
			b.avoidSilentEngine(now, r)
			b.cancelRun(r, "no event in time")
			continue
		case b.isEngineSilent(now, r, silenceLimit):
			b.avoidSilentEngine(now, r)
			if e, ok := b.engines.Get(r.engine); ok && !e.intervals.hasBaseline() {
				e.minSilenceLimit = min(2*silenceLimit, maxSilenceLimit)
			}
			b.cancelRun(r, "the engine is silent")
			continue
		}
		if moves < maxMovesPerTick && item.delegation == nil && now.Sub(item.movedAt) > minMoveInterval {
			if to, reason := b.selectMoveTarget(now, r, fleet); to != nil {
				moves++
				b.moveRun(now, r, to, reason)
				continue
			}
		}
		// A checkpoint has the whole text, so the next one is written only when the text is twice as long.
		if b.settings.CheckpointAfter > 0 && len(item.events) > 2*item.loggedEvents &&
			now.Sub(r.startedAt) > b.settings.CheckpointAfter && now.Sub(item.loggedAt) > b.settings.CheckpointAfter {
			b.checkpoint(now, item)
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
func (b *Batches) selectMoveTarget(now time.Time, r *run, fleet fleetIntervals) (to *engine, reason string) {
	e, known := b.engines.Get(r.engine)
	if !known || r.awaitsFirstEvent {
		return nil, ""
	}
	isSlow, isLong := b.isSlow(e, fleet), len(r.item.events) >= longRunEvents && fleet.hasSlowHardware(e)
	if !isSlow && !isLong {
		return nil, ""
	}
	route, found := b.desired.Match(r.item.submission.Host, r.item.Path)
	if !found || route.SingleVersion {
		return nil, ""
	}
	other := b.selectEngine(now, r.item, e.Service, false, fleet)
	switch {
	case other == nil || b.isSlow(other, fleet) || other.estimateLoad(now) >= other.Slots:
		return nil, ""
	case isSlow:
		return other, "the engine is slow"
	case fleet.hasSlowHardware(other):
		return nil, ""
	}
	return other, "a long run on weaker hardware"
}

func (b *Batches) checkpoint(now time.Time, item *item) {
	item.loggedAt = now
	progress := &Progress{
		Submission: item.submission.ID, Item: item.ID, Events: slices.Clone(item.events), Count: len(item.events),
		Versions: slices.Clone(item.versions),
	}
	b.actions = append(b.actions, AppendEntry{item.submission.ID, Entry{Progress: progress}})
}

// Checkpoint writes checkpoints of all runs, so that another instance can resume them.
func (b *Batches) Checkpoint(now time.Time) []Action {
	for _, r := range b.runs.All() {
		if len(r.item.events) > r.item.loggedEvents {
			b.checkpoint(now, r.item)
		}
	}
	actions := b.actions
	b.actions = nil
	return actions
}

// isEngineSilent reports whether an engine whose gateway is this instance has emitted no event of any run within the limit.
// A run that is queued there isn't stalled while others get events.
func (b *Batches) isEngineSilent(now time.Time, r *run, limit time.Duration) bool {
	e, ok := b.engines.Get(r.engine)
	return ok && e.gateway == b.self && now.Sub(e.lastEventAt) > limit && now.Sub(r.lastEventAt) > limit
}

const (
	// silenceLimitEvents is how many baseline intervals an engine may be silent for. Weight loads and full memory delay its
	// streams by that much.
	silenceLimitEvents = 10
	// maxSilenceLimit bounds the silence limit. Callers of streams give up after 2 s, and steps have to be done in 7 s.
	maxSilenceLimit = 4 * time.Second
)

// silenceLimit returns how long a run's engine may emit no event. It is longer if the engine's or the fleet's baseline is.
func (b *Batches) silenceLimit(r *run, fleet fleetIntervals) time.Duration {
	limit := b.settings.SilenceTimeout
	if e, ok := b.engines.Get(r.engine); ok {
		limit = max(limit, e.minSilenceLimit, silenceLimitEvents*max(e.intervals.baseline, fleet.goodBaseline))
	}
	return min(limit, max(maxSilenceLimit, b.settings.SilenceTimeout))
}

// avoidEngine delays new runs on the run's engine.
func (b *Batches) avoidEngine(now time.Time, r *run, pause time.Duration) {
	if e, ok := b.engines.Get(r.engine); ok {
		e.avoidUntil = now.Add(pause)
	}
}

// avoidSilentEngine delays new runs on an engine that accepts requests but doesn't respond to them. The delay grows each
// time, because each attempt costs its items the whole timeout. Runs that stall together count once.
func (b *Batches) avoidSilentEngine(now time.Time, r *run) {
	e, ok := b.engines.Get(r.engine)
	if !ok || now.Before(e.avoidUntil) {
		return
	}
	e.avoidUntil = now.Add(min(b.settings.AvoidFailed<<min(e.stalls, 4), b.settings.MaxAvoid))
	e.stalls++
}
