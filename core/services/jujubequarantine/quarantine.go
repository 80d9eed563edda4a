// Package jujubequarantine detects requests that crash the endpoints that run them, and quarantines them by fingerprint.
//
// A fingerprint that was in flight on a crashed endpoint becomes a suspect, and after some crashes (Settings.Limit) it is
// quarantined. Instances share crashes and verdicts by updates, which may be merged in any order and any number of times.
//
// Both interfaces use it. On the service's own interface updates are spread by gossip, suspects run one at a time, through the
// coordinator only, and the second crash quarantines. On the platform updates are in the store, and instances don't coordinate
// the runs of suspects: several fingerprints may be in flight in the same crashes, so a crash counts at once only against the one
// that is most suspect of those that were in flight in it (see attribute), and the third one quarantines.
//
// What clears a fingerprint is that more processes complete it than end under it, of the same software version. A response proves
// nothing unless it is a success, and a process counts once: some endpoints that respond without having run the request, or that
// run software which doesn't crash, can't clear one that ends the others. No completion ends a quarantine.
//
// Known limitations of the service's own interface:
//   - More than two endpoints crash when the first runs of a fingerprint go through different instances at the same time, or are
//     retried before the gossip update of a crash arrives: each instance allows two crashes of its own.
//   - While instances disagree about the membership, two of them may both act as the coordinator and each run the suspect once.
//   - An innocent fingerprint is quarantined when it is in flight in two crashes and hasn't completed: with copies that two instances
//     run, or as a suspect next to a second crashing fingerprint that isn't known yet.
//   - A fingerprint that crashes only some of its runs isn't detected while as many processes complete it.
//   - All suspicions are lost when all instances restart.
package jujubequarantine

import (
	"slices"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/models/jujubetable"
)

// Status is the state of a fingerprint.
type Status string

// Values of Status.
const (
	Clear       Status = "Clear"
	Suspect     Status = "Suspect"
	Quarantined Status = "Quarantined"
)

// Settings bound the tables and the lifetime of their entries; zero values are replaced by defaults.
type Settings struct {
	// SuspicionTTL is how long a crash counts against a fingerprint.
	SuspicionTTL time.Duration
	// QuarantineTTL is how long a verdict lasts.
	QuarantineTTL time.Duration
	// MaxSuspects bounds the fingerprints with crashes, and also those that are known to have completed.
	MaxSuspects int
	// MaxVerdicts bounds the fingerprints with verdicts.
	MaxVerdicts int
	// Limit is the number of crashes of its own that quarantine a fingerprint; two by default.
	Limit int
	// SharedLimit is the number of crashes without a more suspect fingerprint that quarantine one, if by Limit fewer processes have
	// completed it. By default it is Limit, for instances that never run two suspects on one endpoint: they needn't find out which
	// crashes are a fingerprint's own.
	SharedLimit int
	// SoundMargin is by how many processes those that completed a fingerprint have to exceed those that ended under it until it is
	// no suspect any more.
	SoundMargin int
	// SettleTime is how long after a crash other instances may still report fingerprints that were in flight in it. Until
	// then a fingerprint that has reached the limit is refused, and isn't quarantined yet.
	SettleTime time.Duration
}

// PlatformSettings returns settings for instances that share updates through the platform's store and don't coordinate the runs
// of suspects. An update is read by all instances some ms after it was written.
func PlatformSettings() Settings {
	return Settings{Limit: 3, SharedLimit: 5, SoundMargin: 1, SettleTime: 300 * time.Millisecond}
}

// verdict is a quarantine (odd version) or the lift of one (even version).
type verdict struct {
	version int64
	// crashes holds the crashes that led to a quarantine, at most Settings.Limit, or those that a lift cleared.
	crashes []model.ProcessID
	until   time.Time
}

// isInForce reports whether the verdict is a quarantine that hasn't expired.
func (v *verdict) isInForce(now time.Time) bool { return v.version%2 == 1 && now.Before(v.until) }

// Quarantine tracks runs, crashes and verdicts of fingerprints. It isn't safe for concurrent use: one goroutine owns it.
type Quarantine struct {
	settings Settings
	suspects *jujubetable.Table[model.Fingerprint, *suspicion]
	verdicts *jujubetable.Table[model.Fingerprint, *verdict]
	// runsByFingerprint holds the endpoints on which this instance runs a fingerprint, once per run.
	runsByFingerprint map[model.Fingerprint][]model.EndpointID
	// runsByEndpoint holds the fingerprints that this instance runs on an endpoint, once per run.
	runsByEndpoint map[model.EndpointID][]model.Fingerprint
	// completed holds the fingerprints that have completed; completedOrder has the same ones, oldest first.
	completed      map[model.Fingerprint]completedContent
	completedOrder []model.Fingerprint
	// derived holds the verdicts that resulted from merged crashes, until PopDerived returns them.
	derived []model.Rumour
	// latestTime is the latest time passed to Check. List uses it, as it gets no time.
	latestTime time.Time
}

// New returns an empty quarantine.
func New(settings Settings) *Quarantine {
	defaults := Settings{SuspicionTTL: time.Hour, QuarantineTTL: 24 * time.Hour, MaxSuspects: 4096, MaxVerdicts: 1024, Limit: 2}
	if settings.SuspicionTTL == 0 {
		settings.SuspicionTTL = defaults.SuspicionTTL
	}
	if settings.QuarantineTTL == 0 {
		settings.QuarantineTTL = defaults.QuarantineTTL
	}
	if settings.MaxSuspects == 0 {
		settings.MaxSuspects = defaults.MaxSuspects
	}
	if settings.MaxVerdicts == 0 {
		settings.MaxVerdicts = defaults.MaxVerdicts
	}
	if settings.Limit == 0 {
		settings.Limit = defaults.Limit
	}
	if settings.SharedLimit == 0 {
		settings.SharedLimit = settings.Limit
	}
	return &Quarantine{
		settings: settings, suspects: jujubetable.New[model.Fingerprint, *suspicion](),
		verdicts: jujubetable.New[model.Fingerprint, *verdict](), runsByFingerprint: map[model.Fingerprint][]model.EndpointID{},
		runsByEndpoint: map[model.EndpointID][]model.Fingerprint{}, completed: map[model.Fingerprint]completedContent{},
	}
}

// Check returns the status of a fingerprint. The verdict that it may derive is returned by PopDerived.
func (q *Quarantine) Check(now time.Time, f model.Fingerprint) Status {
	if now.After(q.latestTime) {
		q.latestTime = now
	}
	q.derive(now, f)
	if v, ok := q.verdicts.Get(f); ok && v.isInForce(now) {
		return Quarantined
	}
	active := q.activeCrashes(now, f)
	switch {
	case q.isSound(q.assess(now, f)):
		return Clear
	case q.hasReachedLimit(now, f, active):
		return Quarantined
	}
	return Suspect
}

// RetryAfter returns the time until a fingerprint's quarantine ends, or until its last crash has settled; zero when there is
// neither.
func (q *Quarantine) RetryAfter(now time.Time, f model.Fingerprint) time.Duration {
	if v, ok := q.verdicts.Get(f); ok && v.isInForce(now) {
		return v.until.Sub(now)
	}
	if active := q.activeCrashes(now, f); q.hasReachedLimit(now, f, active) {
		return q.settledAt(active).Sub(now)
	}
	return 0
}

// IsSuspect reports whether a fingerprint is suspect, so that only the coordinator, the lowest-ranked live instance, may run it.
// An instance that forwards the request there includes UpdatesFor, as the coordinator may not have learned of the crash yet.
func (q *Quarantine) IsSuspect(now time.Time, f model.Fingerprint) (suspect bool) {
	return q.Check(now, f) == Suspect
}

// Admit reports whether a run of a fingerprint may start on an endpoint. Until a fingerprint has completed once, it runs on one
// endpoint at a time: copies on two endpoints could crash both, and a fingerprint that runs beside them on both would be blamed
// twice. AdmitSuspect applies to suspects.
func (q *Quarantine) Admit(now time.Time, f model.Fingerprint, endpoint model.EndpointID) bool {
	switch q.Check(now, f) {
	case Quarantined:
		return false
	case Suspect:
		return q.AdmitSuspect(now, f, endpoint)
	}
	if q.completed[f] != nil || slices.Contains(q.runsByFingerprint[f], endpoint) {
		return true
	}
	return !q.HasUnprovenRun(f)
}

// HasUnprovenRun reports whether this instance runs the fingerprint and it has never completed.
func (q *Quarantine) HasUnprovenRun(f model.Fingerprint) bool {
	return q.completed[f] == nil && len(q.runsByFingerprint[f]) > 0
}

// UnprovenRunEndpoints returns the endpoints on which this instance runs the fingerprint, if it has never completed.
func (q *Quarantine) UnprovenRunEndpoints(f model.Fingerprint) []model.EndpointID {
	if !q.HasUnprovenRun(f) {
		return nil
	}
	endpoints := slices.Clone(q.runsByFingerprint[f])
	slices.Sort(endpoints)
	return slices.Compact(endpoints)
}

// AdmitSuspect reports whether a run of a suspect may start on an endpoint: it runs nowhere else, and no other suspect runs on
// the endpoint. Two suspects on one endpoint would both be blamed for a crash that one of them causes.
func (q *Quarantine) AdmitSuspect(now time.Time, f model.Fingerprint, endpoint model.EndpointID) bool {
	return len(q.runsByFingerprint[f]) == 0 && !slices.ContainsFunc(q.runsByEndpoint[endpoint], func(other model.Fingerprint) bool {
		return q.Check(now, other) != Clear
	})
}

// Run is a run of a fingerprint on an endpoint by this instance.
type Run struct {
	Fingerprint model.Fingerprint
	Endpoint    model.EndpointID
}

// RunningSuspects returns the runs that started before their fingerprint became suspect. An instance that isn't the
// coordinator cancels them and forwards the requests to the coordinator. The coordinator has no record of these runs, and
// could start the crashing suspect on the same endpoint; that crash would then be the second one of both fingerprints. Before
// it runs a new suspect, the coordinator therefore waits for the duration of a gossip update and a cancellation.
func (q *Quarantine) RunningSuspects(now time.Time) []Run {
	var runs []Run
	for f := range q.suspects.All() {
		if len(q.runsByFingerprint[f]) == 0 || !q.IsSuspect(now, f) {
			continue
		}
		for _, endpoint := range q.runsByFingerprint[f] {
			runs = append(runs, Run{Fingerprint: f, Endpoint: endpoint})
		}
	}
	return runs
}

// AddRun records that a run of a fingerprint starts on an endpoint.
func (q *Quarantine) AddRun(_ time.Time, f model.Fingerprint, endpoint model.EndpointID) {
	q.runsByFingerprint[f] = append(q.runsByFingerprint[f], endpoint)
	q.runsByEndpoint[endpoint] = append(q.runsByEndpoint[endpoint], f)
}

// RemoveRun records that a run ended without completion or crash. It returns false when there is no such run.
func (q *Quarantine) RemoveRun(_ time.Time, f model.Fingerprint, endpoint model.EndpointID) bool {
	index := slices.Index(q.runsByFingerprint[f], endpoint)
	if index < 0 {
		return false
	}
	if q.runsByFingerprint[f] = slices.Delete(q.runsByFingerprint[f], index, index+1); len(q.runsByFingerprint[f]) == 0 {
		delete(q.runsByFingerprint, f)
	}
	index = slices.Index(q.runsByEndpoint[endpoint], f)
	if q.runsByEndpoint[endpoint] = slices.Delete(q.runsByEndpoint[endpoint], index, index+1); len(q.runsByEndpoint[endpoint]) == 0 {
		delete(q.runsByEndpoint, endpoint)
	}
	return true
}

// CompleteRun records that a process completed a run with success, and returns gossip updates of what that proves. It ends no
// quarantine.
func (q *Quarantine) CompleteRun(now time.Time, f model.Fingerprint, process Process) []model.Rumour {
	q.RemoveRun(now, f, process.Endpoint)
	q.rememberCompletion(now, f, process)
	if len(q.activeCrashes(now, f)) == 0 {
		return nil
	}
	return q.addCompletion(now, f, process, now)
}

// RecordCrash blames the crash of a process on the fingerprints that this instance had in flight on it, and returns gossip updates
// of that.
func (q *Quarantine) RecordCrash(now time.Time, process Process, inFlight []model.Fingerprint) []model.Rumour {
	var updates []model.Rumour
	fingerprints := slices.Clone(inFlight)
	slices.Sort(fingerprints)
	for _, f := range slices.Compact(fingerprints) {
		for q.RemoveRun(now, f, process.Endpoint) {
			continue
		}
		e := evidence{process: process.ID(), software: process.SoftwareVersion, until: now.Add(q.settings.SuspicionTTL)}
		if !q.mergeCrash(now, f, e) {
			continue
		}
		updates = append(updates, newSuspectUpdate(f, e))
		if earlier, ok := q.earlierCompletion(now, f, process.SoftwareVersion); ok {
			updates = append(updates, q.addCompletion(now, f, earlier.process, earlier.at)...)
		}
	}
	return append(updates, q.PopDerived()...)
}

// PopDerived returns the verdicts that resulted from merged crashes, for the caller to publish, and empties the list of them.
func (q *Quarantine) PopDerived() []model.Rumour {
	derived := q.derived
	q.derived = nil
	return derived
}

// Lift ends a quarantine or a suspicion and returns the gossip update of it. The crashes that led to it never count again.
func (q *Quarantine) Lift(now time.Time, f model.Fingerprint) model.Rumour {
	lift := verdict{version: 2, until: now.Add(q.settings.QuarantineTTL)}
	if v, ok := q.verdicts.Get(f); ok {
		lift.version = v.version + 2 - v.version%2 // the next even version
		lift.crashes = slices.Clone(v.crashes)
	}
	for _, c := range q.activeCrashes(now, f) {
		lift.crashes = append(lift.crashes, c.process)
	}
	q.mergeVerdict(now, f, lift)
	v, _ := q.verdicts.Get(f)
	return newVerdictUpdate(f, v)
}
