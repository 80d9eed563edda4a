package jujubebatch

import (
	"slices"

	model "jujubepier.example/core/models/jujubemodel"
)

// listedResult is a result in the order of the log. Its submission and item are those of the list and of the item.
type listedResult struct {
	// at is the item's index in itemStore.items.
	at          int32
	isErrored   bool
	size, count int32
	textBytes   int32
	events      int32
	offset      int64
	*resultOrigin
}

// resultOrigin is what several results have in common.
type resultOrigin struct {
	by       model.InstanceID
	versions []model.WeightVersion
	// text is set only for results that don't come from records.
	text, score string
}

func (o *resultOrigin) equals(other resultOrigin) bool {
	return o.by == other.by && o.text == other.text && o.score == other.score && (o.versions == nil) == (other.versions == nil) &&
		slices.Equal(o.versions, other.versions)
}

// recentOrigins is the number of latest results among which one of the same origin is looked for.
const recentOrigins = 8

// listResult returns the form in which the result of an item is kept.
func (s *Scheduler) listResult(it *item, result *Result) listedResult {
	listed := listedResult{
		at: it.at, isErrored: result.State == Errored, size: int32(result.Data.Size), count: int32(result.Data.Count),
		textBytes: int32(result.TextBytes), events: int32(result.Events), offset: result.Data.Offset,
	}
	origin := resultOrigin{result.By, result.Versions, result.Text, result.Score}
	results := it.submission.results
	for _, other := range results[max(0, len(results)-recentOrigins):] {
		if other.equals(origin) {
			listed.resultOrigin = other.resultOrigin
			return listed
		}
	}
	listed.resultOrigin = &origin
	return listed
}

// result returns a result by its position.
func (s *submission) result(position int) Result {
	listed := &s.results[position]
	state := Completed
	if listed.isErrored {
		state = Errored
	}
	return Result{
		Submission: s.ID, Item: s.items[listed.at].ID, State: state, Text: listed.text,
		Data:      Pointer{Offset: listed.offset, Count: int(listed.count), Size: int(listed.size)},
		TextBytes: int(listed.textBytes), Events: int(listed.events), By: listed.by, Versions: listed.versions, Score: listed.score,
	}
}
