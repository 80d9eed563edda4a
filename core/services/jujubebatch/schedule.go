package jujubebatch

import (
	"slices"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/models/jujubetable"
	"jujubepier.example/core/services/jujubedesired"
)

// RunID numbers the runs of one instance.
type RunID int64

// Action is one of StartRun, CancelRun and AppendEntry.
type Action interface{ isAction() }

// StartRun asks an engine for an item's events, from the one after After.
type StartRun struct {
	Run        RunID
	Engine     model.EndpointID
	Address    string
	Submission SubmissionID
	Item       ItemID
	Host       string
	Path       string
	// Content is where the rest of the request lies.
	Content Place
	// Progress is a part of the text that the log has and this instance hasn't; nil for none. Restore takes it.
	Progress *Progress
	// After is the id of the last event that is known, 0 for none.
	After int
	// ExpectVersion makes the engine refuse the run unless it has this version; 0 for any.
	ExpectVersion model.WeightVersion
	// KnownVersion is the engine's version that the choice was based on.
	KnownVersion model.WeightVersion
	// InFlight counts this instance's runs on the engine, Planned the items that all instances are expected to have there.
	InFlight int
	Planned  int
	Pace     time.Duration
}

// CancelRun closes a run's connection.
type CancelRun struct {
	Run    RunID
	Reason string
}

// AppendEntry asks for an entry to be appended to its submission's partition.
type AppendEntry struct {
	Submission SubmissionID
	Entry      Entry
}

func (StartRun) isAction()    {}
func (CancelRun) isAction()   {}
func (AppendEntry) isAction() {}

// EndKind tells how a run ended.
type EndKind string

// Kinds of ends.
const (
	// RunComplete is a stream that was received to its end.
	RunComplete EndKind = "Complete"
	// RunRefused means that the engine has not run the request: it is full or loads weights.
	RunRefused EndKind = "Refused"
	// RunMisdirected means that another endpoint has the address.
	RunMisdirected EndKind = "Misdirected"
	// RunBroken is a connection that failed or a stream that can't be read.
	RunBroken EndKind = "Broken"
	// RunFailed is the engine's own failure of the request.
	RunFailed EndKind = "Failed"
	// RunUnsent means that nothing was sent to the engine.
	RunUnsent EndKind = "Unsent"
	// RunRejected means that the request can never be served.
	RunRejected EndKind = "Rejected"
)

// run is one attempt at an item on an engine.
type run struct {
	id      RunID
	item    *item
	engine  model.EndpointID
	started time.Time
	// last is the time of the latest event, or of the start.
	last time.Time
	// first is true until the first event.
	first     bool
	cancelled bool
}

// Batches is owned by one goroutine at a time.
type Batches struct {
	settings    Settings
	self        model.InstanceID
	desired     *jujubedesired.State
	live        []model.InstanceID
	submissions *jujubetable.Table[SubmissionID, *submission]
	engines     *jujubetable.Table[model.EndpointID, *engine]
	runs        *jujubetable.Table[RunID, *run]
	// parts finds the latest submission's row of an item that isn't listed, for groups that come again.
	parts map[ItemID]*item
	// openings are in the order of the submissions' records, endings in that of their ends.
	openings []ending
	endings  []ending
	actions  []Action
	lastRun  RunID
	draining bool
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
		parts:       make(map[ItemID]*item),
	}
}

// SetDesired puts a desired state in force.
func (b *Batches) SetDesired(state *jujubedesired.State) { b.desired = state }

// SetLive sets the instances that are alive, sorted by name.
func (b *Batches) SetLive(live []model.InstanceID) { b.live = live }

// Drain stops new runs; running ones go on.
func (b *Batches) Drain() { b.draining = true }

// SetBehind says whether records of the submissions' topic are known to be unread.
func (b *Batches) SetBehind(behind bool) { b.behind = behind }

// Runs returns how many runs are in flight.
func (b *Batches) Runs() int { return b.runs.Len() }

// isOwn tells whether this instance runs an item: it is the item's instance, or those before it are gone.
func (b *Batches) isOwn(row *item) bool {
	shared := row.of.Instances
	for i := range shared {
		candidate := shared[(row.index+i)%len(shared)]
		if candidate == b.self {
			return true
		}
		if slices.Contains(b.live, candidate) {
			return false
		}
	}
	return len(b.live) > 0 && b.live[row.index%len(b.live)] == b.self
}

// Tick returns the actions that are due.
func (b *Batches) Tick(now time.Time) []Action {
	b.forget(now)
	typical := b.typicalPace(now)
	b.checkRuns(now, typical)
	if !b.draining && !b.behind {
		for _, one := range b.sortOpen() {
			b.planItems(now, one, typical)
			b.startItems(now, one)
		}
	}
	actions := b.actions
	b.actions = nil
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

// startItems starts this instance's items on the engines that they are planned for.
func (b *Batches) startItems(now time.Time, one *submission) {
	for _, row := range one.order {
		if row.listed || row.finished || row.run != nil || now.Before(row.notBefore) || !b.isOwn(row) {
			continue
		}
		route, ok := b.desired.Match(one.Host, row.Path)
		if !ok && b.desired.Version > 0 || ok && b.isOver(now, one, route) {
			b.finish(row, Errored)
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
		Run: r.id, Engine: e.ID, Address: e.Address, Submission: row.of.ID, Item: row.ID, Host: row.of.Host,
		Path: row.Path, Progress: row.progress, After: len(row.events),
		KnownVersion: e.Versions[row.of.Model], InFlight: e.inFlight, Planned: e.planned, Pace: e.pace,
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
	if state == Completed {
		result.Text, result.Versions = joinText(row.events), row.versions
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
func (b *Batches) checkRuns(now time.Time, typical time.Duration) {
	moves := 0
	for _, r := range b.runs.All() {
		row := r.item
		limit := b.settings.StallTimeout
		if r.first {
			limit = b.settings.FirstEventTimeout
		}
		if now.Sub(r.last) > limit {
			b.avoid(now, r, b.settings.AvoidFailed)
			b.cancel(r, "no event in time")
			continue
		}
		if b.canMove(now, r, typical, moves) {
			moves++
			b.cancel(r, "the engine is slow")
			continue
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

// canMove tells whether a run should go on at another engine: its own is slow, and one that isn't has room.
func (b *Batches) canMove(now time.Time, r *run, typical time.Duration, moves int) bool {
	e, ok := b.engines.Get(r.engine)
	if !ok || r.first || moves >= movesPerTick || !b.isSlow(e, typical) {
		return false
	}
	route, ok := b.desired.Match(r.item.of.Host, r.item.Path)
	if !ok || route.SingleVersion {
		return false
	}
	other := b.choose(now, r.item, e.Service, false, typical)
	return other != nil && !b.isSlow(other, typical)
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

func (b *Batches) avoid(now time.Time, r *run, pause time.Duration) {
	if e, ok := b.engines.Get(r.engine); ok {
		e.avoidUntil = now.Add(pause)
	}
}

// Restore gives a run that hasn't begun the part of the text that the log has. It returns the id of the last event that
// is known then; ok is false when the run is over.
func (b *Batches) Restore(id RunID, events []string) (after int, ok bool) {
	r, ok := b.runs.Get(id)
	if !ok {
		return 0, false
	}
	row := r.item
	if p := row.progress; p != nil && len(events) == p.Count && len(events) > len(row.events) {
		row.events, row.versions, row.written = events, slices.Clone(p.Versions), len(events)
	}
	row.progress = nil
	return len(row.events), true
}

// Accepted says that an engine began a run with a weight version. It returns false when the run has to be given up.
func (b *Batches) Accepted(_ time.Time, id RunID, version model.WeightVersion) bool {
	r, ok := b.runs.Get(id)
	if !ok {
		return false
	}
	b.SetVersion(r.engine, r.item.of.Model, version)
	return version >= r.item.of.MinVersion
}

// Event takes an event of a run. It returns false when the event doesn't follow the known ones or may not be used, and
// the run has to be given up.
func (b *Batches) Event(now time.Time, id RunID, number int, data string, version model.WeightVersion) bool {
	r, ok := b.runs.Get(id)
	if !ok {
		return false
	}
	row := r.item
	if number != len(row.events)+1 || version < row.of.MinVersion {
		return false
	}
	if len(row.versions) > 0 && !slices.Contains(row.versions, version) && b.isSingle(row) {
		row.events, row.versions, row.written = nil, nil, 0
		return false
	}
	e, ok := b.engines.Get(r.engine)
	if ok && !r.first {
		e.measure(now, now.Sub(r.last))
	}
	r.first, r.last = false, now
	row.events = append(row.events, data)
	if !slices.Contains(row.versions, version) {
		row.versions = append(row.versions, version)
	}
	return true
}

// isSingle tells whether an item's text has to come from one weight version.
func (b *Batches) isSingle(row *item) bool {
	route, ok := b.desired.Match(row.of.Host, row.Path)
	return ok && route.SingleVersion
}

// Ended says that a run has ended by itself.
func (b *Batches) Ended(now time.Time, id RunID, kind EndKind) {
	r, ok := b.runs.Get(id)
	if !ok {
		return
	}
	b.release(r)
	row := r.item
	if row.listed || row.finished {
		return
	}
	row.notBefore = now.Add(b.settings.RetryPause)
	if kind == RunComplete && len(row.events) == 0 {
		kind = RunBroken
	}
	switch kind {
	case RunComplete:
		b.finish(row, Completed)
	case RunRejected:
		b.finish(row, Errored)
	case RunFailed:
		row.failures++
		if route, ok := b.desired.Match(row.of.Host, row.Path); ok && row.failures >= max(1, route.MaxAttempts) {
			b.finish(row, Errored)
		}
	case RunUnsent:
		row.notBefore = now.Add(unsentPause)
	case RunRefused:
		b.MarkLoading(r.engine, row.of.Model, now.Add(b.settings.AvoidLoading))
	case RunMisdirected:
		b.avoid(now, r, b.settings.AvoidFailed)
	case RunBroken:
		if r.first {
			row.crashes++
			b.avoid(now, r, b.settings.AvoidFailed)
			if row.crashes > patientCrashes {
				row.notBefore = now.Add(crashPause << min(row.crashes-patientCrashes, 4))
			}
		} else {
			row.crashes = 0
			b.avoid(now, r, b.settings.AvoidFailed/4)
		}
	}
}

// unsentPause is the pause of an item whose content couldn't be read; the store is away then.
const unsentPause = 200 * time.Millisecond

const (
	// patientCrashes is how many runs of an item may break off before their first event until it is started less often:
	// some requests crash each engine that runs them.
	patientCrashes = 2
	// crashPause doubles with each further break.
	crashPause = time.Second
)
