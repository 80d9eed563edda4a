package jujubebatch

import (
	"cmp"
	"iter"
	"slices"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubedesired"
	"jujubepier.example/core/services/jujubeplacement"
	"jujubepier.example/core/services/jujubeprompt"
)

// A batch may have hundreds of thousands of items, of which engines run a few at a time. So an item that waits, or has a result, takes
// little memory and no time in a tick; the state of its scheduling exists only while it is needed.

// routeMatch is the route of an item under a desired state; route is nil if it has none.
type routeMatch struct {
	desired *jujubedesired.State
	route   *jujubedesired.Route
}

// item is an item of a submission. Its state is read through the embedded pointer, and written through modify only.
type item struct {
	*Item
	// itemState is shared by all items of the submission that have none of their own; that one is never written to.
	*itemState
	submission *submission
	// match is the item's route as of its latest use.
	match routeMatch
	// index is that of the item in the submission's record, at is that in itemStore.items. They differ if ids are repeated.
	index, at int32
	// hasResult is true once the log has a result of the item, isErrored if that is an error.
	hasResult, isErrored bool
	// resultQueued is true once the result has been handed over for appending.
	resultQueued bool
	// delegatedHere is true while this instance is responsible for the item on behalf of another one.
	delegatedHere bool
	// isListed is true while itemStore.modifiedItems has the item.
	isListed bool
}

// itemState is the scheduling state of an item.
type itemState struct {
	// choice is why the item's engine was selected; assignedAt is when.
	choice     jujubeplacement.Choice
	assignedAt time.Time
	// events and versions are the part of the text that this instance holds in memory.
	events   []string
	versions []model.WeightVersion
	// softwareVersion is that of the engines that generated events; empty if it is unknown.
	softwareVersion model.SoftwareVersion
	// textBlockedSince is since when only engines that may not continue the text have had room; zero if that isn't the case.
	textBlockedSince time.Time
	// serviceBlockedSince is since when the item has found no engine; zero if it has one.
	serviceBlockedSince time.Time
	// progress is the longest checkpoint in the log, if it is longer than events and the submission allows its versions;
	// otherwise nil.
	progress   *Progress
	progressAt time.Time
	// delegation is set while another instance is responsible for the item.
	delegation *delegation
	// given is the content that another instance sent along when it delegated the item.
	given Content
	// offeredEngine is the engine that the delegator chose. For this engine the item isn't delegated again.
	offeredEngine model.EndpointID
	// movedAt is when the run was last asked to move to another engine.
	movedAt time.Time
	// loggedEvents is how many events the log has.
	loggedEvents int
	loggedAt     time.Time
	run          *run
	// assignedEngine is the engine that the item will run or runs on; empty for none.
	assignedEngine model.EndpointID
	// promptUse is what the item occupies on assignedEngine; nil if it has none.
	promptUse *jujubeprompt.Use
	notBefore time.Time
	// unscored is the complete text while its score is missing. It comes from a run here, or from a record of the log,
	// which has only a pointer to the text. A score belongs to the text that was held when the scoring call began, so
	// unscored is never replaced.
	unscored   *Result
	unscoredAt time.Time
	// unscoredLogged is true once a record of unscored is in the log or has been requested.
	unscoredLogged bool
	scoring        *scoring
	// scoreFailures holds the signatures of the scoring servers' internal errors. scoreRetries counts the calls without a
	// score.
	scoreFailures map[string]bool
	scoreRetries  int
	// failures counts the engines' internal errors for the item, earlyBreaks the runs on end that broke off before their first
	// event, and discardedTexts the texts that couldn't be stored.
	failures int
	// failureSignatures are the engines' signatures of the internal errors that this instance received, and repeatedFailures counts
	// those that it received before.
	failureSignatures []string
	repeatedFailures  int
	earlyBreaks       int
	discardedTexts    int
	// hasEmptyEnd is true once a run that continued the text has ended without an event.
	hasEmptyEnd bool
}

// isModified reports whether the item has a state of its own.
func (it *item) isModified() bool { return it.itemState != it.submission.initial }

// modify returns the item's state for writing.
func (it *item) modify() *itemState {
	if !it.isModified() {
		it.itemState = &itemState{}
		it.submission.list(it)
	}
	return it.itemState
}

// reset drops the state of an item that needs no more runs.
func (it *item) reset() {
	if it.isModified() {
		it.itemState = it.submission.initial
		it.submission.isStale = true
	}
}

// itemStore holds the items of a submission.
type itemStore struct {
	// items are in the order of the submission, without those whose id an earlier one has.
	items []item
	// byID and longestFirst are indexes into items, sorted by id and by descending expected tokens.
	byID, longestFirst []int32
	// resolvedFirst is the number of items at the beginning of longestFirst that have a result.
	resolvedFirst int
	// initial is the state of the items that have none of their own.
	initial *itemState
	// modifiedItems has the indexes of all items with a state of their own. While isStale is true it isn't sorted, and may have others.
	modifiedItems []int32
	isStale       bool
}

func newItemStore(s *submission) itemStore {
	order := s.uniqueItems()
	store := itemStore{items: make([]item, len(order)), byID: make([]int32, len(order)), longestFirst: make([]int32, len(order)), initial: &itemState{}}
	for at, index := range order {
		store.items[at] = item{Item: &s.Items[index], itemState: store.initial, submission: s, index: index, at: int32(at)}
		store.byID[at], store.longestFirst[at] = int32(at), int32(at)
	}
	slices.SortFunc(store.byID, func(x, y int32) int { return cmp.Compare(store.items[x].ID, store.items[y].ID) })
	slices.SortStableFunc(store.longestFirst, func(x, y int32) int {
		return cmp.Compare(store.items[y].ExpectedTokens, store.items[x].ExpectedTokens)
	})
	return store
}

// find returns an item by its id.
func (st *itemStore) find(id ItemID) (*item, bool) {
	at, ok := slices.BinarySearchFunc(st.byID, id, func(at int32, id ItemID) int { return cmp.Compare(st.items[at].ID, id) })
	if !ok {
		return nil, false
	}
	return &st.items[st.byID[at]], true
}

func (st *itemStore) list(it *item) {
	if !it.isListed {
		it.isListed, st.isStale = true, true
		st.modifiedItems = append(st.modifiedItems, it.at)
	}
}

// modified iterates over the items with a state of their own, in the order of the submission. Items that get one meanwhile may be left out.
func (st *itemStore) modified() iter.Seq[*item] {
	st.compactModified()
	return st.at(st.modifiedItems)
}

// compactModified sorts modifiedItems and removes the items that have no state of their own any more. Iterations that are in progress keep
// the earlier slice.
func (st *itemStore) compactModified() {
	if !st.isStale {
		return
	}
	var remaining []int32
	for _, at := range st.modifiedItems {
		if it := &st.items[at]; it.isModified() {
			remaining = append(remaining, at)
		} else {
			it.isListed = false
		}
	}
	slices.Sort(remaining)
	st.modifiedItems, st.isStale = remaining, false
}

// unresolvedLongestFirst returns the indexes of the items that may have no result, the longest first.
func (st *itemStore) unresolvedLongestFirst() []int32 {
	for st.resolvedFirst < len(st.longestFirst) && st.items[st.longestFirst[st.resolvedFirst]].hasResult {
		st.resolvedFirst++
	}
	return st.longestFirst[st.resolvedFirst:]
}

// modifiedLongestFirst returns the indexes of the items with a state of their own, the longest first.
func (st *itemStore) modifiedLongestFirst() []int32 {
	st.compactModified()
	indexes := slices.Clone(st.modifiedItems)
	slices.SortStableFunc(indexes, func(x, y int32) int { return cmp.Compare(st.items[y].ExpectedTokens, st.items[x].ExpectedTokens) })
	return indexes
}

// all iterates over all items in the order of the submission.
func (st *itemStore) all() iter.Seq[*item] {
	return func(yield func(*item) bool) {
		for i := range st.items {
			if !yield(&st.items[i]) {
				return
			}
		}
	}
}

// at iterates over the items with the given indexes.
func (st *itemStore) at(indexes []int32) iter.Seq[*item] {
	return func(yield func(*item) bool) {
		for _, at := range indexes {
			if !yield(&st.items[at]) {
				return
			}
		}
	}
}

const (
	// smallSubmission is the number of items up to which all of them may be scanned in each tick.
	smallSubmission = 1024
	// scanTime is the time between two scans for each further item, so that scans take a small share of the processor.
	scanTime = 2 * time.Microsecond
)

// scanInterval returns the minimum time between two scans of all items.
func (st *itemStore) scanInterval() time.Duration {
	return time.Duration(max(0, len(st.items)-smallSubmission)) * scanTime
}

// uniqueItems returns the indexes of the items without those whose id an earlier one has.
func (s *Submission) uniqueItems() []int32 {
	sorted := make([]int32, len(s.Items))
	for i := range sorted {
		sorted[i] = int32(i)
	}
	slices.SortFunc(sorted, func(x, y int32) int { return cmp.Or(cmp.Compare(s.Items[x].ID, s.Items[y].ID), cmp.Compare(x, y)) })
	sorted = slices.CompactFunc(sorted, func(x, y int32) bool { return s.Items[x].ID == s.Items[y].ID })
	slices.Sort(sorted)
	return sorted
}
