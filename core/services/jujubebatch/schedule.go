package jujubebatch

import (
	"slices"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/models/jujubetable"
	"jujubepier.example/core/services/jujubedesired"
)

// Batches is owned by one goroutine at a time.
type Batches struct {
	settings    Settings
	self        model.InstanceID
	desired     *jujubedesired.State
	live        []Member
	submissions *jujubetable.Table[SubmissionID, *submission]
	engines     *jujubetable.Table[model.EndpointID, *engine]
	runs        *jujubetable.Table[RunID, *run]
	scorings    *jujubetable.Table[RunID, *scoring]
	// scoringRooms is how many more scoring calls may begin in the present tick, by service.
	scoringRooms map[model.ServiceName]int
	// parts finds the latest submission's row of an item that isn't listed, for groups that come again.
	parts map[ItemID]*item
	// oldest holds the oldest version that the latest step of each model takes; its next step wants a newer one.
	oldest map[model.ModelName]model.WeightVersion
	// openings are in the order of the submissions' records, endings in that of their ends.
	openings []ending
	endings  []ending
	actions  []Action
	// offers are those of the present tick, one for each instance.
	offers []OfferItems
	// early are offers of submissions whose records haven't been read yet.
	early []earlyOffer
	// unreachable holds until when an instance that didn't answer is passed over.
	unreachable map[model.InstanceID]time.Time
	lastRun     RunID
	draining    bool
	// behind is true while records are known to be unread. No run starts meanwhile: the next record may be the end of its
	// submission or the item's result.
	behind bool
}

// New returns a scheduler without submissions or engines.
func New(self model.InstanceID, settings Settings) *Batches {
	return &Batches{
		settings: settings, self: self, desired: &jujubedesired.State{},
		submissions: jujubetable.New[SubmissionID, *submission](),
		engines:     jujubetable.New[model.EndpointID, *engine](),
		runs:        jujubetable.New[RunID, *run](),
		scorings:    jujubetable.New[RunID, *scoring](),
		parts:       make(map[ItemID]*item),
		oldest:      make(map[model.ModelName]model.WeightVersion),
		unreachable: make(map[model.InstanceID]time.Time),
	}
}

// SetDesired puts a desired state in force.
func (b *Batches) SetDesired(state *jujubedesired.State) { b.desired = state }

// Drain stops new runs; running ones go on.
func (b *Batches) Drain() { b.draining = true }

// SetBehind says whether records of the submissions' topic are known to be unread.
func (b *Batches) SetBehind(behind bool) { b.behind = behind }

// Runs returns how many runs are in flight.
func (b *Batches) Runs() int { return b.runs.Len() }

// Tick returns the actions that are due.
func (b *Batches) Tick(now time.Time) []Action {
	b.forget(now)
	pace := b.measureFleet(now)
	b.scoringRooms = nil
	b.checkRuns(now, pace)
	if !b.draining && !b.behind {
		for _, one := range b.sortOpen() {
			if !b.concerns(one) {
				continue
			}
			b.checkLoans(now, one)
			b.planItems(now, one, pace)
			b.startItems(now, one)
		}
	}
	for _, offer := range b.offers {
		b.actions = append(b.actions, offer)
	}
	actions := b.actions
	b.actions, b.offers = nil, nil
	return actions
}

// sortOpen returns the submissions that have work left, the oldest first.
func (b *Batches) sortOpen() []*submission {
	var open []*submission
	for _, one := range b.submissions.All() {
		if !one.ended && one.open > 0 {
			open = append(open, one)
		}
	}
	slices.SortStableFunc(open, func(x, y *submission) int { return x.accepted.Compare(y.accepted) })
	return open
}

// startItems starts this instance's items on the engines that they are planned for, or lends them to the engines' keepers.
func (b *Batches) startItems(now time.Time, one *submission) {
	for _, row := range one.order {
		if row.listed || row.finished || row.run != nil || now.Before(row.notBefore) || !b.isOwn(now, row) {
			continue
		}
		route, ok := b.desired.Match(one.Host, row.Path)
		if !ok && b.desired.Version > 0 || ok && b.isOver(now, one, route) {
			b.stopScoring(row, "the item is given up")
			b.finish(row, Errored)
			continue
		}
		if row.unscored != nil {
			b.score(row)
			continue
		}
		if !ok || row.planned == "" {
			continue
		}
		e, ok := b.engines.Get(row.planned)
		if !ok || !b.isEligible(now, e, row, route.Choose(string(row.ID)), route.SingleVersion) {
			b.unplan(row)
			continue
		}
		if b.isKept(now, e) && row.here != e.ID {
			b.lend(now, row, e)
			continue
		}
		b.start(now, row, e, route)
	}
}

func (b *Batches) start(now time.Time, row *item, e *engine, route *jujubedesired.Route) {
	b.lastRun++
	r := &run{id: b.lastRun, item: row, engine: e.ID, started: now, last: now, first: true}
	row.run = r
	if row.written < len(row.events) {
		row.writtenAt = now
	}
	b.runs.Put(r.id, r)
	start := StartRun{
		Run: r.id, Engine: e.ID, Incarnation: e.Incarnation, Address: e.Address, Submission: row.of.ID, Item: row.ID, Host: row.of.Host,
		Path: row.Path, Given: row.Content, Progress: row.progress, After: len(row.events),
		KnownVersion: e.Versions[row.of.Model], InFlight: e.inFlight, Planned: e.planned, Pace: e.pace.recent,
	}
	start.Content, _ = row.place()
	if route.SingleVersion {
		start.ExpectVersion = start.KnownVersion
	}
	e.inFlight++
	b.actions = append(b.actions, start)
}

// finish asks for an item's result to be listed.
func (b *Batches) finish(row *item, state ResultState) {
	row.finished = true
	result := &Result{Submission: row.of.ID, Item: row.ID, State: state}
	switch {
	case state == Completed && row.unscored != nil:
		*result = *row.unscored
		result.State = Completed
	case state == Completed:
		result.Text, result.TextBytes = joinText(row.events)
		result.Versions = row.versions
	}
	b.actions = append(b.actions, AppendEntry{row.of.ID, Entry{Result: result}})
}

// handedOverPause is how long an item whose result another instance has taken over isn't run again: longer than the
// store is usually away.
const handedOverPause = 10 * time.Second

// NoteHandedOver says that an instance that has left gave an item's result to another one, or to this one when own is
// true.
func (b *Batches) NoteHandedOver(now time.Time, entry Entry, own bool) {
	if entry.Result == nil {
		return
	}
	one, ok := b.submissions.Get(entry.Result.Submission)
	if !ok {
		return
	}
	if row, ok := one.items[entry.Result.Item]; ok {
		row.finished = row.finished || own
		row.notBefore = now.Add(handedOverPause)
	}
}

// Unlist takes back that a result was asked to be listed, because it can't be written down.
func (b *Batches) Unlist(entry Entry) {
	if entry.Result == nil {
		return
	}
	if one, ok := b.submissions.Get(entry.Result.Submission); ok {
		if row, ok := one.items[entry.Result.Item]; ok {
			row.finished = false
		}
	}
}

// Discard throws away a text that can't be written down. Its item is run again, each time after a longer pause.
func (b *Batches) Discard(now time.Time, entry Entry) {
	text := entry.Result
	if text == nil {
		text = entry.Unscored
	}
	if text == nil {
		return
	}
	one, ok := b.submissions.Get(text.Submission)
	if !ok {
		return
	}
	row, ok := one.items[text.Item]
	if !ok || row.listed {
		return
	}
	b.stopScoring(row, "the text can't be written")
	row.events, row.versions, row.unscored, row.written = nil, nil, nil, 0
	row.finished, row.drafted = false, false
	row.notBefore = now.Add(crashPause << min(row.crashes, maxCrashDoublings))
	row.crashes++
}

// cancel ends a run from this side. What it has brought stays with the item.
func (b *Batches) cancel(r *run, reason string) {
	if r.cancelled {
		return
	}
	r.cancelled = true
	b.actions = append(b.actions, CancelRun{r.id, reason})
	b.release(r)
}

func (b *Batches) release(r *run) {
	if _, ok := b.runs.Get(r.id); !ok {
		return
	}
	b.runs.Delete(r.id)
	if e, ok := b.engines.Get(r.engine); ok {
		e.inFlight = max(0, e.inFlight-1)
	}
	if r.item.run == r {
		r.item.run = nil
		b.unplan(r.item)
	}
}

// checkRuns ends runs that have stalled or sit on a slow engine, and writes down long ones.
func (b *Batches) checkRuns(now time.Time, pace fleetPace) {
	moves := 0
	for _, r := range b.runs.All() {
		row := r.item
		silence := b.limitSilence(r, pace)
		limit := max(b.settings.StallTimeout, silence)
		if r.first {
			limit = b.settings.FirstEventTimeout
		}
		switch {
		case now.Sub(r.last) > limit:
			b.avoidSilent(now, r)
			b.cancel(r, "no event in time")
			continue
		case b.isSilent(now, r, silence):
			b.avoidSilent(now, r)
			if e, ok := b.engines.Get(r.engine); ok && !e.pace.isKnown() {
				e.patience = min(2*silence, maxSilence)
			}
			b.cancel(r, "the engine is silent")
			continue
		}
		if moves < movesPerTick && row.loan == nil && now.Sub(row.movedAt) > movePause {
			if to, reason := b.shouldMove(now, r, pace); to != nil {
				moves++
				b.move(now, r, to, reason)
				continue
			}
		}
		// Each writing holds the whole text, so a text is written again only once it is twice as long.
		if b.settings.CheckpointAfter > 0 && len(row.events) > 2*row.written &&
			now.Sub(r.started) > b.settings.CheckpointAfter && now.Sub(row.writtenAt) > b.settings.CheckpointAfter {
			b.checkpoint(now, row)
		}
	}
}

// movesPerTick bounds the runs that change engines at once, so that a wrong judgement is seen before all have moved.
const movesPerTick = 4

// longRun is how many events a run has had when it counts as long. Most items end before; the step waits for these. Going
// on elsewhere costs a connection and a few tens of milliseconds, which the better hardware makes up for in ten events.
const longRun = 32

// movePause is the least time between two moves of an item. What an engine's keeper tells of it may be a beat old.
const movePause = time.Second

// shouldMove returns the engine with a free slot at which a run should go on, and why: its own is slow, or it is a long run
// on weaker hardware.
func (b *Batches) shouldMove(now time.Time, r *run, pace fleetPace) (to *engine, reason string) {
	e, known := b.engines.Get(r.engine)
	if !known || r.first {
		return nil, ""
	}
	slow, long := b.isSlow(e, pace), len(r.item.events) >= longRun && pace.isSluggish(e)
	if !slow && !long {
		return nil, ""
	}
	route, found := b.desired.Match(r.item.of.Host, r.item.Path)
	if !found || route.SingleVersion {
		return nil, ""
	}
	other := b.choose(now, r.item, e.Service, false, pace)
	switch {
	case other == nil || b.isSlow(other, pace) || other.loadOf(now) >= other.Slots:
		return nil, ""
	case slow:
		return other, "the engine is slow"
	case pace.isSluggish(other):
		return nil, ""
	}
	return other, "a long run on weaker hardware"
}

func (b *Batches) checkpoint(now time.Time, row *item) {
	row.writtenAt = now
	progress := &Progress{
		Submission: row.of.ID, Item: row.ID, Events: slices.Clone(row.events), Count: len(row.events), Versions: slices.Clone(row.versions),
	}
	b.actions = append(b.actions, AppendEntry{row.of.ID, Entry{Progress: progress}})
}

// Checkpoint writes down what all runs have brought, so that another instance can go on with them.
func (b *Batches) Checkpoint(now time.Time) []Action {
	for _, r := range b.runs.All() {
		if len(r.item.events) > r.item.written {
			b.checkpoint(now, r.item)
		}
	}
	actions := b.actions
	b.actions = nil
	return actions
}

// isSilent tells whether an engine that this instance keeps has made no event of any run for too long. A run that waits for
// a place there hasn't stalled while others get theirs.
func (b *Batches) isSilent(now time.Time, r *run, limit time.Duration) bool {
	e, ok := b.engines.Get(r.engine)
	return ok && e.keeper == b.self && now.Sub(e.lastEvent) > limit && now.Sub(r.last) > limit
}

const (
	// patientEvents is how many usual events an engine may be silent for: loads of weights and full memory hold its streams
	// up for that long.
	patientEvents = 10
	// maxSilence bounds the limit for silence; callers of streams give up after 2 s, and steps have to be done in 7 s.
	maxSilence = 4 * time.Second
)

// limitSilence returns how long the engine of a run may make no event: longer where its events, or those of the fleet, take
// longer.
func (b *Batches) limitSilence(r *run, pace fleetPace) time.Duration {
	limit := b.settings.SilenceTimeout
	if e, ok := b.engines.Get(r.engine); ok {
		limit = max(limit, e.patience, patientEvents*max(e.pace.usual, pace.good))
	}
	return min(limit, max(maxSilence, b.settings.SilenceTimeout))
}

// avoid keeps new runs off a run's engine.
func (b *Batches) avoid(now time.Time, r *run, pause time.Duration) {
	if e, ok := b.engines.Get(r.engine); ok {
		e.avoidUntil = now.Add(pause)
	}
}

// avoidSilent keeps new runs off an engine that takes requests and answers none, longer each time, as each try costs its
// items the whole time limit. Runs that stall together count once.
func (b *Batches) avoidSilent(now time.Time, r *run) {
	e, ok := b.engines.Get(r.engine)
	if !ok || now.Before(e.avoidUntil) {
		return
	}
	e.avoidUntil = now.Add(min(b.settings.AvoidFailed<<min(e.stalls, 4), b.settings.MaxAvoid))
	e.stalls++
}
