package jujubebatch

import (
	"slices"
	"time"
)

// expireSubmissions deletes submissions that ended more than EndedRetention ago and those that nobody ended within OpenRetention.
func (s *Scheduler) expireSubmissions(now time.Time) {
	s.expireStreams(now)
	s.expireDeferred(now)
	for len(s.buried) > 0 && now.Sub(s.buried[0].at) > s.settings.OpenRetention {
		delete(s.buriedIDs, s.buried[0].id)
		s.buried = s.buried[1:]
	}
	s.pendingOffers = slices.DeleteFunc(s.pendingOffers, func(offer pendingOffer) bool {
		return now.Sub(offer.receivedAt) > pendingOfferTimeout
	})
	for len(s.byEndTime) > 0 && now.Sub(s.byEndTime[0].at) > s.settings.EndedRetention {
		s.deleteSubmission(now, s.byEndTime[0].id)
		s.byEndTime = s.byEndTime[1:]
	}
	for len(s.byReadTime) > 0 {
		submission, ok := s.submissions.Get(s.byReadTime[0].id)
		if ok && now.Sub(s.byReadTime[0].at) <= s.settings.OpenRetention {
			return
		}
		if ok && !submission.ended {
			s.endSubmission(now, submission.ID) // cancels its runs
		}
		s.deleteSubmission(now, s.byReadTime[0].id)
		s.byReadTime = s.byReadTime[1:]
	}
}

// deleteSubmission deletes a submission that has ended. That it has is remembered, because another instance may still have it in doubt.
func (s *Scheduler) deleteSubmission(now time.Time, id SubmissionID) {
	submission, ok := s.submissions.Get(id)
	if !ok {
		return
	}
	for i := range submission.items {
		s.forgetReusable(&submission.items[i])
	}
	s.submissions.Delete(id)
	s.heldBytes -= submission.MemoryBytes()
	s.buried = append(s.buried, submissionTime{id, now})
	s.buriedIDs[id] = true
}

// OldestRetained returns when the oldest retained submission or stream was read, also one that is deferred here, as other instances keep it;
// ok is false if there is none. Older records are no longer needed.
func (s *Scheduler) OldestRetained() (at time.Time, ok bool) {
	if len(s.byReadTime) > 0 {
		at, ok = s.byReadTime[0].at, true
	}
	if len(s.streamsByTime) > 0 && (!ok || s.streamsByTime[0].readAt.Before(at)) {
		at, ok = s.streamsByTime[0].readAt, true
	}
	if len(s.deferredIDs) > 0 {
		if readAt := s.deferred[s.deferredIDs[0]].readAt; !ok || readAt.Before(at) {
			at, ok = readAt, true
		}
	}
	return at, ok
}

// submissionTime is a submission and the time at which its retention period began.
type submissionTime struct {
	id SubmissionID
	at time.Time
}
