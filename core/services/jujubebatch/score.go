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
	// maxScoringPause limits the delay after a scoring call without a response, which doubles from RetryPause on.
	maxScoringPause = time.Second
	// maxScoringDoublings prevents an overflow of the shift.
	maxScoringDoublings = 8
)

// StartScoring requests the score of an item's text from a plain service; ScoringEnded handles the outcome, and CancelRun
// cancels the call.
type StartScoring struct {
	Run        RunID
	Submission SubmissionID
	Item       ItemID
	Call       ScoringCall
	// Content is where the call's body is stored, and Given is that content itself if a delegator sent it along.
	Content Place
	Given   Content
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
	// Score is the stamp of a successful response; empty for none.
	Score string
	// Failures are the stamps of the servers' internal errors during the call.
	Failures []string
}

// NoteAnswer adds a server's response to the outcome.
func (o *ScoringOutcome) NoteAnswer(status int, stamp string) {
	switch {
	case status >= http.StatusOK && status < http.StatusMultipleChoices:
		o.Score = stamp
	case status == http.StatusInternalServerError:
		o.Failures = append(o.Failures, stamp)
	}
}

// completeText handles a complete text: it is the item's result, or it is scored first.
func (b *Batches) completeText(now time.Time, item *item) {
	if item.Scoring == nil {
		b.queueResult(item, Completed)
		return
	}
	item.notBefore = now
	item.unscoredAt = now
	item.unscored = &Result{Submission: item.submission.ID, Item: item.ID, Versions: slices.Clone(item.versions), By: b.self}
	item.unscored.Text, item.unscored.TextBytes = joinText(item.events)
	item.events, item.versions = nil, nil
	b.logUnscored(item)
}

// logUnscored requests that an unscored text be appended to the log, so that another instance only has to score it.
func (b *Batches) logUnscored(item *item) {
	item.unscoredLogged = true
	text := *item.unscored
	b.actions = append(b.actions, AppendEntry{item.submission.ID, Entry{Unscored: &text}})
}

// reuseText copies the complete text of an earlier submission of the item. The score isn't copied: the text is scored again
// by this submission's scoring call.
func (it *item) reuseText(earlier *Result) {
	text := *earlier
	text.Submission, text.Score = it.submission.ID, ""
	it.unscored, it.unscoredAt = &text, it.submission.readAt
}

// addUnscored applies the log's record of a complete text. A text that this instance already has is kept, because its
// scoring call may be in flight.
func (b *Batches) addUnscored(now time.Time, text *Result) bool {
	submission, ok := b.submissions.Get(text.Submission)
	if !ok {
		return false
	}
	item, ok := submission.items[text.Item]
	if !ok || item.hasResult || item.unscored != nil || item.Scoring == nil || !item.allowsVersions(text.Versions) {
		return false
	}
	item.unscored, item.unscoredAt, item.unscoredLogged = text, now, true
	if item.run != nil {
		b.cancelRun(item.run, "the text is complete")
	}
	b.unassign(item)
	return true
}

// startScoring begins the scoring call of a complete text if the service's budget allows it.
func (b *Batches) startScoring(item *item) {
	switch {
	case item.scoring != nil:
		return
	case item.unscored.Score != "":
		b.queueResult(item, Completed) // its result couldn't be queued before
		return
	case !item.unscoredLogged:
		b.logUnscored(item)
	}
	route, ok := b.desired.Match(item.Scoring.Host, item.Scoring.Path)
	if !ok {
		return
	}
	service := route.Choose(string(item.Scoring.ID))
	if b.remainingScoringBudget(service) <= 0 {
		return
	}
	b.scoringBudgets[service]--
	b.lastRunID++
	item.scoring = &scoring{id: b.lastRunID, item: item, service: service}
	b.scorings.Put(item.scoring.id, item.scoring)
	start := StartScoring{Run: item.scoring.id, Submission: item.submission.ID, Item: item.ID, Call: *item.Scoring, Given: item.Content}
	start.Content, _ = item.contentPlace()
	b.actions = append(b.actions, start)
}

// remainingScoringBudget returns how many more scoring calls this instance may begin on a service in the current tick.
func (b *Batches) remainingScoringBudget(service model.ServiceName) int {
	if budget, ok := b.scoringBudgets[service]; ok {
		return budget
	}
	slots := 0
	for _, e := range b.engines.All() {
		if e.Service == service && !e.Leaving {
			slots += e.Slots
		}
	}
	budget := max(1, int(scoringShare*float64(slots))/max(1, len(b.live)))
	for _, s := range b.scorings.All() {
		if s.service == service {
			budget--
		}
	}
	if b.scoringBudgets == nil {
		b.scoringBudgets = map[model.ServiceName]int{}
	}
	b.scoringBudgets[service] = budget
	return budget
}

// Scorings returns the number of scoring calls in flight.
func (b *Batches) Scorings() int { return b.scorings.Len() }

// ScoringEnded handles the end of a scoring call. A call without a score is repeated after a delay, unless the servers have
// failed it as often as the routes allow.
func (b *Batches) ScoringEnded(now time.Time, id RunID, outcome ScoringOutcome) {
	s, ok := b.scorings.Get(id)
	if !ok {
		return
	}
	item := s.item
	b.scorings.Delete(id)
	item.scoring = nil
	if item.hasResult || item.resultQueued || item.unscored == nil {
		return
	}
	if outcome.Score != "" {
		item.unscored.Score = outcome.Score
		b.queueResult(item, Completed)
		return
	}
	if item.scoreFailures == nil {
		item.scoreFailures = map[string]bool{}
	}
	for _, stamp := range outcome.Failures {
		item.scoreFailures[stamp] = true
	}
	if limit, known := b.scoringAttemptLimit(item); known && len(item.scoreFailures) >= limit {
		b.queueResult(item, Errored)
		return
	}
	item.notBefore = now.Add(min(b.settings.RetryPause<<min(item.scoreRetries, maxScoringDoublings), maxScoringPause))
	item.scoreRetries++
}

// scoringAttemptLimit returns after how many internal errors of the servers an item is errored: the larger limit of the
// item's route and the call's route. It is unknown while either has no route.
func (b *Batches) scoringAttemptLimit(item *item) (attempts int, known bool) {
	itemRoute, ok := b.desired.Match(item.submission.Host, item.Path)
	callRoute, found := b.desired.Match(item.Scoring.Host, item.Scoring.Path)
	if !ok || !found {
		return 0, false
	}
	return max(1, itemRoute.MaxAttempts, callRoute.MaxAttempts), true
}

// cancelScoring cancels an item's scoring call. The text is kept for a later submission of the item.
func (b *Batches) cancelScoring(item *item, reason string) {
	if item.scoring == nil {
		return
	}
	b.actions = append(b.actions, CancelRun{item.scoring.id, reason})
	b.scorings.Delete(item.scoring.id)
	item.scoring = nil
}
