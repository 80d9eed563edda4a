package jujubeusage

import (
	"cmp"
	"slices"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/models/jujubetable"
	"jujubepier.example/core/services/jujubeduty"
)

// Report is the fixed content of a window's report.
type Report struct {
	Window Window
	Counts Counts
}

// Statement is the note of a process of an instance.
type Statement struct {
	Instance    model.InstanceID
	Incarnation model.Incarnation
	// Number increases with each statement of an incarnation.
	Number int64
	Note   Note
}

// Record is a record of the reports on the log.
type Record struct {
	// Fixed fixes the content of a report. The first record for a window counts.
	Fixed *Report `json:",omitempty"`
	// Accepted holds windows whose reports the platform has accepted, or rejected for good.
	Accepted []Window `json:",omitempty"`
	// Left is the last statement of an instance that leaves.
	Left *Statement `json:",omitempty"`
}

// Now is the present in two clocks: the estimated true time, which may jump, and the instance's own clock, which doesn't.
type Now struct {
	True  time.Time
	Local time.Time
}

// entry is the state of a report.
type entry struct {
	report Report
	// sent is true once the platform has accepted the report, and isRecorded once that has been read from the log.
	sent, isRecorded bool
	// expired is true once Forget has returned the window.
	expired bool
	backoff jujubeduty.Backoff
}

// statement is the latest statement of an instance; hasLeft is true if that was its last one.
type statement struct {
	Statement
	hasLeft bool
}

// Ledger combines the counts of all instances. It isn't safe for concurrent use.
type Ledger struct {
	settings Settings
	// statements holds the latest statement of each instance, also of those that are gone: each contains all counts of its instance
	// once, because a process continues from the statement of the one before it. It is kept until the reports of its windows are
	// fixed.
	statements *jujubetable.Table[model.InstanceID, statement]
	// entries holds the fixed reports. The content of a report never changes, and is that of the first record on the log.
	entries *jujubetable.Table[Window, *entry]
	// floor is the first window that hasn't been forgotten. Records of windows before it are ignored, because whether they are the
	// first ones isn't known any more. It never decreases.
	floor Window
	// proposedAt is when windows were last proposed; a proposal that isn't read back is repeated.
	proposedAt *jujubetable.Table[Window, time.Time]
	// ownReadAt is when the last statement of this instance was read back, and settledAt is when the other instances have written
	// theirs after an outage of the log. No report is fixed before it, because the counts of the outage would be missing.
	ownReadAt, settledAt time.Time
	// removedAt is when the heartbeats of instances that have left were removed. Their last statements are on another topic, which
	// may be read later.
	removedAt *jujubetable.Table[model.InstanceID, time.Time]
}

const (
	// proposalTimeout is the time after which a record that hasn't been read back is appended again.
	proposalTimeout = 1500 * time.Millisecond
	// maxOwnGap is the time without a statement of this instance on the log that counts as an outage: two heartbeats and their
	// latency.
	maxOwnGap = 2 * time.Second
	// settleTime is how long after an outage the statements of the other instances are waited for: the timeout of a failing append,
	// and the heartbeats until an instance that has just started knows the true time.
	settleTime = 5 * time.Second
	// leaveTime is how long the last statement of an instance that has left is waited for. It is above the age of what a holder that
	// fixes reports has read.
	leaveTime = 2 * time.Second
)

// NewLedger returns a ledger that has read nothing.
func NewLedger(settings Settings) *Ledger {
	return &Ledger{
		settings: settings, statements: jujubetable.New[model.InstanceID, statement](), entries: jujubetable.New[Window, *entry](),
		proposedAt: jujubetable.New[Window, time.Time](), removedAt: jujubetable.New[model.InstanceID, time.Time](),
	}
}

// ApplyStatement applies a statement. Statements of an earlier process or number have no effect, so they may arrive in any order and
// several times.
func (l *Ledger) ApplyStatement(stated Statement) { l.apply(statement{Statement: stated}) }

func (l *Ledger) apply(s statement) {
	known, ok := l.statements.Get(s.Instance)
	if ok && cmp.Or(cmp.Compare(s.Incarnation, known.Incarnation), cmp.Compare(s.Number, known.Number)) <= 0 {
		return
	}
	l.statements.Put(s.Instance, s)
}

// ObserveRemoved records that the heartbeat of an instance was removed, because it has left.
func (l *Ledger) ObserveRemoved(local time.Time, id model.InstanceID) { l.removedAt.Put(id, local) }

// withLeaving adds the instances that have just left.
func (l *Ledger) withLeaving(local time.Time, live []model.InstanceID) []model.InstanceID {
	for id, at := range l.removedAt.All() {
		if local.Sub(at) < leaveTime {
			live = append(slices.Clip(live), id)
		} else {
			l.removedAt.Delete(id)
		}
	}
	return live
}

// ObserveOwn records that a statement of this process was read back from the log.
func (l *Ledger) ObserveOwn(local time.Time) {
	if l.ownReadAt.IsZero() || local.Sub(l.ownReadAt) > maxOwnGap {
		l.settledAt = local.Add(settleTime)
	}
	l.ownReadAt = local
}

// isSettled reports whether the statements of the live instances are up to date as far as the log works.
func (l *Ledger) isSettled(local time.Time) bool {
	return !l.ownReadAt.IsZero() && local.Sub(l.ownReadAt) <= maxOwnGap && !local.Before(l.settledAt)
}

// ApplyRecord applies a record that was read from the log; records have to be applied in the order of the log.
func (l *Ledger) ApplyRecord(record Record) {
	if record.Left != nil {
		l.apply(statement{*record.Left, true})
	}
	if record.Fixed != nil && record.Fixed.Window >= l.floor {
		if _, ok := l.entries.Get(record.Fixed.Window); !ok {
			l.entries.Put(record.Fixed.Window, &entry{report: *record.Fixed})
		}
	}
	for _, window := range record.Accepted {
		if e, ok := l.entries.Get(window); ok {
			e.sent, e.isRecorded = true, true
		}
	}
}

// IsFixed reports whether the report of a window has been read from the log.
func (l *Ledger) IsFixed(window Window) bool {
	_, ok := l.entries.Get(window)
	return ok || window < l.floor
}

// Plan returns the records to append: reports that can be fixed, and acceptances that aren't on the log. live are the instances that
// are alive.
func (l *Ledger) Plan(now Now, live []model.InstanceID) []Record {
	var records []Record
	live = l.withLeaving(now.Local, live)
	window, ok := l.firstUnfixed(now.True)
	for ok = ok && l.isSettled(now.Local); ok && !now.True.Before(l.settings.end(window)); window++ {
		if l.IsFixed(window) || !l.isComplete(now.True, window, live) || !l.propose(now.Local, window) {
			continue
		}
		report := Report{Window: window, Counts: l.sum(window)}
		records = append(records, Record{Fixed: &report})
	}
	var accepted []Window
	for window, e := range l.entries.All() {
		if e.sent && !e.isRecorded && l.propose(now.Local, window) {
			accepted = append(accepted, window)
		}
	}
	if len(accepted) > 0 {
		records = append(records, Record{Accepted: accepted})
	}
	return records
}

// propose reports whether a record for a window may be appended now.
func (l *Ledger) propose(local time.Time, window Window) bool {
	if at, ok := l.proposedAt.Get(window); ok && local.Sub(at) < proposalTimeout {
		return false
	}
	l.proposedAt.Put(window, local)
	return true
}

// firstUnfixed returns the first window whose report may have to be fixed.
func (l *Ledger) firstUnfixed(now time.Time) (Window, bool) {
	var first Window
	found := false
	for _, statement := range l.statements.All() {
		if !found || statement.Note.First < first {
			first, found = statement.Note.First, true
		}
	}
	for window := range l.entries.All() {
		if !found || window < first {
			first, found = window, true
		}
	}
	return max(first, l.floor, l.settings.firstSendable(now)), found
}

// isComplete reports whether no more counts of a window are waited for.
func (l *Ledger) isComplete(now time.Time, window Window, live []model.InstanceID) bool {
	return !now.Before(l.settings.end(window).Add(fixAfter)) || len(l.Missing(window, live)) == 0
}

// Missing returns the live instances that haven't declared a window final. An instance without a statement is of a build, or has
// settings, that counts nothing.
func (l *Ledger) Missing(window Window, live []model.InstanceID) []model.InstanceID {
	var missing []model.InstanceID
	for _, id := range live {
		if statement, ok := l.statements.Get(id); ok && !statement.hasLeft && statement.Note.Final < window {
			missing = append(missing, id)
		}
	}
	return missing
}

// sum returns the counts of all instances in a window.
func (l *Ledger) sum(window Window) Counts {
	sum := Counts{}
	for _, statement := range l.statements.All() {
		for _, counts := range statement.Note.Windows {
			if counts.Window == window {
				sum.add(counts.Counts)
			}
		}
	}
	return sum
}
