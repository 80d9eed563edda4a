package jujubequarantine

import (
	"slices"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

// Entry is a fingerprint that is suspect or quarantined.
type Entry struct {
	Fingerprint model.Fingerprint
	State       Status
	Crashes     []model.ProcessID
	Until       time.Time
}

// Count returns the number of fingerprints in a state other than Clear.
func (q *Quarantine) Count(now time.Time, state Status) int {
	count := 0
	for f := range q.suspects.All() {
		if q.Check(now, f) == state {
			count++
		}
	}
	for f := range q.verdicts.All() {
		if _, isCounted := q.suspects.Get(f); !isCounted && q.Check(now, f) == state {
			count++
		}
	}
	return count
}

// List returns the quarantined fingerprints and then the suspects, each in order, as of the latest time passed to Check.
func (q *Quarantine) List() []Entry {
	var entries []Entry
	for f := range q.suspects.All() {
		q.derive(q.latestTime, f)
	}
	for f, v := range q.verdicts.All() {
		if v.isInForce(q.latestTime) {
			entries = append(entries, Entry{Fingerprint: f, State: Quarantined, Crashes: slices.Clone(v.crashes), Until: v.until})
		}
	}
	for f := range q.suspects.All() {
		if q.Check(q.latestTime, f) != Suspect {
			continue
		}
		entry := Entry{Fingerprint: f, State: Suspect}
		for _, c := range q.activeCrashes(q.latestTime, f) {
			entry.Crashes = append(entry.Crashes, c.process)
			if c.until.After(entry.Until) {
				entry.Until = c.until
			}
		}
		entries = append(entries, entry)
	}
	return entries
}
