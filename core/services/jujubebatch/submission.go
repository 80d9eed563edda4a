package jujubebatch

import (
	"cmp"
	"encoding/json"
	"slices"
	"strings"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubedesired"
	"jujubepier.example/core/services/jujubeplacement"
	"jujubepier.example/core/services/jujubeprompt"
)

// submission is a Submission together with its items' state and its results.
type submission struct {
	Submission
	// readAt is the local time at which this instance read the submission's record.
	readAt time.Time
	// results are in log order, which defines their positions; the slice only grows.
	results []Result
	items   map[ItemID]*item
	// order holds the items in the order of the submission.
	order []*item
	// longestFirst holds the items in descending order of expected tokens.
	longestFirst []*item
	ended        bool
	// doubt is set while records that may concern the submission are missing; otherwise nil.
	doubt *doubt
	// groups holds the items by group, in the order of the groups' first items.
	groups []itemGroup
	// acceptedAt is the local time at which the submission was accepted, as far as the clocks agree.
	acceptedAt time.Time
	// stepEvents is the expected number of events that the longest needed item still has, as of measuredAt.
	stepEvents float64
	measuredAt time.Time
	// unresolved counts the items without a result, unassigned those of them without an engine, and delegatedHere those
	// that other instances delegated to this one.
	unresolved, unassigned, delegatedHere int
	// mayStart is whether the start gate allowed items of the submission to start in the tick startCheckedIn.
	mayStart       bool
	startCheckedIn int
	// isAcceptorLive is true while the instance By is live.
	isAcceptorLive bool
}

// routeMatch is the route of an item under a desired state; route is nil if it has none.
type routeMatch struct {
	desired *jujubedesired.State
	route   *jujubedesired.Route
}

// item is an item of a submission together with its scheduling state.
type item struct {
	Item
	submission *submission
	index      int
	// match is the item's route as of its latest use.
	match routeMatch
	// hasResult is true once the log has a result of the item, isErrored if that is an error.
	hasResult, isErrored bool
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
	// delegation is set while another instance is responsible for the item. delegatedHere is true while this instance is
	// responsible for it on behalf of another one.
	delegation    *delegation
	delegatedHere bool
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
	// resultQueued is true once the result has been handed over for appending.
	resultQueued bool
}

// Page is a part of a submission's results.
type Page struct {
	Total   int
	Results []Result
	Ended   bool
	// InDoubt is true if results may be missing or stand at other positions than those that are listed elsewhere.
	InDoubt bool
}

// Apply applies the next entry of a partition. It returns false if the entry had no effect.
func (s *Scheduler) Apply(now time.Time, entry *Entry) bool {
	switch {
	case entry.Submission != nil:
		return s.addSubmission(now, entry.Submission)
	case entry.Result != nil:
		return s.addResult(entry.Result)
	case entry.Progress != nil:
		return s.addProgress(now, entry.Progress)
	case entry.Unscored != nil:
		return s.addUnscored(now, entry.Unscored)
	case entry.End != nil:
		return s.endSubmission(now, entry.End.Submission)
	case entry.Stream != nil:
		return s.AddStream(now, *entry.Stream)
	}
	return false
}

func (s *Scheduler) addSubmission(now time.Time, record *Submission) bool {
	if _, ok := s.submissions.Get(record.ID); ok {
		return false
	}
	submission := &submission{
		Submission: *record, readAt: now, items: make(map[ItemID]*item, len(record.Items)), isAcceptorLive: s.isLive(record.By),
	}
	for i := range record.Items {
		item := &item{Item: record.Items[i], submission: submission, index: i}
		if _, duplicate := submission.items[item.ID]; duplicate {
			continue
		}
		submission.items[item.ID] = item
		submission.order = append(submission.order, item)
	}
	submission.unresolved, submission.unassigned = len(submission.order), len(submission.order)
	submission.longestFirst = slices.Clone(submission.order)
	slices.SortStableFunc(submission.longestFirst, func(x, y *item) int { return cmp.Compare(y.ExpectedTokens, x.ExpectedTokens) })
	s.submissions.Put(record.ID, submission)
	s.byReadTime = append(s.byReadTime, submissionTime{id: record.ID, at: now})
	s.latestMinVersions[record.Model] = max(s.latestMinVersions[record.Model], record.MinVersion)
	submission.groups, submission.acceptedAt = s.groupItems(submission), submission.localAcceptance()
	s.reuseTexts(submission)
	s.acceptPendingOffers(now)
	return true
}

// reuseTexts copies the texts that earlier submissions of the same model have for the same items, if this submission allows
// their versions.
func (s *Scheduler) reuseTexts(submission *submission) {
	for _, item := range submission.order {
		if earlier := s.latestItems[item.reuseKey()]; earlier != nil &&
			earlier.submission.Model == submission.Model && earlier.submission != submission {
			switch text := earlier.unscored; {
			case text != nil && text.Text != "" && item.Scoring != nil:
				if item.allowsVersions(text.Versions) {
					item.reuseText(text)
				}
			case item.allowsVersions(earlier.versions):
				item.events, item.versions = slices.Clone(earlier.events), slices.Clone(earlier.versions)
				item.softwareVersion = earlier.softwareVersion
			}
			// A checkpoint in the log isn't copied: it belongs to the partition of the earlier submission and can be read
			// only there.
		}
		s.latestItems[item.reuseKey()] = item
	}
}

// allowsVersions reports whether text generated by these weight versions may be part of the item's result.
func (it *item) allowsVersions(versions []model.WeightVersion) bool {
	for _, version := range versions {
		if version < it.submission.MinVersion {
			return false
		}
	}
	return true
}

func (s *Scheduler) addResult(result *Result) bool {
	submission, ok := s.submissions.Get(result.Submission)
	if !ok {
		return false
	}
	item, ok := submission.items[result.Item]
	if !ok || item.hasResult {
		return false
	}
	item.hasResult, item.isErrored = true, result.State == Errored
	s.lengthsOf(submission.Model).Observe(item.ExpectedTokens, result.Events)
	item.dropText()
	item.Content = Content{}
	s.cancelScoring(item, "the item has a result")
	item.unscored = nil
	submission.unresolved--
	if item.delegatedHere {
		submission.delegatedHere--
	}
	submission.results = append(submission.results, *result)
	if item.run != nil {
		s.cancelRun(item.run, "the item has a result")
	}
	s.unassign(item)
	submission.unassigned--
	if s.latestItems[item.reuseKey()] == item {
		delete(s.latestItems, item.reuseKey())
	}
	return true
}

func (s *Scheduler) addProgress(now time.Time, progress *Progress) bool {
	submission, ok := s.submissions.Get(progress.Submission)
	if !ok {
		return false
	}
	item, ok := submission.items[progress.Item]
	if !ok || item.hasResult {
		return false
	}
	if item.run != nil {
		if progress.SoftwareVersion != item.softwareVersion {
			return false
		}
		item.loggedEvents = max(item.loggedEvents, min(progress.Count, len(item.events)))
		return false
	}
	if progress.Count <= len(item.events) || !item.allowsVersions(progress.Versions) {
		return false
	}
	// The checkpoint of another software version belongs to a text that was started anew after the earlier one.
	if item.progress != nil && progress.Count <= item.progress.Count && progress.SoftwareVersion == item.progress.SoftwareVersion {
		return false
	}
	item.progress, item.progressAt = progress, now
	return true
}

func (s *Scheduler) endSubmission(now time.Time, id SubmissionID) bool {
	submission, ok := s.submissions.Get(id)
	if !ok || submission.ended {
		return false
	}
	submission.ended = true
	s.byEndTime = append(s.byEndTime, submissionTime{id: id, at: now})
	for _, item := range submission.order {
		if item.run != nil {
			s.cancelRun(item.run, "the submission has ended")
		}
		s.cancelScoring(item, "the submission has ended")
		s.unassign(item)
	}
	return true
}

// SubmissionStatus reports whether a submission exists and whether it has ended.
func (s *Scheduler) SubmissionStatus(id SubmissionID) (known, ended bool) {
	submission, ok := s.submissions.Get(id)
	return ok, ok && submission.ended
}

// ReadResults returns the results from a position on, limited to maxBytes, but at least one if there is any.
func (s *Scheduler) ReadResults(id SubmissionID, after, maxBytes int) (Page, bool) {
	submission, ok := s.submissions.Get(id)
	if !ok {
		return Page{}, false
	}
	page := Page{Total: len(submission.order), Ended: submission.ended, InDoubt: submission.doubt != nil}
	size := 0
	for i := max(after, 0); i < len(submission.results); i++ {
		size += submission.results[i].responseBytes()
		if size > maxBytes && len(page.Results) > 0 {
			break
		}
		page.Results = append(page.Results, submission.results[i])
	}
	return page, true
}

// responseBytes returns an upper estimate of a result's size in a response.
func (r *Result) responseBytes() int {
	if r.TextBytes > 0 {
		return r.TextBytes + resultOverheadBytes
	}
	return r.Data.Size*maxTextExpansion + resultOverheadBytes
}

// maxTextExpansion is an upper bound for the size in a response of a text whose encoded size is unknown, as a multiple of
// its compressed size. Compression reduces texts of engines to a half at best.
const maxTextExpansion = 3

// resultOverheadBytes covers the id, state and versions of a result in a response.
const resultOverheadBytes = 160

// FindContent returns where the content of an item is stored.
func (s *Scheduler) FindContent(id SubmissionID, itemID ItemID) (Place, bool) {
	submission, ok := s.submissions.Get(id)
	if !ok {
		return Place{}, false
	}
	item, ok := submission.items[itemID]
	if !ok {
		return Place{}, false
	}
	return item.contentPlace()
}

// joinText returns a result's text and its size in a response.
func joinText(events []string) (text string, size int) {
	text = strings.Join(events, "\n")
	encoded, err := json.Marshal(text)
	if err != nil {
		return text, 0 // encoding a string can't fail
	}
	return text, len(encoded)
}
