// Package jujubequarantine finds the requests that crash the endpoints that run them.
//
// Residual risks. More than two endpoints crash when a fingerprint's first runs go through different instances at the
// same time, or are repeated faster than the rumour of a crash travels: each instance allows two of its own. During a
// disagreement about membership two instances may both be the steward and each run the suspect once. An innocent
// fingerprint is quarantined when it is in flight in two crashes: with copies that two instances run, or as a suspect
// next to a second crashing fingerprint that wasn't known yet. A fingerprint that crashes only some of its runs isn't found
// once it has completed. All suspicions are lost when all instances restart.
package jujubequarantine

import (
	"slices"
	"strconv"
	"strings"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/models/jujubetable"
)

// Status is what is known of a fingerprint.
type Status string

// Values of Status.
const (
	Clear       Status = "Clear"
	Suspect     Status = "Suspect"
	Quarantined Status = "Quarantined"
)

// Settings bound the tables and the life of their entries; zero values are replaced by the defaults.
type Settings struct {
	SuspectFor    time.Duration
	QuarantineFor time.Duration
	// Suspects bounds the fingerprints with crashes, and those that are known to complete.
	Suspects int
	Verdicts int
}

// Entry is a fingerprint that is suspect or quarantined.
type Entry struct {
	Fingerprint model.Fingerprint
	State       Status
	Crashes     []model.CrashID
	Until       time.Time
}

// suspicion is the crashes of one fingerprint.
type suspicion struct {
	// crashes is sorted by id; the cleared ones stay, so that a late rumour of them changes nothing.
	crashes []crash
}

type crash struct {
	id      model.CrashID
	until   time.Time
	cleared bool
}

// verdict is a quarantine (odd version) or its lift (even version).
type verdict struct {
	version int64
	// crashes are those that led to a quarantine, at most two, or those that a lift cleared.
	crashes []model.CrashID
	until   time.Time
}

func (v *verdict) isInForce(now time.Time) bool { return v.version%2 == 1 && now.Before(v.until) }

// Quarantine is owned by one goroutine.
type Quarantine struct {
	settings Settings
	suspects *jujubetable.Table[model.Fingerprint, *suspicion]
	verdicts *jujubetable.Table[model.Fingerprint, *verdict]
	// running holds the endpoints that run a fingerprint for this instance, once per run.
	running map[model.Fingerprint][]model.EndpointID
	// on holds the fingerprints that run on an endpoint, once per run.
	on map[model.EndpointID][]model.Fingerprint
	// completed holds fingerprints that completed; order has the same ones, oldest first.
	completed map[model.Fingerprint]bool
	order     []model.Fingerprint
	// derived holds the verdicts that followed from merged rumours and wait for Derived.
	derived []model.Rumour
	// latest is the highest time that was passed in; List has no time of its own.
	latest time.Time
}

// New returns an empty quarantine.
func New(settings Settings) *Quarantine {
	preset := Settings{SuspectFor: time.Hour, QuarantineFor: 24 * time.Hour, Suspects: 4096, Verdicts: 1024}
	if settings.SuspectFor == 0 {
		settings.SuspectFor = preset.SuspectFor
	}
	if settings.QuarantineFor == 0 {
		settings.QuarantineFor = preset.QuarantineFor
	}
	if settings.Suspects == 0 {
		settings.Suspects = preset.Suspects
	}
	if settings.Verdicts == 0 {
		settings.Verdicts = preset.Verdicts
	}
	return &Quarantine{
		settings: settings, suspects: jujubetable.New[model.Fingerprint, *suspicion](),
		verdicts: jujubetable.New[model.Fingerprint, *verdict](), running: map[model.Fingerprint][]model.EndpointID{},
		on: map[model.EndpointID][]model.Fingerprint{}, completed: map[model.Fingerprint]bool{},
	}
}

// NewCrashID names the crash of an endpoint's incarnation.
func NewCrashID(endpoint model.EndpointID, incarnation model.Incarnation) model.CrashID {
	return model.CrashID(string(endpoint) + "~" + strconv.FormatInt(int64(incarnation), 10))
}

func crashedEndpoint(id model.CrashID) model.EndpointID {
	if at := strings.LastIndexByte(string(id), '~'); at >= 0 {
		return model.EndpointID(id[:at])
	}
	return model.EndpointID(id)
}

// active returns the crashes that count against a fingerprint.
func (q *Quarantine) active(now time.Time, f model.Fingerprint) []crash {
	row, ok := q.suspects.Get(f)
	if !ok {
		return nil
	}
	var active []crash
	for _, c := range row.crashes {
		if !c.cleared && now.Before(c.until) {
			active = append(active, c)
		}
	}
	return active
}

// Check returns the status of a fingerprint.
func (q *Quarantine) Check(now time.Time, f model.Fingerprint) Status {
	if now.After(q.latest) {
		q.latest = now
	}
	if v, ok := q.verdicts.Get(f); ok && v.isInForce(now) {
		return Quarantined
	}
	if len(q.active(now, f)) > 0 {
		return Suspect
	}
	return Clear
}

// RetryAfter is the time until a quarantine ends; zero when there is none.
func (q *Quarantine) RetryAfter(now time.Time, f model.Fingerprint) time.Duration {
	if v, ok := q.verdicts.Get(f); ok && v.isInForce(now) {
		return v.until.Sub(now)
	}
	return 0
}

// Restricted tells whether a fingerprint is suspect, so that only the steward, the lowest-ranked live instance, may run
// it. The instance that sends it there sends RumoursOf along, as the steward may not know of the crash yet.
func (q *Quarantine) Restricted(now time.Time, f model.Fingerprint) (suspect bool) {
	return q.Check(now, f) == Suspect
}

// Admit tells whether a fingerprint may start on an endpoint. Until it first completes it runs on one endpoint at a time:
// copies on two endpoints could crash both, and whatever runs beside them on both would be blamed twice. A suspect is
// subject to AdmitSuspect.
func (q *Quarantine) Admit(now time.Time, f model.Fingerprint, endpoint model.EndpointID) bool {
	switch q.Check(now, f) {
	case Quarantined:
		return false
	case Suspect:
		return q.AdmitSuspect(now, f, endpoint)
	}
	if q.completed[f] || slices.Contains(q.running[f], endpoint) {
		return true
	}
	return !q.IsRunning(f)
}

// IsRunning tells whether this instance runs a fingerprint that has never completed.
func (q *Quarantine) IsRunning(f model.Fingerprint) bool {
	return !q.completed[f] && len(q.running[f]) > 0
}

// RunningOn returns the endpoints on which this instance runs a fingerprint that has never completed.
func (q *Quarantine) RunningOn(f model.Fingerprint) []model.EndpointID {
	if !q.IsRunning(f) {
		return nil
	}
	endpoints := slices.Clone(q.running[f])
	slices.Sort(endpoints)
	return slices.Compact(endpoints)
}

// AdmitSuspect lets a suspect start when it runs nowhere else and no other suspect runs on the endpoint. Two suspects on
// one endpoint would both be blamed for the crash of one of them.
func (q *Quarantine) AdmitSuspect(now time.Time, f model.Fingerprint, endpoint model.EndpointID) bool {
	return len(q.running[f]) == 0 && !slices.ContainsFunc(q.on[endpoint], func(other model.Fingerprint) bool {
		return q.Check(now, other) != Clear
	})
}

// Run is a fingerprint that runs on an endpoint for this instance.
type Run struct {
	Fingerprint model.Fingerprint
	Endpoint    model.EndpointID
}

// RunningSuspects returns the runs that began before their fingerprint became suspect. An instance that isn't the steward
// cancels them and sends them to the steward: the steward doesn't know of them, and could start the crashing suspect on
// the same endpoint, whose crash would then be the second one of both. The steward gives the others the time for this, a
// rumour's travel and a cancel, before it runs a new suspect.
func (q *Quarantine) RunningSuspects(now time.Time) []Run {
	var runs []Run
	for f := range q.suspects.All() {
		if len(q.running[f]) == 0 || !q.Restricted(now, f) {
			continue
		}
		for _, endpoint := range q.running[f] {
			runs = append(runs, Run{Fingerprint: f, Endpoint: endpoint})
		}
	}
	return runs
}

// Begin records that a fingerprint starts on an endpoint.
func (q *Quarantine) Begin(_ time.Time, f model.Fingerprint, endpoint model.EndpointID) {
	q.running[f] = append(q.running[f], endpoint)
	q.on[endpoint] = append(q.on[endpoint], f)
}

// End records that a run ended without completing, and without a crash.
func (q *Quarantine) End(_ time.Time, f model.Fingerprint, endpoint model.EndpointID) bool {
	at := slices.Index(q.running[f], endpoint)
	if at < 0 {
		return false
	}
	if q.running[f] = slices.Delete(q.running[f], at, at+1); len(q.running[f]) == 0 {
		delete(q.running, f)
	}
	at = slices.Index(q.on[endpoint], f)
	if q.on[endpoint] = slices.Delete(q.on[endpoint], at, at+1); len(q.on[endpoint]) == 0 {
		delete(q.on, endpoint)
	}
	return true
}

// Complete records that a run completed. It clears a suspicion, but not a verdict, and returns the rumours of that.
func (q *Quarantine) Complete(now time.Time, f model.Fingerprint, endpoint model.EndpointID) []model.Rumour {
	q.End(now, f, endpoint)
	if !q.completed[f] {
		if len(q.order) >= q.settings.Suspects {
			delete(q.completed, q.order[0])
			q.order = append(q.order[:0], q.order[1:]...)
		}
		q.completed[f] = true
		q.order = append(q.order, f)
	}
	if q.Check(now, f) != Suspect {
		return nil
	}
	var rumours []model.Rumour
	for _, c := range q.active(now, f) {
		c.cleared = true
		q.mergeCrash(now, f, c)
		rumours = append(rumours, newSuspectRumour(f, c))
	}
	return rumours
}

// Crashed blames a crash on what this instance had in flight on the endpoint, and returns the rumours of it. A fingerprint
// that has completed before isn't blamed, as it doesn't crash each endpoint that runs it.
func (q *Quarantine) Crashed(now time.Time, id model.CrashID, inFlight []model.Fingerprint) []model.Rumour {
	var rumours []model.Rumour
	fingerprints := slices.Clone(inFlight)
	slices.Sort(fingerprints)
	for _, f := range slices.Compact(fingerprints) {
		for q.End(now, f, crashedEndpoint(id)) {
			continue
		}
		if q.completed[f] {
			continue
		}
		c := crash{id: id, until: now.Add(q.settings.SuspectFor)}
		if q.mergeCrash(now, f, c) {
			rumours = append(rumours, newSuspectRumour(f, c))
		}
	}
	return append(rumours, q.Derived()...)
}

// Derived returns, once, the verdicts that followed from merged rumours, for the caller to publish.
func (q *Quarantine) Derived() []model.Rumour {
	derived := q.derived
	q.derived = nil
	return derived
}

// Lift ends a quarantine or a suspicion. The crashes that led to it never count again.
func (q *Quarantine) Lift(now time.Time, f model.Fingerprint) model.Rumour {
	lift := verdict{version: 2, until: now.Add(q.settings.QuarantineFor)}
	if v, ok := q.verdicts.Get(f); ok {
		lift.version = v.version + 2 - v.version%2 // the next even one
		lift.crashes = slices.Clone(v.crashes)
	}
	for _, c := range q.active(now, f) {
		lift.crashes = append(lift.crashes, c.id)
	}
	q.mergeVerdict(now, f, lift)
	v, _ := q.verdicts.Get(f)
	return newVerdictRumour(f, v)
}

// List returns the fingerprints that are suspect or quarantined, in order, as of the latest time passed in.
func (q *Quarantine) List() []Entry {
	var entries []Entry
	for f, v := range q.verdicts.All() {
		if v.isInForce(q.latest) {
			entries = append(entries, Entry{Fingerprint: f, State: Quarantined, Crashes: slices.Clone(v.crashes), Until: v.until})
		}
	}
	for f := range q.suspects.All() {
		if q.Check(q.latest, f) != Suspect {
			continue
		}
		entry := Entry{Fingerprint: f, State: Suspect}
		for _, c := range q.active(q.latest, f) {
			entry.Crashes = append(entry.Crashes, c.id)
			if c.until.After(entry.Until) {
				entry.Until = c.until
			}
		}
		entries = append(entries, entry)
	}
	return entries
}
