package jujubebatch

import (
	"slices"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

// SetStartGate sets the check that is asked before runs and scoring calls of a submission start here. Items are offered to other
// instances without it, because those check their own views.
func (s *Scheduler) SetStartGate(mayStart func(id SubmissionID) bool) { s.mayStart = mayStart }

// allowsStart reports whether items of a submission may start here in this tick.
func (s *Scheduler) allowsStart(submission *submission) bool {
	if submission.startCheckedIn != s.ticks {
		submission.startCheckedIn, submission.mayStart = s.ticks, s.mayStart == nil || s.mayStart(submission.ID)
	}
	return submission.mayStart
}

// MaySend reports whether the decision to start a run or scoring call still holds: it isn't cancelled, and a run's engine is still one to
// which the item's route leads and that isn't leaving. A scoring call is cancelled with the read of a result or an end; its endpoint is
// checked like that of a caller's request.
func (s *Scheduler) MaySend(id RunID) bool {
	if _, isScoring := s.scorings.Get(id); isScoring {
		return true
	}
	r, ok := s.runs.Get(id)
	if !ok {
		return false
	}
	e, isKnown := s.engines.Get(r.engine)
	route, hasRoute := s.matchRoute(r.item)
	return isKnown && !e.Leaving && hasRoute && route.HasTarget(e.Service)
}

// ReturnWaitingItem gives up an item that another instance delegated to this one, unless it runs or has ended here. The delegator learns
// that with the next confirmation and runs it elsewhere.
func (s *Scheduler) ReturnWaitingItem(ref ItemRef) {
	s.pendingOffers = slices.DeleteFunc(s.pendingOffers, func(offer pendingOffer) bool {
		return offer.Submission == ref.Submission && offer.Item == ref.Item
	})
	submission, ok := s.submissions.Get(ref.Submission)
	if !ok {
		return
	}
	item, ok := submission.find(ref.Item)
	if !ok || !item.delegatedHere || item.delegation != nil || item.scoring != nil || item.isSettled() {
		return
	}
	item.delegatedHere = false
	submission.delegatedHere--
	s.unassign(item)
}

// BypassGateway makes the engines of an instance be reached directly for a while.
func (s *Scheduler) BypassGateway(now time.Time, id model.InstanceID) {
	s.unreachableUntil[id] = now.Add(gatewayBackoff)
}
