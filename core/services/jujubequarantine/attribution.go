package jujubequarantine

import (
	"slices"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

// derive quarantines a fingerprint that has reached the limit once its crashes have settled.
func (q *Quarantine) derive(now time.Time, f model.Fingerprint) {
	v, hasVerdict := q.verdicts.Get(f)
	if hasVerdict && v.isInForce(now) {
		return
	}
	active := q.activeCrashes(now, f)
	if !q.hasReachedLimit(now, f, active) || now.Before(q.settledAt(active)) {
		return
	}
	derived := verdict{version: 1, until: now.Add(q.settings.QuarantineTTL)}
	if hasVerdict {
		derived.version = v.version + 1 + v.version%2
	}
	for _, c := range active[:q.settings.Limit] {
		derived.crashes = append(derived.crashes, c.process)
	}
	q.mergeVerdict(now, f, derived)
	merged, _ := q.verdicts.Get(f)
	q.derived = append(q.derived, newVerdictUpdate(f, merged))
}

// hasReachedLimit reports whether a fingerprint has crashed so many endpoints that it may not run again.
func (q *Quarantine) hasReachedLimit(now time.Time, f model.Fingerprint, active []evidence) bool {
	if len(active) < q.settings.Limit {
		return false
	}
	a := q.assess(now, f)
	if q.isSound(a) {
		return false
	}
	if q.settings.SharedLimit == q.settings.Limit {
		return a.excess >= q.settings.Limit
	}
	own, shared := q.attribute(now, f, a, active)
	return own >= q.settings.Limit || shared >= q.settings.SharedLimit && a.excess >= q.settings.Limit
}

// settledAt returns when all instances have reported what was in flight in the last of some crashes.
func (q *Quarantine) settledAt(crashes []evidence) time.Time {
	var last time.Time
	for _, c := range crashes {
		if c.learnedAt.After(last) {
			last = c.learnedAt
		}
	}
	return last.Add(q.settings.SettleTime)
}

// attribute returns the numbers of a fingerprint's crashes that are its own, as all others that were in flight are less suspect, and
// of those that nothing more suspect was in flight in. A sound request next to crashing ones completes on other processes, or isn't
// in flight in further crashes.
func (q *Quarantine) attribute(now time.Time, f model.Fingerprint, a assessment, active []evidence) (own, shared int) {
	isShared, isOthers := make(map[model.ProcessID]bool, len(active)), make(map[model.ProcessID]bool, len(active))
	for _, crash := range active {
		isShared[crash.process] = false
	}
	for other, suspicion := range q.suspects.All() {
		if other == f || !slices.ContainsFunc(suspicion.crashes, func(crash evidence) bool {
			_, isCommon := isShared[crash.process]
			return isCommon && crash.isActive(now)
		}) {
			continue
		}
		b := q.assess(now, other)
		for _, crash := range q.activeCrashes(now, other) {
			isShared[crash.process] = isShared[crash.process] || !b.isLessSuspect(a)
			isOthers[crash.process] = isOthers[crash.process] || a.isLessSuspect(b)
		}
	}
	for _, crash := range active {
		if !isShared[crash.process] {
			own++
		}
		if !isOthers[crash.process] {
			shared++
		}
	}
	return own, shared
}
