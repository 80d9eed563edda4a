package jujubebatch

import (
	"slices"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

// A record that is on the log may need more memory than this instance has: a larger machine or an earlier build has accepted the submission,
// or several instances have accepted one each at the same time. Such a submission is deferred: this instance keeps its head only, tells the
// others, which run its items and answer for it, and reads it again once there is memory.

// deferred is a submission whose items aren't kept.
type deferred struct {
	// head has no items.
	head   Submission
	readAt time.Time
	offset int64
	bytes  int
	ended  bool
}

// maxDeferred bounds the deferred submissions whose heads are kept.
const maxDeferred = 1024

// SetMemoryLimit sets the memory of all submissions above which further ones are deferred; zero for no limit.
func (s *Scheduler) SetMemoryLimit(bytes int) { s.memoryLimit = bytes }

// HasMemory reports whether a submission can be kept beside what is reserved for others.
func (s *Scheduler) HasMemory(submission *Submission, reserved int) bool {
	return s.memoryLimit == 0 || s.heldBytes+reserved+submission.MemoryBytes() <= s.memoryLimit
}

// Defer keeps the head of a submission whose record is at an offset; it returns false if the submission is known, or if too many are
// deferred.
func (s *Scheduler) Defer(now time.Time, submission *Submission, offset int64) bool {
	if _, known := s.submissions.Get(submission.ID); known || s.IsDeferred(submission.ID) || len(s.deferredIDs) >= maxDeferred {
		return false
	}
	d := &deferred{head: *submission, readAt: now, offset: offset, bytes: submission.MemoryBytes()}
	d.head.Items, d.head.Chunks = nil, nil
	s.deferred[submission.ID] = d
	s.deferredIDs = append(s.deferredIDs, submission.ID)
	return true
}

// IsDeferred reports whether a submission is on the log but isn't kept here.
func (s *Scheduler) IsDeferred(id SubmissionID) bool { return s.deferred[id] != nil }

// Deferred returns the deferred submissions, the earliest first.
func (s *Scheduler) Deferred() []SubmissionID { return slices.Clone(s.deferredIDs) }

// NextDeferred returns the earliest deferred submission for which there is memory beside what is reserved, and the offset of its record.
func (s *Scheduler) NextDeferred(reserved int) (id SubmissionID, offset int64, ok bool) {
	for _, id := range s.deferredIDs {
		if d := s.deferred[id]; !d.ended && s.heldBytes+reserved+d.bytes <= s.memoryLimit {
			return id, d.offset, true
		}
	}
	return "", 0, false
}

// Undefer forgets that a submission is deferred: its entries are applied next, or its record has expired.
func (s *Scheduler) Undefer(id SubmissionID) {
	delete(s.deferred, id)
	s.deferredIDs = slices.DeleteFunc(s.deferredIDs, func(other SubmissionID) bool { return other == id })
}

// expireDeferred forgets deferred submissions as late as kept ones are deleted.
func (s *Scheduler) expireDeferred(now time.Time) {
	for len(s.deferredIDs) > 0 && now.Sub(s.deferred[s.deferredIDs[0]].readAt) > s.settings.OpenRetention {
		s.Undefer(s.deferredIDs[0])
	}
}

// FreesWithin returns how long it takes at least until submissions with a total size are deleted.
func (s *Scheduler) FreesWithin(now time.Time, bytes int) time.Duration {
	for _, ended := range s.byEndTime {
		if submission, ok := s.submissions.Get(ended.id); ok {
			if bytes -= submission.MemoryBytes(); bytes <= 0 {
				return ended.at.Add(s.settings.EndedRetention).Sub(now)
			}
		}
	}
	return s.settings.EndedRetention // the others haven't ended yet
}

// hasItems reports whether an instance keeps a submission.
func (m *Member) hasItems(id SubmissionID) bool { return !slices.Contains(m.Deferred, id) }

// isKeptBy reports whether a live instance keeps a submission.
func (s *Scheduler) isKeptBy(instance model.InstanceID, id SubmissionID) bool {
	at := slices.IndexFunc(s.live, func(m Member) bool { return m.ID == instance })
	return at >= 0 && s.live[at].hasItems(id)
}

// substitute returns the instance that runs an item whose submission the accepting instance doesn't keep, among those that keep it; empty
// for none.
func (s *Scheduler) substitute(item *item) model.InstanceID {
	if len(s.live) == 0 {
		return ""
	}
	first := int(item.index) % len(s.live)
	for i := range s.live {
		if m := &s.live[(first+i)%len(s.live)]; m.hasItems(item.submission.ID) {
			return m.ID
		}
	}
	return ""
}
