package jujubeusage

import (
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubeduty"
)

// NextReport returns the report to send now, the oldest one first.
func (l *Ledger) NextReport(now Now) (Report, bool) {
	for window, e := range l.entries.All() {
		if !e.sent && now.True.Before(l.settings.sendUntil(window)) && e.backoff.IsDue(now.Local) {
			return e.report, true
		}
	}
	return Report{}, false
}

// RecordOutcome records the outcome of a call that sent the report of a window, and returns the delay before the next try; zero for
// none.
func (l *Ledger) RecordOutcome(local time.Time, window Window, outcome jujubeduty.Outcome) time.Duration {
	e, ok := l.entries.Get(window)
	switch {
	case !ok:
		return 0
	case outcome == jujubeduty.Done || outcome == jujubeduty.Rejected:
		e.sent = true
		l.proposedAt.Delete(window)
		return 0
	}
	return e.backoff.Fail(local)
}

// Unsent returns the number of fixed reports that the platform hasn't accepted, of those that may still be sent.
func (l *Ledger) Unsent(now time.Time) int {
	count := 0
	for window, e := range l.entries.All() {
		if !e.sent && now.Before(l.settings.sendUntil(window)) {
			count++
		}
	}
	return count
}

// Forget forgets old windows, and the statements of instances that are gone once the reports of their windows aren't sent any more.
// It returns the windows whose reports weren't accepted in time, each of them once.
func (l *Ledger) Forget(now time.Time, live []model.InstanceID) []Window {
	var expired []Window
	l.floor = max(l.floor, l.settings.oldest(now))
	for window, e := range l.entries.All() {
		if !e.sent && !e.expired && !now.Before(l.settings.sendUntil(window)) {
			e.expired = true
			expired = append(expired, window)
		}
		if window < l.floor {
			l.entries.Delete(window)
		}
	}
	for window := range l.proposedAt.All() {
		if window < l.floor {
			l.proposedAt.Delete(window)
		}
	}
	isLive := newSet(live)
	for id, s := range l.statements.All() {
		last := s.Note.Final
		for _, window := range s.Note.Windows {
			last = max(last, window.Window)
		}
		if !isLive[id] && last < l.floor {
			l.statements.Delete(id)
		}
	}
	return expired
}
