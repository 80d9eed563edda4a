package jujubebatch

import (
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubedesired"
	"jujubepier.example/core/services/jujubeplacement"
)

// advanceItems assigns and starts the items of the open submissions.
func (s *Scheduler) advanceItems(now time.Time, open []*submission, fleet fleetIntervals) {
	if s.settings.UnevenEngines {
		for _, submission := range open {
			s.checkDelegations(now, submission)
		}
		s.assignInTurn(now, open, fleet)
		for _, submission := range open {
			s.startItems(now, submission)
		}
		return
	}
	for _, submission := range open {
		s.checkDelegations(now, submission)
		s.assignItems(now, submission, fleet)
		s.startItems(now, submission)
	}
}

// turn is a submission whose items are being assigned.
type turn struct {
	submission *submission
	// serving and full are nil if no item waits for an engine.
	serving, full map[model.ServiceName]bool
	// candidates are the indexes of the items among which the search for a waiting item continues, the longest first.
	candidates []int32
	// item is the next waiting item, nil for none.
	item  *item
	route *jujubedesired.Route
	due   time.Time
	held  int
	// runTimes are the run times of the items that wait for an engine, in the order of their assignment; nil if prompts aren't weighed.
	runTimes []time.Duration
}

// assignInTurn assigns engines to the items of all submissions, in the order of their slack and with a minimum share for each model.
func (s *Scheduler) assignInTurn(now time.Time, open []*submission, fleet fleetIntervals) {
	var turns []*turn
	slots := 0
	for _, submission := range open {
		if submission.unassigned == 0 || !s.mayDecide(submission) {
			turns = append(turns, &turn{submission: submission, held: submission.unresolved - submission.unassigned})
			continue
		}
		turns = append(turns, &turn{
			submission: submission, due: s.dueTime(submission), held: submission.unresolved - submission.unassigned,
			candidates: s.assignable(submission),
		})
	}
	for _, e := range s.engines.All() {
		if !e.Leaving {
			slots += e.Slots
		}
	}
	s.takeTurns(now, turns, slots, fleet)
	s.prompts.following = nil
}

// takeTurns assigns engines to the items, one after the other.
func (s *Scheduler) takeTurns(now time.Time, turns []*turn, slots int, fleet fleetIntervals) {
	claims := make([]jujubeplacement.Claim[model.ModelName], len(turns))
	for i, t := range turns {
		if s.advanceTurn(now, t); t.item != nil {
			t.serving, t.full, t.runTimes = s.servingServices(t.submission), map[model.ServiceName]bool{}, s.listRunTimes(now, t.submission)
		}
		claims[i] = s.claimOf(now, t, fleet)
	}
	for {
		i := jujubeplacement.Next(claims, slots)
		if i < 0 {
			return
		}
		t := turns[i]
		t.runTimes = t.runTimes[min(1, len(t.runTimes)):]
		s.prompts.following = t.runTimes
		if s.assignItem(now, t.item, t.route, t.serving, t.full, fleet) {
			t.held++
		}
		if areAllFull(t.serving, t.full) {
			t.item = nil
		} else {
			s.advanceTurn(now, t)
		}
		claims[i] = s.claimOf(now, t, fleet)
	}
}

// advanceTurn finds the submission's next waiting item. The longest items come first: a step ends with them, and right after a new weight
// version only some engines can run them.
func (s *Scheduler) advanceTurn(now time.Time, t *turn) {
	t.item = nil
	for len(t.candidates) > 0 {
		item := &t.submission.items[t.candidates[0]]
		t.candidates = t.candidates[1:]
		if route, ok := s.matchWaiting(now, item); ok {
			t.item, t.route = item, route
			return
		}
	}
}

func (s *Scheduler) claimOf(now time.Time, t *turn, fleet fleetIntervals) jujubeplacement.Claim[model.ModelName] {
	claim := jujubeplacement.Claim[model.ModelName]{Model: t.submission.Model, IsWaiting: t.item != nil, Held: t.held}
	if t.item != nil {
		events := s.lengthsOf(t.submission.Model).Remaining(t.item.ExpectedTokens, t.item.textLength())
		claim.Slack = t.due.Sub(now) - time.Duration(events*float64(fleet.fastInterval()))
	}
	return claim
}

// dueTime returns the local time at which a submission's results are due.
func (s *Scheduler) dueTime(submission *submission) time.Time {
	deadline := defaultResultDeadline
	if route, ok := s.desired.Match(submission.Host, submission.Path); ok && route.ResultDeadline > 0 {
		deadline = route.ResultDeadline
	}
	return submission.acceptedAt.Add(deadline)
}
