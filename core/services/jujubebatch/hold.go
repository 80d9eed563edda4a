package jujubebatch

import (
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

// An instance that has received the end of a submission may wait long for the store, or never learn whether the end is on the log. Its
// caller may count the submission as ended meanwhile, so its items are held: nothing of it starts, here and on the instances that are told.

// holds are the times until which instances hold a submission because they have its end in hand; zero for until they release it.
type holds map[model.InstanceID]time.Time

// HoldSubmission keeps items of a submission from starting until a time, because an instance has its end in hand; zero for until it is
// released. That instance's runs are stopped, on others only those that may not have been sent yet. It returns the actions for that.
func (s *Scheduler) HoldSubmission(id SubmissionID, by model.InstanceID, until time.Time) []Action {
	if s.holds[id] == nil {
		s.holds[id] = holds{}
	}
	s.holds[id][by] = until
	submission, ok := s.submissions.Get(id)
	if !ok {
		return nil
	}
	const reason = "the submission is being ended"
	s.cancelUnsentRuns(submission, reason)
	for item := range submission.modified() {
		if by == s.self && item.run != nil {
			s.cancelRun(item.run, reason)
		}
	}
	actions := s.actions
	s.actions = nil
	return actions
}

// ReleaseSubmission ends the hold of an instance on a submission.
func (s *Scheduler) ReleaseSubmission(id SubmissionID, by model.InstanceID) {
	delete(s.holds[id], by)
	if len(s.holds[id]) == 0 {
		delete(s.holds, id)
	}
}

// IsHeld reports whether an instance holds a submission.
func (s *Scheduler) IsHeld(id SubmissionID) bool { return len(s.holds[id]) > 0 }

// expireHolds ends the holds whose time is over.
func (s *Scheduler) expireHolds(now time.Time) {
	for id, held := range s.holds {
		for by, until := range held {
			if !until.IsZero() && now.After(until) {
				s.ReleaseSubmission(id, by)
			}
		}
	}
}

// isWithheld reports whether nothing of a submission may start although it hasn't ended.
func (s *Scheduler) isWithheld(submission *submission) bool {
	return submission.doubt != nil || s.IsHeld(submission.ID)
}
