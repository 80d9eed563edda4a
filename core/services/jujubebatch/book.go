package jujubebatch

import (
	"cmp"
	"encoding/json"
	"slices"
	"strings"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

// submission is a submission with its results.
type submission struct {
	Submission
	// accepted is this instance's time at which the record was read.
	accepted time.Time
	// results are in the order of their positions; the slice only grows.
	results []Result
	items   map[ItemID]*item
	// order holds the items in the submission's order.
	order []*item
	// longest holds the items with the longest expected texts first.
	longest []*item
	ended   bool
	// open counts the items without a result, unplanned those of them without an engine, adopted those of lenders.
	open, unplanned, adopted int
}

// item is one item of a submission.
type item struct {
	Item
	of    *submission
	index int
	// listed is true once the item has a result.
	listed bool
	// events and versions are the part of the text that this instance has.
	events   []string
	versions []model.WeightVersion
	// progress is the longest part that the log has, if it is longer than events and its versions fit; nil for none.
	progress   *Progress
	progressAt time.Time
	// loan is set while another instance sees to the item, adopted is true when this one does for a lender.
	loan    *loan
	adopted bool
	// here is the engine for which a lender has chosen this instance; the item isn't lent on for it.
	here model.EndpointID
	// movedAt is when its run was last meant to go on elsewhere.
	movedAt time.Time
	// written is how many events the log has.
	written   int
	writtenAt time.Time
	run       *run
	// planned is the engine that the item is meant for or runs on; empty for none.
	planned   model.EndpointID
	notBefore time.Time
	// unscored is the whole text while its score is missing: of the own run, or of the log's record, which has no text but
	// says where it lies. A score belongs to the text that was here when its call began, so it isn't replaced.
	unscored   *Result
	unscoredAt time.Time
	// drafted is true once unscored is on the log or on its way.
	drafted bool
	scoring *scoring
	// scoreFailures are the scoring servers' own failures, by their stamps; scoreTries counts the calls without a score.
	scoreFailures map[string]bool
	scoreTries    int
	// failures counts the engines' own failures of the item, crashes the runs that broke off before their first event.
	failures int
	crashes  int
	// finished is true from the request to list the result on.
	finished bool
}

// Page is a part of a submission's results.
type Page struct {
	Total   int
	Results []Result
	Ended   bool
}

// Apply takes the next entry of a partition. It returns false when the entry had no effect.
func (b *Batches) Apply(now time.Time, entry *Entry) bool {
	switch {
	case entry.Submission != nil:
		return b.accept(now, entry.Submission)
	case entry.Result != nil:
		return b.list(entry.Result)
	case entry.Progress != nil:
		return b.advance(now, entry.Progress)
	case entry.Unscored != nil:
		return b.keepUnscored(now, entry.Unscored)
	case entry.End != nil:
		return b.end(now, entry.End.Submission)
	}
	return false
}

func (b *Batches) accept(now time.Time, s *Submission) bool {
	if _, ok := b.submissions.Get(s.ID); ok {
		return false
	}
	one := &submission{Submission: *s, accepted: now, items: make(map[ItemID]*item, len(s.Items))}
	for i := range s.Items {
		row := &item{Item: s.Items[i], of: one, index: i}
		if _, twice := one.items[row.ID]; twice {
			continue
		}
		one.items[row.ID] = row
		one.order = append(one.order, row)
	}
	one.open, one.unplanned = len(one.order), len(one.order)
	one.longest = slices.Clone(one.order)
	slices.SortStableFunc(one.longest, func(x, y *item) int { return cmp.Compare(y.ExpectedTokens, x.ExpectedTokens) })
	b.submissions.Put(s.ID, one)
	b.openings = append(b.openings, ending{id: s.ID, at: now})
	b.oldest[s.Model] = max(b.oldest[s.Model], s.MinVersion)
	b.reuse(one)
	b.adoptEarly(now, one)
	return true
}

// reuse takes over what earlier submissions of the same model have of an item's text, if its versions fit.
func (b *Batches) reuse(one *submission) {
	for _, row := range one.order {
		if earlier := b.parts[row.ID]; earlier != nil && earlier.of.Model == one.Model && earlier.of != one {
			switch text := earlier.unscored; {
			case text != nil && text.Text != "" && row.Scoring != nil:
				if row.fits(text.Versions) {
					row.reuseText(text)
				}
			case row.fits(earlier.versions):
				row.events, row.versions = slices.Clone(earlier.events), slices.Clone(earlier.versions)
			}
			// What the log has of it lies in the other submission's partition and is of use only there.
		}
		b.parts[row.ID] = row
	}
}

// fits tells whether a text of these versions may be part of an item's result.
func (row *item) fits(versions []model.WeightVersion) bool {
	for _, version := range versions {
		if version < row.of.MinVersion {
			return false
		}
	}
	return true
}

func (b *Batches) list(result *Result) bool {
	one, ok := b.submissions.Get(result.Submission)
	if !ok {
		return false
	}
	row, ok := one.items[result.Item]
	if !ok || row.listed {
		return false
	}
	row.listed = true
	row.events, row.versions, row.progress, row.Content = nil, nil, nil, Content{}
	b.stopScoring(row, "the item has a result")
	row.unscored = nil
	one.open--
	if row.adopted {
		one.adopted--
	}
	one.results = append(one.results, *result)
	if row.run != nil {
		b.cancel(row.run, "the item has a result")
	}
	b.unplan(row)
	one.unplanned--
	if b.parts[row.ID] == row {
		delete(b.parts, row.ID)
	}
	return true
}

func (b *Batches) advance(now time.Time, progress *Progress) bool {
	one, ok := b.submissions.Get(progress.Submission)
	if !ok {
		return false
	}
	row, ok := one.items[progress.Item]
	if !ok || row.listed {
		return false
	}
	if row.run != nil {
		row.written = max(row.written, min(progress.Count, len(row.events)))
		return false
	}
	if progress.Count <= len(row.events) || !row.fits(progress.Versions) ||
		row.progress != nil && progress.Count <= row.progress.Count {
		return false
	}
	row.progress, row.progressAt = progress, now
	return true
}

func (b *Batches) end(now time.Time, id SubmissionID) bool {
	one, ok := b.submissions.Get(id)
	if !ok || one.ended {
		return false
	}
	one.ended = true
	b.endings = append(b.endings, ending{id: id, at: now})
	for _, row := range one.order {
		if row.run != nil {
			b.cancel(row.run, "the submission has ended")
		}
		b.stopScoring(row, "the submission has ended")
		b.unplan(row)
	}
	return true
}

// Known tells whether a submission is known and whether it has ended.
func (b *Batches) Known(id SubmissionID) (known, ended bool) {
	one, ok := b.submissions.Get(id)
	return ok, ok && one.ended
}

// Read returns the results from a position on, up to a size in bytes but one at least.
func (b *Batches) Read(id SubmissionID, after, maxBytes int) (Page, bool) {
	one, ok := b.submissions.Get(id)
	if !ok {
		return Page{}, false
	}
	page := Page{Total: len(one.order), Ended: one.ended}
	size := 0
	for i := max(after, 0); i < len(one.results); i++ {
		size += one.results[i].answerBytes()
		if size > maxBytes && len(page.Results) > 0 {
			break
		}
		page.Results = append(page.Results, one.results[i])
	}
	return page, true
}

// answerBytes returns about how large a result is in an answer, and not less than it is.
func (r *Result) answerBytes() int {
	if r.TextBytes > 0 {
		return r.TextBytes + resultOverhead
	}
	return r.Data.Size*textGrowth + resultOverhead
}

// textGrowth is how many times larger a text of unknown size may be than its compressed form, generously: texts of an engine
// shrink to a half at most.
const textGrowth = 3

// resultOverhead covers a result's id, state and versions in an answer, in bytes.
const resultOverhead = 160

// Body returns where the body of an item lies.
func (b *Batches) Body(id SubmissionID, name ItemID) (Place, bool) {
	one, ok := b.submissions.Get(id)
	if !ok {
		return Place{}, false
	}
	row, ok := one.items[name]
	if !ok {
		return Place{}, false
	}
	return row.place()
}

// joinText returns a result's text, and its size in an answer.
func joinText(events []string) (text string, size int) {
	text = strings.Join(events, "\n")
	encoded, err := json.Marshal(text)
	if err != nil {
		return text, 0 // strings can always be encoded
	}
	return text, len(encoded)
}

// forget drops submissions that ended long ago or that nobody ends.
func (b *Batches) forget(now time.Time) {
	b.early = slices.DeleteFunc(b.early, func(early earlyOffer) bool { return now.Sub(early.at) > earlyMemory })
	for len(b.endings) > 0 && now.Sub(b.endings[0].at) > b.settings.Keep {
		b.drop(b.endings[0].id)
		b.endings = b.endings[1:]
	}
	for len(b.openings) > 0 {
		one, ok := b.submissions.Get(b.openings[0].id)
		if ok && now.Sub(b.openings[0].at) <= b.settings.MaxOpen {
			return
		}
		if ok && !one.ended {
			b.end(now, one.ID) // its runs stop
		}
		b.drop(b.openings[0].id)
		b.openings = b.openings[1:]
	}
}

func (b *Batches) drop(id SubmissionID) {
	one, ok := b.submissions.Get(id)
	if !ok {
		return
	}
	for _, row := range one.order {
		if b.parts[row.ID] == row {
			delete(b.parts, row.ID)
		}
	}
	b.submissions.Delete(id)
}

// OldestKept returns when the oldest submission that is still readable was read; ok is false when there is none. Records
// from before are of no use to anybody.
func (b *Batches) OldestKept() (at time.Time, ok bool) {
	if len(b.openings) == 0 {
		return time.Time{}, false
	}
	return b.openings[0].at, true
}

// ending is a submission and the time from which on its keeping counts.
type ending struct {
	id SubmissionID
	at time.Time
}
