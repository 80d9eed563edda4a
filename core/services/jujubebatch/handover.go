package jujubebatch

import "time"

// handedOverRetryDelay is how long an item isn't run again after its result was handed over to another instance. It is longer
// than the usual outage of the store.
const handedOverRetryDelay = 10 * time.Second

// MarkHandedOver handles the notice that a leaving instance handed an item's result over to another instance, or to this
// one if toSelf is true.
func (s *Scheduler) MarkHandedOver(now time.Time, entry Entry, toSelf bool) {
	if entry.Result == nil {
		return
	}
	submission, ok := s.submissions.Get(entry.Result.Submission)
	if !ok {
		return
	}
	if item, ok := submission.find(entry.Result.Item); ok && !item.hasResult {
		item.resultQueued = item.resultQueued || toSelf
		item.modify().notBefore = now.Add(handedOverRetryDelay)
	}
}

// ClearResultQueued clears the queued state of a result that couldn't be queued, so that it is queued again.
func (s *Scheduler) ClearResultQueued(entry Entry) {
	if entry.Result == nil {
		return
	}
	if submission, ok := s.submissions.Get(entry.Result.Submission); ok {
		if item, ok := submission.find(entry.Result.Item); ok {
			item.resultQueued = false
		}
	}
}
