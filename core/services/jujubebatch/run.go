package jujubebatch

import (
	"slices"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

// RunID numbers the runs of one instance.
type RunID int64

// Action is one of StartRun, CancelRun, AppendEntry, OfferItems and ConfirmItems.
type Action interface{ isAction() }

// StartRun asks an engine for an item's events, from the one after After.
type StartRun struct {
	Run    RunID
	Engine model.EndpointID
	// Incarnation is the engine's, as this instance knows it.
	Incarnation model.Incarnation
	Address     string
	Submission  SubmissionID
	Item        ItemID
	Host        string
	Path        string
	// Content is where the rest of the request lies, and Given is the rest itself if a lender has sent it along.
	Content Place
	Given   Content
	// Progress is a part of the text that the log has and this instance hasn't; nil for none. Restore takes it.
	Progress *Progress
	// After is the id of the last event that is known, 0 for none.
	After int
	// ExpectVersion makes the engine refuse the run unless it has this version; 0 for any.
	ExpectVersion model.WeightVersion
	// KnownVersion is the engine's version that the choice was based on.
	KnownVersion model.WeightVersion
	// InFlight counts this instance's runs on the engine, Planned the items that it has for it.
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
	if ok {
		e.lastEvent, e.stalls = now, 0
		if !r.first {
			e.pace.measure(now, now.Sub(r.last))
			if e.pace.isKnown() {
				e.patience = 0
			}
		}
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
		b.completeText(now, row)
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
				row.notBefore = now.Add(crashPause << min(row.crashes-patientCrashes, maxCrashDoublings))
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
	// maxCrashDoublings bounds the pause to 16 s: an item may be given up after some 40 s.
	maxCrashDoublings = 4
)
