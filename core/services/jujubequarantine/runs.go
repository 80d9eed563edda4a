package jujubequarantine

import (
	"slices"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/models/jujubetable"
)

// brokenRetention is how long a run that broke off may still be attributed to a crash of its endpoint. An endpoint that has lost
// its power is only known to have crashed once its registry entry is replaced or expires, after some seconds.
const brokenRetention = 10 * time.Second

// crashedRetention is how long a crash is remembered whose endpoint's next entry isn't read, as the store is away.
const crashedRetention = 10 * time.Minute

// entryDelay is how long after the start of a process its registry entry may be read.
const entryDelay = time.Second

// Attempt identifies a run among those of this instance.
type Attempt struct {
	ID          model.RequestID
	Fingerprint model.Fingerprint
	Process     Process
	// startedAt is set by RunTracker.Start. sentTo is the incarnation for which the run was sent: that of Process, unless a later one turned
	// out to have run it.
	startedAt time.Time
	sentTo    model.Incarnation
}

// isOn reports whether the run is on an incarnation of an endpoint.
func (a Attempt) isOn(endpoint model.EndpointID, incarnation model.Incarnation) bool {
	return a.Process.Endpoint == endpoint && a.Process.Incarnation == incarnation
}

// RunTracker tracks the runs of fingerprints on the incarnations of endpoints, and blames those that were in flight when an
// incarnation crashed. A connection that breaks off isn't a crash: the run is blamed only once the end of the process is known.
// It isn't safe for concurrent use: the owner of the quarantine owns it.
type RunTracker struct {
	quarantine *Quarantine
	running    *jujubetable.Table[model.RequestID, Attempt]
	// broken are the runs that broke off, oldest first, while it isn't known whether their endpoint crashed.
	broken []brokenRun
	// crashed holds the latest incarnation of each endpoint that is known to have crashed.
	crashed map[model.EndpointID]crashedProcess
}

type brokenRun struct {
	attempt Attempt
	at      time.Time
	// aliveAt is when a process was found alive at the endpoint's address; zero if none was. It may be the next one already.
	aliveAt time.Time
}

type crashedProcess struct {
	incarnation model.Incarnation
	// restarts counts the further processes that crashed before another incarnation was known.
	restarts int
	at       time.Time
}

// NewRunTracker returns a tracker that blames runs in a quarantine.
func NewRunTracker(quarantine *Quarantine) *RunTracker {
	return &RunTracker{
		quarantine: quarantine, running: jujubetable.New[model.RequestID, Attempt](), crashed: map[model.EndpointID]crashedProcess{},
	}
}

// Start records that a run starts.
func (t *RunTracker) Start(now time.Time, attempt Attempt) {
	attempt.startedAt, attempt.sentTo = now, attempt.Process.Incarnation
	t.running.Put(attempt.ID, attempt)
	t.quarantine.AddRun(now, attempt.Fingerprint, attempt.Process.Endpoint)
}

// Complete records that a run got a whole response that is a success, and returns the updates about that.
func (t *RunTracker) Complete(now time.Time, id model.RequestID) []model.Rumour {
	attempt, ok := t.running.Get(id)
	if !ok {
		return nil
	}
	t.running.Delete(id)
	return t.quarantine.CompleteRun(now, attempt.Fingerprint, attempt.Process)
}

// Cancel records that a run didn't start, was cancelled by this instance, or got a response that proves nothing about its content.
func (t *RunTracker) Cancel(now time.Time, id model.RequestID) {
	if attempt, ok := t.running.Get(id); ok {
		t.running.Delete(id)
		t.quarantine.RemoveRun(now, attempt.Fingerprint, attempt.Process.Endpoint)
	}
}

// Break records that a run broke off. If its endpoint's process is known to have crashed, it returns the updates about that;
// otherwise isPending is true, and the owner has to find out whether the process still lives.
func (t *RunTracker) Break(now time.Time, id model.RequestID) (updates []model.Rumour, isPending bool) {
	attempt, ok := t.running.Get(id)
	if !ok {
		return nil, false
	}
	t.Cancel(now, id)
	t.broken = slices.DeleteFunc(t.broken, func(run brokenRun) bool { return now.Sub(run.at) > brokenRetention })
	t.broken = append(t.broken, brokenRun{attempt: attempt, at: now})
	process := attempt.Process
	if crashed, ok := t.crashed[process.Endpoint]; ok && crashed.incarnation == process.Incarnation && !attempt.startedAt.After(crashed.at) {
		return t.RecordCrash(now, process.Endpoint, process.Incarnation), false
	}
	return nil, true
}

// RecordAlive records that an endpoint accepted connections after the runs on an incarnation that broke off before a time: the fault
// was that of a connection, unless the incarnation turns out to have been replaced already.
func (t *RunTracker) RecordAlive(now, before time.Time, endpoint model.EndpointID, incarnation model.Incarnation) {
	for i := range t.broken {
		run := &t.broken[i]
		if run.attempt.Process.Endpoint == endpoint && run.attempt.sentTo == incarnation && !run.at.After(before) && run.aliveAt.IsZero() {
			run.aliveAt = now
		}
	}
}

// RecordReplacement blames the crash of an incarnation whose endpoint has started again as the next one: also on the runs that broke off
// before the endpoint was found alive, if that was just before the next incarnation's entry was read. If the crash is known, what has run
// since then is attributed to the next one.
func (t *RunTracker) RecordReplacement(now time.Time, endpoint model.EndpointID, incarnation, next model.Incarnation) []model.Rumour {
	if crashed, ok := t.crashed[endpoint]; ok && crashed.incarnation == incarnation {
		t.moveRuns(endpoint, incarnation, next, crashed.at)
		return nil
	}
	for i := range t.broken {
		if run := &t.broken[i]; run.attempt.isOn(endpoint, incarnation) && now.Sub(run.aliveAt) <= entryDelay {
			run.aliveAt = time.Time{}
		}
	}
	return t.RecordCrash(now, endpoint, incarnation)
}

// moveRuns attributes the runs that were sent to an incarnation after a time to the next one.
func (t *RunTracker) moveRuns(endpoint model.EndpointID, incarnation, next model.Incarnation, after time.Time) {
	isLater := func(attempt Attempt) bool {
		return attempt.isOn(endpoint, incarnation) && attempt.startedAt.After(after)
	}
	for id, attempt := range t.running.All() {
		if isLater(attempt) {
			attempt.Process.Incarnation = next
			t.running.Put(id, attempt)
		}
	}
	for i := range t.broken {
		if isLater(t.broken[i].attempt) {
			t.broken[i].attempt.Process.Incarnation = next
		}
	}
}

// RecordRemoval blames the crash of an incarnation whose registry entry has expired on the runs that broke off on it. Those in
// flight aren't blamed: an endpoint may go on serving without an entry.
func (t *RunTracker) RecordRemoval(now time.Time, endpoint model.EndpointID, incarnation model.Incarnation) []model.Rumour {
	return t.blame(now, Process{Endpoint: endpoint, Incarnation: incarnation}, t.takeBroken(now, endpoint, incarnation))
}

// takeBroken removes the runs on an incarnation that broke off, and returns those that did recently.
func (t *RunTracker) takeBroken(now time.Time, endpoint model.EndpointID, incarnation model.Incarnation) []Attempt {
	var attempts []Attempt
	t.broken = slices.DeleteFunc(t.broken, func(run brokenRun) bool {
		isOn := run.attempt.isOn(endpoint, incarnation)
		if isOn && run.aliveAt.IsZero() && now.Sub(run.at) <= brokenRetention {
			attempts = append(attempts, run.attempt)
		}
		return isOn
	})
	return attempts
}

// RecordCrash blames the crash of an incarnation on the runs that were in flight on it, and returns the updates about that. Runs that
// started after an earlier crash of the incarnation were on a further process, whose entry hasn't been read.
func (t *RunTracker) RecordCrash(now time.Time, endpoint model.EndpointID, incarnation model.Incarnation) []model.Rumour {
	for id, known := range t.crashed {
		if now.Sub(known.at) > crashedRetention {
			delete(t.crashed, id)
		}
	}
	inFlight := t.takeBroken(now, endpoint, incarnation)
	for _, attempt := range t.running.All() {
		// It stays in the table: it may be in flight on the next process already, and complete.
		if attempt.isOn(endpoint, incarnation) {
			inFlight = append(inFlight, attempt)
		}
	}
	crashed, isKnown := t.crashed[endpoint]
	isKnown = isKnown && crashed.incarnation == incarnation
	process := Process{Endpoint: endpoint, Incarnation: incarnation, Restarts: crashed.restarts}
	if !isKnown {
		process.Restarts = 0
		t.crashed[endpoint] = crashedProcess{incarnation: incarnation, at: now}
		return t.blame(now, process, inFlight)
	}
	var earlier, later []Attempt
	for _, attempt := range inFlight {
		if attempt.startedAt.After(crashed.at) {
			later = append(later, attempt)
		} else {
			earlier = append(earlier, attempt)
		}
	}
	updates := t.blame(now, process, earlier)
	if len(later) > 0 {
		process.Restarts++
		t.crashed[endpoint] = crashedProcess{incarnation, process.Restarts, now}
		updates = append(updates, t.blame(now, process, later)...)
	}
	return updates
}

// blame blames the crash of a process on the runs that were in flight on it.
func (t *RunTracker) blame(now time.Time, process Process, inFlight []Attempt) []model.Rumour {
	var fingerprints []model.Fingerprint
	for _, attempt := range inFlight {
		process.SoftwareVersion = max(process.SoftwareVersion, attempt.Process.SoftwareVersion)
		fingerprints = append(fingerprints, attempt.Fingerprint)
	}
	return t.quarantine.RecordCrash(now, process, fingerprints)
}

// SuspectEndpoints returns the endpoints on which this instance runs suspects other than the fingerprint, which better don't run
// beside it: each would be in flight in a crash that another one causes.
func (t *RunTracker) SuspectEndpoints(now time.Time, f model.Fingerprint) []model.EndpointID {
	var endpoints []model.EndpointID
	for _, attempt := range t.running.All() {
		if attempt.Fingerprint != f && t.quarantine.Check(now, attempt.Fingerprint) != Clear {
			endpoints = append(endpoints, attempt.Process.Endpoint)
		}
	}
	slices.Sort(endpoints)
	return slices.Compact(endpoints)
}
