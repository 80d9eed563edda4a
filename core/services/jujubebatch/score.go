package jujubebatch

import (
	"net/http"
	"slices"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

const (
	// scoringShare is the part of a service's slots that the scoring calls of all instances take at most, so that callers'
	// own requests to the service find a free slot while the texts of a step are scored together.
	scoringShare = 0.75
	// maxScoringPause bounds the pause after a scoring call without an answer, which doubles from RetryPause on.
	maxScoringPause = time.Second
	// maxScoringDoublings keeps the shift in range.
	maxScoringDoublings = 8
)

// StartScoring asks a plain service for the score of an item's text; ScoringEnded gives the outcome, and CancelRun ends it.
type StartScoring struct {
	Run        RunID
	Submission SubmissionID
	Item       ItemID
	Call       ScoringCall
	// Content is where the call's body lies, and Given is what lies there if a lender has sent it along.
	Content Place
	Given   Content
}

func (StartScoring) isAction() {}

// scoring is one scoring call in flight.
type scoring struct {
	id      RunID
	item    *item
	service model.ServiceName
}

// ScoringOutcome is how a scoring call ended.
type ScoringOutcome struct {
	// Score is the stamp of a successful answer; empty for none.
	Score string
	// Failures are the stamps of the servers' own failures on the way.
	Failures []string
}

// NoteAnswer takes an answer of a server.
func (o *ScoringOutcome) NoteAnswer(status int, stamp string) {
	switch {
	case status >= http.StatusOK && status < http.StatusMultipleChoices:
		o.Score = stamp
	case status == http.StatusInternalServerError:
		o.Failures = append(o.Failures, stamp)
	}
}

// completeText takes a whole text: it is the item's result, or waits for its score.
func (b *Batches) completeText(now time.Time, row *item) {
	if row.Scoring == nil {
		b.finish(row, Completed)
		return
	}
	row.notBefore = now
	row.unscoredAt = now
	row.unscored = &Result{Submission: row.of.ID, Item: row.ID, Versions: slices.Clone(row.versions), By: b.self}
	row.unscored.Text, row.unscored.TextBytes = joinText(row.events)
	row.events, row.versions = nil, nil
	b.draft(row)
}

// draft writes a whole text down, so that another instance needs only its score.
func (b *Batches) draft(row *item) {
	row.drafted = true
	text := *row.unscored
	b.actions = append(b.actions, AppendEntry{row.of.ID, Entry{Unscored: &text}})
}

// reuseText takes over a whole text that an earlier submission of the item has left. Its score is asked for anew, by this
// submission's call.
func (row *item) reuseText(earlier *Result) {
	text := *earlier
	text.Submission, text.Score = row.of.ID, ""
	row.unscored, row.unscoredAt = &text, row.of.accepted
}

// keepUnscored takes the log's record of a whole text. An own one stays, as a call for it may be on its way.
func (b *Batches) keepUnscored(now time.Time, text *Result) bool {
	one, ok := b.submissions.Get(text.Submission)
	if !ok {
		return false
	}
	row, ok := one.items[text.Item]
	if !ok || row.listed || row.unscored != nil || row.Scoring == nil || !row.fits(text.Versions) {
		return false
	}
	row.unscored, row.unscoredAt, row.drafted = text, now, true
	if row.run != nil {
		b.cancel(row.run, "the text is whole")
	}
	b.unplan(row)
	return true
}

// score begins the scoring call of a whole text when the service has room for it.
func (b *Batches) score(row *item) {
	switch {
	case row.scoring != nil:
		return
	case row.unscored.Score != "":
		b.finish(row, Completed) // its result couldn't be queued before
		return
	case !row.drafted:
		b.draft(row)
	}
	route, ok := b.desired.Match(row.Scoring.Host, row.Scoring.Path)
	if !ok {
		return
	}
	service := route.Choose(string(row.Scoring.ID))
	if b.scoringRoom(service) <= 0 {
		return
	}
	b.scoringRooms[service]--
	b.lastRun++
	row.scoring = &scoring{id: b.lastRun, item: row, service: service}
	b.scorings.Put(row.scoring.id, row.scoring)
	start := StartScoring{Run: row.scoring.id, Submission: row.of.ID, Item: row.ID, Call: *row.Scoring, Given: row.Content}
	start.Content, _ = row.place()
	b.actions = append(b.actions, start)
}

// scoringRoom returns how many more scoring calls this instance may begin at a service in the present tick.
func (b *Batches) scoringRoom(service model.ServiceName) int {
	if room, ok := b.scoringRooms[service]; ok {
		return room
	}
	slots := 0
	for _, e := range b.engines.All() {
		if e.Service == service && !e.Leaving {
			slots += e.Slots
		}
	}
	room := max(1, int(scoringShare*float64(slots))/max(1, len(b.live)))
	for _, s := range b.scorings.All() {
		if s.service == service {
			room--
		}
	}
	if b.scoringRooms == nil {
		b.scoringRooms = map[model.ServiceName]int{}
	}
	b.scoringRooms[service] = room
	return room
}

// Scorings returns how many scoring calls are in flight.
func (b *Batches) Scorings() int { return b.scorings.Len() }

// ScoringEnded says how a scoring call has ended. Without a score it is begun again after a pause, unless the servers have
// failed it as often as the routes allow.
func (b *Batches) ScoringEnded(now time.Time, id RunID, outcome ScoringOutcome) {
	s, ok := b.scorings.Get(id)
	if !ok {
		return
	}
	row := s.item
	b.scorings.Delete(id)
	row.scoring = nil
	if row.listed || row.finished || row.unscored == nil {
		return
	}
	if outcome.Score != "" {
		row.unscored.Score = outcome.Score
		b.finish(row, Completed)
		return
	}
	if row.scoreFailures == nil {
		row.scoreFailures = map[string]bool{}
	}
	for _, stamp := range outcome.Failures {
		row.scoreFailures[stamp] = true
	}
	if limit, known := b.scoringAttempts(row); known && len(row.scoreFailures) >= limit {
		b.finish(row, Errored)
		return
	}
	row.notBefore = now.Add(min(b.settings.RetryPause<<min(row.scoreTries, maxScoringDoublings), maxScoringPause))
	row.scoreTries++
}

// scoringAttempts returns how many of the servers' own failures make an item errored: the larger number of the item's route
// and of the call's. It isn't known while one of them has no route.
func (b *Batches) scoringAttempts(row *item) (attempts int, known bool) {
	own, ok := b.desired.Match(row.of.Host, row.Path)
	call, found := b.desired.Match(row.Scoring.Host, row.Scoring.Path)
	if !ok || !found {
		return 0, false
	}
	return max(1, own.MaxAttempts, call.MaxAttempts), true
}

// stopScoring ends an item's scoring call. The text stays for a later submission of the item.
func (b *Batches) stopScoring(row *item, reason string) {
	if row.scoring == nil {
		return
	}
	b.actions = append(b.actions, CancelRun{row.scoring.id, reason})
	b.scorings.Delete(row.scoring.id)
	row.scoring = nil
}
