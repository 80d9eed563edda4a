package jujubebatch

import (
	"net/http"
	"slices"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

const (
	// scoringShare is the share of a service's slots that the scoring calls of all instances may use together, so that
	// callers' own requests to the service find a free slot while the texts of a step are scored.
	scoringShare = 0.75
	// maxScoringRetryDelay limits the delay after a scoring call without a response, which doubles from RetryDelay on.
	maxScoringRetryDelay = time.Second
	// maxRetryDoublings prevents an overflow of the shift.
	maxRetryDoublings = 8
)

// StartScoring requests the score of an item's text from a plain service; HandleScoringEnd handles the outcome, and CancelRun
// cancels the call.
type StartScoring struct {
	Run        RunID
	Submission SubmissionID
	Item       ItemID
	Call       ScoringCall
	// Content is where the call's body is stored, and InlineContent is that content itself if another instance delegated the
	// item and sent it.
	Content       Place
	InlineContent Content
}

func (StartScoring) isAction() {}

// scoring is a scoring call in flight.
type scoring struct {
	id      RunID
	item    *item
	service model.ServiceName
}

// ScoringOutcome is how a scoring call ended.
type ScoringOutcome struct {
	// Score is the server's signature of a successful response; empty for none.
	Score string
	// Failures are the signatures of the servers' internal errors during the call.
	Failures []string
	// Refused is true if the call wasn't sent, because the rates of all servers are used up for RetryAfter.
	Refused    bool
	RetryAfter time.Duration
}

// AddResponse adds a server's response to the outcome.
func (o *ScoringOutcome) AddResponse(status int, signature string) {
	switch {
	case status >= http.StatusOK && status < http.StatusMultipleChoices:
		o.Score = signature
	case status == http.StatusInternalServerError:
		o.Failures = append(o.Failures, signature)
	}
}

// completeText handles a complete text: it is the item's result, or it is scored first.
func (s *Scheduler) completeText(now time.Time, item *item) {
	if item.Scoring == nil {
		s.queueResult(item, Completed)
		return
	}
	item.notBefore = now
	item.unscoredAt = now
	item.unscored = &Result{Submission: item.submission.ID, Item: item.ID, Versions: slices.Clone(item.versions), By: s.self}
	item.unscored.Text, item.unscored.TextBytes = joinText(item.events)
	item.unscored.Events = len(item.events)
	item.events, item.versions = nil, nil
	s.logUnscored(item)
}

// logUnscored requests that an unscored text be appended to the log, so that another instance only has to score it.
func (s *Scheduler) logUnscored(item *item) {
	item.unscoredLogged = true
	text := *item.unscored
	s.actions = append(s.actions, AppendEntry{item.submission.ID, Entry{Unscored: &text}})
}

// reuseText copies the complete text of an earlier submission of the item. The score isn't copied: the text is scored again
// by this submission's scoring call.
func (it *item) reuseText(earlier *Result) {
	text := *earlier
	text.Submission, text.Score = it.submission.ID, ""
	state := it.modify()
	state.unscored, state.unscoredAt = &text, it.submission.readAt
}

// addUnscored applies the log's record of a complete text. A text that this instance already has is kept, because its
// scoring call may be in flight.
func (s *Scheduler) addUnscored(now time.Time, text *Result) bool {
	submission, ok := s.submissions.Get(text.Submission)
	if !ok {
		return false
	}
	item, ok := submission.find(text.Item)
	if !ok || item.hasResult || item.unscored != nil || item.Scoring == nil || !item.allowsVersions(text.Versions) {
		return false
	}
	state := item.modify()
	state.unscored, state.unscoredAt, state.unscoredLogged = text, now, true
	if item.run != nil {
		s.cancelRun(item.run, "the text is complete")
	}
	s.unassign(item)
	return true
}

// startScoring begins the scoring call of a complete text if the service's budget allows it.
func (s *Scheduler) startScoring(item *item) {
	switch {
	case item.scoring != nil:
		return
	case item.unscored.Score != "":
		s.queueResult(item, Completed) // its result couldn't be queued before
		return
	case !item.unscoredLogged:
		s.logUnscored(item)
	}
	route, ok := s.desired.Match(item.Scoring.Host, item.Scoring.Path)
	if !ok {
		return
	}
	service := route.Choose(string(item.Scoring.ID))
	if s.remainingScoringBudget(service) <= 0 {
		return
	}
	s.scoringBudgets[service]--
	s.lastRunID++
	item.scoring = &scoring{id: s.lastRunID, item: item, service: service}
	s.scorings.Put(item.scoring.id, item.scoring)
	start := StartScoring{Run: item.scoring.id, Submission: item.submission.ID, Item: item.ID, Call: *item.Scoring, InlineContent: item.given}
	start.Content, _ = item.contentPlace()
	s.actions = append(s.actions, start)
}

// remainingScoringBudget returns how many more scoring calls this instance may begin on a service in the current tick.
func (s *Scheduler) remainingScoringBudget(service model.ServiceName) int {
	if budget, ok := s.scoringBudgets[service]; ok {
		return budget
	}
	slots := 0
	for _, e := range s.engines.All() {
		if e.Service == service && !e.Leaving {
			slots += e.Slots
		}
	}
	budget := max(1, int(scoringShare*float64(slots))/max(1, len(s.live)))
	for _, scoring := range s.scorings.All() {
		if scoring.service == service {
			budget--
		}
	}
	if s.scoringBudgets == nil {
		s.scoringBudgets = map[model.ServiceName]int{}
	}
	s.scoringBudgets[service] = budget
	return budget
}

// ScoringsInFlight returns the number of scoring calls in flight.
func (s *Scheduler) ScoringsInFlight() int { return s.scorings.Len() }

// HandleScoringEnd handles the end of a scoring call. A call without a score is repeated after a delay, unless the servers have
// failed it as often as the routes allow.
func (s *Scheduler) HandleScoringEnd(now time.Time, id RunID, outcome ScoringOutcome) {
	scoring, ok := s.scorings.Get(id)
	if !ok {
		return
	}
	item := scoring.item
	s.scorings.Delete(id)
	item.scoring = nil
	if item.hasResult || item.resultQueued || item.unscored == nil {
		return
	}
	if outcome.Score != "" {
		item.unscored.Score = outcome.Score
		s.queueResult(item, Completed)
		return
	}
	if outcome.Refused {
		item.notBefore = now.Add(outcome.RetryAfter)
		return
	}
	if item.scoreFailures == nil {
		item.scoreFailures = map[string]bool{}
	}
	for _, signature := range outcome.Failures {
		item.scoreFailures[signature] = true
	}
	if limit, known := s.scoringAttemptLimit(now, item); known && len(item.scoreFailures) >= limit {
		s.queueResult(item, Errored)
		return
	}
	item.notBefore = now.Add(min(s.settings.RetryDelay<<min(item.scoreRetries, maxRetryDoublings), maxScoringRetryDelay))
	item.scoreRetries++
}

// scoringAttemptLimit returns after how many internal errors of the servers an item is errored: the larger limit of the
// item's route and the call's route. It is unknown while either has no route or the limits may be outdated.
func (s *Scheduler) scoringAttemptLimit(now time.Time, item *item) (attempts int, known bool) {
	itemRoute, ok := s.matchRoute(item)
	callRoute, found := s.desired.Match(item.Scoring.Host, item.Scoring.Path)
	if !ok || !found || !s.isDesiredCurrent(now, item.submission) {
		return 0, false
	}
	return max(1, itemRoute.MaxAttempts, callRoute.MaxAttempts), true
}

// cancelScoring cancels an item's scoring call. The text is kept for a later submission of the item.
func (s *Scheduler) cancelScoring(item *item, reason string) {
	if item.scoring == nil {
		return
	}
	s.actions = append(s.actions, CancelRun{Run: item.scoring.id, Reason: reason})
	s.scorings.Delete(item.scoring.id)
	item.scoring = nil
}
