package jujubebatch

import (
	"iter"
	"time"

	"jujubepier.example/core/services/jujubedesired"
)

// A result is final, so an instance gives an item up only by a desired state that is known to apply. An instance may have read a
// submission's record before the desired state under which another one accepted it.

// maxDesiredAge is the greatest age of the desired state by whose limits an item is given up: half of the time in which a change
// has to be in force.
const maxDesiredAge = time.Second

// SetDesiredRead records a time up to which all changes of the desired state have been read.
func (s *Scheduler) SetDesiredRead(at time.Time) {
	if at.After(s.desiredReadAt) {
		s.desiredReadAt = at
	}
}

// SetResumed records when the process went on after a pause. Reads from before don't count as recent: while the machine is suspended, the
// clock of time.Time stops.
func (s *Scheduler) SetResumed(at time.Time) { s.resumedAt = at }

// hasDesired reports whether the desired state is at least as new as the one under which a submission was accepted. An older one
// may lack the submission's route or have an earlier form of it.
func (s *Scheduler) hasDesired(submission *submission) bool {
	return s.desired.Version >= submission.DesiredVersion
}

// mayDecide reports whether this instance knows enough of a submission to start its items.
func (s *Scheduler) mayDecide(submission *submission) bool {
	return !s.isWithheld(submission) && s.hasDesired(submission)
}

// mayGiveUp reports whether an item is errored: its route, nil if no route matches it, has ended, its retention has passed, or it has
// failed as often as the route allows.
func (s *Scheduler) mayGiveUp(now time.Time, item *item, route *jujubedesired.Route) bool {
	submission := item.submission
	switch {
	case route != nil:
		return s.isPastRetention(now, submission, route) || item.hasUsedAttempts(route) && s.isDesiredCurrent(now, submission)
	case submission.DesiredVersion > 0:
		return s.hasDesired(submission)
	}
	return s.desired.Version > 0 && !s.desiredReadAt.Before(submission.readAt) // an earlier build has accepted the submission
}

// isDesiredCurrent reports whether the limits of a submission's routes are those in force.
func (s *Scheduler) isDesiredCurrent(now time.Time, submission *submission) bool {
	return s.hasDesired(submission) && !s.desiredReadAt.Before(submission.readAt) && !s.desiredReadAt.Before(s.resumedAt) &&
		now.Sub(s.desiredReadAt) <= maxDesiredAge
}

// isPastRetention reports whether the items of a submission may be abandoned.
func (s *Scheduler) isPastRetention(now time.Time, submission *submission, route *jujubedesired.Route) bool {
	return route.Retention > 0 && now.Sub(submission.readAt) > route.Retention && s.isDesiredCurrent(now, submission)
}

// hasUsedAttempts reports whether an item has failed as often as its route allows. It isn't run again then, but it is given up
// only once the limit is known to be in force. As a response arrives twice at most, twice the limit counts whatever the signatures.
func (it *item) hasUsedAttempts(route *jujubedesired.Route) bool {
	limit := max(1, route.MaxAttempts)
	return it.failures >= limit || it.failures+it.repeatedFailures >= 2*limit
}

// maxGivenUpPerTick bounds the results of items of a submission that are given up in one tick, as the queue of results is bounded.
const maxGivenUpPerTick = 1024

// startable iterates over the items that may have to be started or given up. An item without a state of its own has no engine yet, so it
// can only be given up.
func (s *Scheduler) startable(now time.Time, submission *submission) iter.Seq[*item] {
	if now.Sub(submission.idleCheckedAt) < submission.scanInterval() {
		return submission.modified()
	}
	submission.idleCheckedAt = now
	return submission.all()
}
