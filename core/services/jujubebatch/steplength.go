package jujubebatch

import (
	"time"

	"jujubepier.example/core/services/jujubeplacement"
)

// A submission needs GroupCount whole groups, so the groups that are expected to take longest beyond that number don't decide when its step
// ends. Their items aren't held back: the estimates are often wrong, and a needed group may be delayed by a fault.

const (
	// measureInterval is the minimum time between two estimates of a submission's remaining work.
	measureInterval = 20 * time.Millisecond
	// maxAcceptanceAge bounds the age of a submission by the accepting instance's clock, which may be off.
	maxAcceptanceAge = 10 * time.Second
	// defaultResultDeadline is the time until a submission's results are due if its route doesn't say.
	defaultResultDeadline = 7500 * time.Millisecond
)

// itemGroup is a group of a submission.
type itemGroup struct {
	// items are indexes into the submission's items.
	items []int32
	// isCarried is true if an earlier submission had one of the items without a result.
	isCarried bool
}

// groupItems returns the groups of a new submission. An item without a group is one of its own.
func (s *Scheduler) groupItems(submission *submission) []itemGroup {
	var sizes []int32
	indexes := map[GroupID]int32{}
	groupOf := make([]int32, len(submission.items))
	for i := range submission.items {
		group := submission.items[i].Group
		at, ok := indexes[group]
		if !ok || group == "" {
			at = int32(len(sizes))
			indexes[group] = at
			sizes = append(sizes, 0)
		}
		sizes[at]++
		groupOf[i] = at
	}
	groups, members := make([]itemGroup, len(sizes)), make([]int32, len(submission.items))
	for i, size := range sizes {
		groups[i].items, members = members[:0:size], members[size:]
	}
	for i, at := range groupOf {
		earlier := s.findReusable(submission.items[i].reuseKey())
		groups[at].items = append(groups[at].items, int32(i))
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
		if submission.measuredAt.IsZero() || now.Sub(submission.measuredAt) >= max(measureInterval, submission.scanInterval()) {
			submission.measuredAt = now
			s.measureStep(now, submission, fleet)
		}
	}
}

// measureStep estimates the length of the longest item that a submission needs.
func (s *Scheduler) measureStep(now time.Time, submission *submission, fleet fleetIntervals) {
	groups := make([]jujubeplacement.Group, len(submission.groups))
	longest := make([]float64, len(submission.groups))
	for i, group := range submission.groups {
		groups[i].IsWhole, groups[i].IsCarried = true, group.isCarried
		for _, at := range group.items {
			item := &submission.items[at]
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
	case item.submission.By != s.self && item.submission.isAcceptorLive:
		done = max(done, int(now.Sub(item.submission.readAt)/interval))
	}
	events = s.lengthsOf(item.submission.Model).Remaining(item.ExpectedTokens, done)
	return events, time.Duration(events * float64(interval))
}
