package jujubequarantine

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

// Process is one process of an endpoint.
type Process struct {
	Endpoint    model.EndpointID
	Incarnation model.Incarnation
	// Restarts counts the processes of the endpoint that have ended since the incarnation was read, which is that of the first one.
	Restarts        int
	SoftwareVersion model.SoftwareVersion
}

// ID returns the name of the process.
func (p Process) ID() model.ProcessID {
	id := string(p.Endpoint) + "~" + strconv.FormatInt(int64(p.Incarnation), 10)
	if p.Restarts > 0 {
		id += "+" + strconv.Itoa(p.Restarts)
	}
	return model.ProcessID(id)
}

// suspicion holds what is known for and against a fingerprint. Each process counts once on either side.
type suspicion struct {
	// crashes are the processes that ended while the fingerprint was in flight on them, sorted by id. Lifted crashes are kept, so
	// that a late update about them has no effect.
	crashes []evidence
	// completions are the processes that completed the fingerprint since its first crash, and the last one of each software version
	// before that, sorted by id.
	completions []evidence
}

// evidence is a crash or a completion.
type evidence struct {
	process  model.ProcessID
	software model.SoftwareVersion
	until    time.Time
	// lifted is true for a crash that an operator has lifted; it no longer counts.
	lifted bool
	// learnedAt is when this instance learned of it.
	learnedAt time.Time
}

func (e evidence) isActive(now time.Time) bool { return !e.lifted && now.Before(e.until) }

func selectActive(now time.Time, all []evidence) []evidence {
	var active []evidence
	for _, e := range all {
		if e.isActive(now) {
			active = append(active, e)
		}
	}
	return active
}

// mergeEvidence adds or updates an entry, and reports whether that changed anything. A lifted crash takes precedence over the same
// crash, and the later expiry over the earlier one. Expired entries are dropped, and the first to expire when there are too many.
func mergeEvidence(now time.Time, all []evidence, e evidence, limit int) (merged []evidence, changed bool) {
	index, found := slices.BinarySearchFunc(all, e.process, func(e evidence, id model.ProcessID) int { return cmp.Compare(e.process, id) })
	if found {
		old := all[index]
		e.lifted, e.learnedAt = e.lifted || old.lifted, old.learnedAt
		e.software = max(e.software, old.software)
		if old.until.After(e.until) {
			e.until = old.until
		}
		all[index] = e
		return all, e.lifted != old.lifted || e.software != old.software || !e.until.Equal(old.until)
	}
	all = slices.Insert(all, index, e)
	all = slices.DeleteFunc(all, func(e evidence) bool { return !now.Before(e.until) })
	if len(all) > limit {
		oldest := slices.MinFunc(all, func(a, b evidence) int { return a.until.Compare(b.until) })
		all = slices.DeleteFunc(all, func(e evidence) bool { return e.process == oldest.process })
	}
	return all, true
}

// expiry returns when the last crash or completion expires.
func (s *suspicion) expiry() time.Time {
	var latest time.Time
	for _, all := range [][]evidence{s.crashes, s.completions} {
		for _, e := range all {
			if e.until.After(latest) {
				latest = e.until
			}
		}
	}
	return latest
}

// compareForEviction orders suspicions: those with fewer crashes that count and then those that expire first are evicted first, so
// that many requests that were in flight in one crash don't replace one that has caused several.
func (s *suspicion) compareForEviction(now time.Time, other *suspicion) int {
	if difference := cmp.Compare(s.countCrashes(now), other.countCrashes(now)); difference != 0 {
		return difference
	}
	return s.expiry().Compare(other.expiry())
}

func (s *suspicion) countCrashes(now time.Time) int {
	count := 0
	for _, crash := range s.crashes {
		if crash.isActive(now) {
			count++
		}
	}
	return count
}

// activeCrashes returns the crashes that count against a fingerprint: those neither lifted nor expired.
func (q *Quarantine) activeCrashes(now time.Time, f model.Fingerprint) []evidence {
	if s, ok := q.suspects.Get(f); ok {
		return selectActive(now, s.crashes)
	}
	return nil
}

// assessment weighs what is known for and against a fingerprint.
type assessment struct {
	// crashes and completions are the numbers of processes that ended under it and that completed it. Completions by software
	// under which no process ended don't count.
	crashes, completions int
	// excess is by how many processes the crashes exceed the completions. A completion counts only against crashes of its own
	// software version, and the versions with too few completions are added up.
	excess int
}

func (q *Quarantine) assess(now time.Time, f model.Fingerprint) assessment {
	s, ok := q.suspects.Get(f)
	if !ok {
		return assessment{}
	}
	var a assessment
	excess := map[model.SoftwareVersion]int{}
	for _, e := range selectActive(now, s.crashes) {
		a.crashes++
		excess[e.software]++
	}
	for _, e := range selectActive(now, s.completions) {
		if _, hasCrashed := excess[e.software]; hasCrashed {
			a.completions++
			excess[e.software]--
		}
	}
	highest := -maxCompletions
	for _, difference := range excess {
		a.excess += max(0, difference)
		highest = max(highest, difference)
	}
	if a.excess == 0 {
		a.excess = highest
	}
	return a
}

// isSound reports whether so many processes have completed a fingerprint that its crashes are put down to something else.
func (q *Quarantine) isSound(a assessment) bool {
	return a.crashes == 0 || a.excess+q.settings.SoundMargin <= 0
}

// minExcessLead is by how many processes a fingerprint has to lead another one that was in flight in the same crash until the crash
// is put down to it alone. Two crashing fingerprints may take turns in ending processes under a third one.
const minExcessLead = 2

// isLessSuspect reports whether a fingerprint is so much less suspect than another one that the crashes of both are the other's.
func (a assessment) isLessSuspect(other assessment) bool {
	return a.excess <= 0 || other.excess >= a.excess+minExcessLead || a.completions > 0 && other.completions == 0
}

// completedContent holds, for each software version, the last process that completed a fingerprint.
type completedContent []completion

type completion struct {
	process Process
	at      time.Time
}

// maxCompletedSoftware bounds the software versions of a completedContent; during a release two serve.
const maxCompletedSoftware = 4

func (c completedContent) put(newest completion) completedContent {
	c = slices.DeleteFunc(c, func(old completion) bool { return old.process.SoftwareVersion == newest.process.SoftwareVersion })
	if c = append(c, newest); len(c) > maxCompletedSoftware {
		c = c[1:]
	}
	return c
}

// rememberCompletion records the latest completion of a fingerprint, whether or not it has crashes.
func (q *Quarantine) rememberCompletion(now time.Time, f model.Fingerprint, process Process) {
	if _, known := q.completed[f]; !known {
		if len(q.completedOrder) >= q.settings.MaxSuspects {
			delete(q.completed, q.completedOrder[0])
			q.completedOrder = append(q.completedOrder[:0], q.completedOrder[1:]...)
		}
		q.completedOrder = append(q.completedOrder, f)
	}
	q.completed[f] = q.completed[f].put(completion{process, now})
}

// earlierCompletion returns the last completion of a fingerprint by a process of a software version.
func (q *Quarantine) earlierCompletion(now time.Time, f model.Fingerprint, software model.SoftwareVersion) (completion, bool) {
	for _, earlier := range q.completed[f] {
		if earlier.process.SoftwareVersion == software && now.Sub(earlier.at) < q.settings.SuspicionTTL {
			return earlier, true
		}
	}
	return completion{}, false
}

// addCompletion records that a process completed a fingerprint that has crashes, and returns the update of it.
func (q *Quarantine) addCompletion(now time.Time, f model.Fingerprint, process Process, at time.Time) []model.Rumour {
	s, ok := q.suspects.Get(f)
	if !ok {
		return nil
	}
	count := 0
	for _, known := range s.completions {
		if known.process == process.ID() {
			return nil
		}
		if known.software == process.SoftwareVersion {
			count++
		}
	}
	if count > maxCrashes {
		return nil // more make no difference
	}
	e := evidence{process: process.ID(), software: process.SoftwareVersion, until: at.Add(q.settings.SuspicionTTL)}
	if !q.mergeCompletion(now, f, e) {
		return nil
	}
	return []model.Rumour{newCompletionUpdate(f, e)}
}
