package jujubebatch

import (
	"time"

	"jujubepier.example/core/services/jujubeplacement"
)

// A submission needs GroupCount whole groups. The groups that are expected to take longest beyond that number are surplus: their items
// are assigned after the needed ones of all submissions that this instance knows, and only to free slots.

const (
	// measureInterval is the minimum time between two estimates of a submission's remaining work.
	measureInterval = 20 * time.Millisecond
	// foreignWaitTime is how long the items of a submission that another instance assigns count as waiting. They have engines then,
	// or those that are left wait for a version.
	foreignWaitTime = 2 * time.Second
	// maxAcceptanceAge bounds the age of a submission by the accepting instance's clock, which may be off.
	maxAcceptanceAge = 10 * time.Second
	// defaultResultDeadline is the time until a submission's results are due if its route doesn't say.
	defaultResultDeadline = 7500 * time.Millisecond
)

// itemGroup is a group of a submission.
type itemGroup struct {
	items []*item
	// isCarried is true if an earlier submission had one of the items without a result.
	isCarried bool
}

// groupItems returns the groups of a new submission. An item without a group is one of its own.
func (s *Scheduler) groupItems(submission *submission) []itemGroup {
	var groups []itemGroup
	indexes := map[GroupID]int{}
	for _, item := range submission.order {
		at, ok := indexes[item.Group]
		if !ok || item.Group == "" {
			at = len(groups)
			indexes[item.Group] = at
			groups = append(groups, itemGroup{})
		}
		groups[at].items = append(groups[at].items, item)
		earlier := s.latestItems[item.ID]
		groups[at].isCarried = groups[at].isCarried || earlier != nil && earlier.submission != submission
	}
	return groups
}

// localAcceptance returns the local time of the submission's acceptance: that of the accepting instance's clock if it is plausible, or
// else the time at which the record was read.
func (s *submission) localAcceptance() time.Time {
	age := s.readAt.Sub(time.UnixMilli(s.Accepted))
	if age < 0 || age > maxAcceptanceAge {
		return s.readAt
	}
	return s.readAt.Add(-age)
}

// measureSteps estimates what is left of the submissions for which this instance may have work.
func (s *Scheduler) measureSteps(now time.Time, open []*submission, fleet fleetIntervals) {
	for _, submission := range open {
		if submission.measuredAt.IsZero() || now.Sub(submission.measuredAt) >= measureInterval {
			submission.measuredAt = now
			s.measureStep(now, submission, fleet)
		}
	}
}

// measureStep determines which items of a submission are surplus, and the length of the longest needed one.
func (s *Scheduler) measureStep(now time.Time, submission *submission, fleet fleetIntervals) {
	groups := make([]jujubeplacement.Group, len(submission.groups))
	longest := make([]float64, len(submission.groups))
	for i, group := range submission.groups {
		groups[i].IsWhole, groups[i].IsCarried = true, group.isCarried
		for _, item := range group.items {
			groups[i].HasFailed = groups[i].HasFailed || item.isErrored
			groups[i].IsWhole = groups[i].IsWhole && item.hasResult && !item.isErrored
			events, remaining := s.estimateRemaining(now, item, fleet)
			longest[i], groups[i].Remaining = max(longest[i], events), max(groups[i].Remaining, remaining)
		}
	}
	submission.stepEvents = 0
	for i, isSurplus := range jujubeplacement.Surplus(groups, submission.GroupCount) {
		if !isSurplus {
			submission.stepEvents = max(submission.stepEvents, longest[i])
		}
		for _, item := range submission.groups[i].items {
			item.isSurplus = isSurplus && !item.delegatedHere
		}
	}
}

// estimateRemaining returns the expected number of events that an item without a complete text still has, and the time that they take on
// its engine, or on one of the faster engines if it has none.
func (s *Scheduler) estimateRemaining(now time.Time, item *item, fleet fleetIntervals) (events float64, remaining time.Duration) {
	if item.hasResult || item.resultQueued || item.unscored != nil {
		return 0, 0
	}
	interval, done := fleet.fastInterval(), item.textLength()
	e, isAssigned := s.engines.Get(item.assignedEngine)
	switch {
	case isAssigned:
		interval = expectedInterval(e, fleet)
		if item.run == nil {
			done = max(done, int(now.Sub(item.assignedAt)/interval)) // another instance runs it
		}
	case item.submission.By != s.self && s.isLive(item.submission.By):
		done = max(done, int(now.Sub(item.submission.readAt)/interval))
	}
	events = s.lengthsOf(item.submission.Model).Remaining(item.ExpectedTokens, done)
	return events, time.Duration(events * float64(interval))
}

// countFreeSlots returns the number of free slots of the engines that may run items of a submission.
func (s *Scheduler) countFreeSlots(now time.Time, submission *submission) int {
	free := 0
	for _, e := range s.engines.All() {
		if !e.Leaving && e.Versions[submission.Model] >= submission.MinVersion {
			free += max(0, e.Slots-s.estimateLoad(now, e))
		}
	}
	return free
}

// countForeignWaiting estimates how many needed items that other instances assign wait for an engine: those of young submissions, less
// the items that engines have from other instances.
func (s *Scheduler) countForeignWaiting(now time.Time) int {
	waiting := 0
	for _, submission := range s.openSubmissions() {
		if submission.By == s.self || !s.isLive(submission.By) || now.Sub(submission.readAt) > foreignWaitTime {
			continue
		}
		needed := submission.unresolved
		if groups := len(submission.groups); submission.GroupCount > 0 && submission.GroupCount < groups {
			needed = needed * submission.GroupCount / groups
		}
		waiting += needed
	}
	for _, e := range s.engines.All() {
		waiting -= s.estimateLoad(now, e) - e.assigned
	}
	return max(0, waiting)
}

// SurplusWaiting returns how many surplus items this instance holds back.
func (s *Scheduler) SurplusWaiting(now time.Time) int {
	count := 0
	for _, submission := range s.openSubmissions() {
		if !s.mayHaveWork(submission) {
			continue
		}
		for _, item := range submission.order {
			if item.isSurplus && item.assignedEngine == "" && !item.hasResult && item.unscored == nil && s.isResponsible(now, item) {
				count++
			}
		}
	}
	return count
}
