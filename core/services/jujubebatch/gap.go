package jujubebatch

import (
	"slices"
	"time"
)

// The log keeps records for a limited time. If some expire before an instance has read them, the end of a submission and results of its
// items may be among them. Such a submission is in doubt: nothing of it starts here, and its results aren't listed, until an instance
// that has read those records has told what they say. If no live instance has read them, nobody can: the instances then go on together
// with what they know. An end is known at least to the instance that wrote it.

// Span is a range of offsets of a partition, without End.
type Span struct {
	Begin, End int64
}

// covers reports whether a span contains another one.
func (s Span) covers(other Span) bool { return s.Begin <= other.Begin && s.End >= other.End }

// doubt is what was known of a submission before some of its partition's records expired unread.
type doubt struct {
	// missing includes all records that expired unread since, and those between them.
	missing Span
	// readFrom is an offset before or at the submission's record, from which on all records before missing have been read.
	readFrom int64
	// results is the number of results that were read before missing.
	results int
}

// Question asks another instance what it knows of a submission that is in doubt here.
type Question struct {
	Submission SubmissionID
	// Results is the number of results that were read before the doubt, and Last the item of the last one of them.
	Results int
	Last    ItemID
}

// Status is what an instance knows of a submission.
type Status struct {
	Submission SubmissionID
	// Known is false for a submission that the instance hasn't read or has deleted long ago.
	Known, Ended bool
	// InDoubt is true if the instance can't tell: the submission is in doubt there too, or its results before those asked for differ.
	InDoubt bool
	// Results are those after Question.Results.
	Results []Result
}

// RecordGap records that records of a partition have expired unread, and that all records of the range read were read before.
// isAffected reports whether a submission belongs to the partition.
// It returns the actions that stop runs which may not have been sent yet.
func (s *Scheduler) RecordGap(read, missing Span, isAffected func(SubmissionID) bool) []Action {
	for id, submission := range s.submissions.All() {
		switch {
		case !isAffected(id):
		case submission.doubt != nil:
			submission.doubt.missing.End = missing.End
		default:
			submission.doubt = &doubt{missing: missing, readFrom: read.Begin, results: len(submission.results)}
			s.cancelUnsentRuns(submission, "records of the submission have expired unread")
		}
	}
	actions := s.actions
	s.actions = nil
	return actions
}

// cancelUnsentRuns cancels the runs and scoring calls that may not have been sent yet.
func (s *Scheduler) cancelUnsentRuns(submission *submission, reason string) {
	for item := range submission.modified() {
		s.cancelScoring(item, reason)
		if item.run != nil && item.run.awaitsFirstEvent {
			s.cancelRun(item.run, reason)
		}
	}
}

// Questions returns the questions about submissions that are in doubt.
func (s *Scheduler) Questions(isAffected func(SubmissionID) bool) []Question {
	var questions []Question
	for id, submission := range s.submissions.All() {
		if submission.doubt == nil || !isAffected(id) {
			continue
		}
		question := Question{Submission: id, Results: submission.doubt.results}
		if question.Results > 0 {
			question.Last = submission.result(question.Results - 1).Item
		}
		questions = append(questions, question)
	}
	return questions
}

// Answer returns what this instance knows of a submission.
func (s *Scheduler) Answer(question Question) Status {
	submission, ok := s.submissions.Get(question.Submission)
	if !ok {
		if s.IsDeferred(question.Submission) {
			return Status{Submission: question.Submission, Known: true, Ended: s.deferred[question.Submission].ended, InDoubt: true}
		}
		isBuried := s.buriedIDs[question.Submission]
		return Status{Submission: question.Submission, Known: isBuried, Ended: isBuried}
	}
	status := Status{Submission: question.Submission, Known: true, Ended: submission.ended}
	first := question.Results
	switch {
	case submission.doubt != nil || first > len(submission.results) || first > 0 && submission.result(first-1).Item != question.Last:
		status.InDoubt = true
	default:
		for i := first; i < len(submission.results); i++ {
			status.Results = append(status.Results, submission.result(i))
		}
	}
	return status
}

// HandleAnswer applies what another instance knows of a submission that is in doubt, and reports whether that ends the doubt. read is
// the range of offsets that the other instance has read without a gap. What it knows beyond the missing records is read here as well, and
// has no effect then.
func (s *Scheduler) HandleAnswer(now time.Time, status Status, read Span) bool {
	submission, ok := s.submissions.Get(status.Submission)
	if !ok || submission.doubt == nil {
		return false
	}
	doubt := *submission.doubt
	if status.Known && status.Ended {
		s.endSubmission(now, submission.ID)
	}
	// An instance deletes submissions that have ended or expired; one that began to read later never knew them.
	wasDeleted := !status.Known && read.Begin <= doubt.readFrom
	if !read.covers(doubt.missing) || status.InDoubt || !status.Known && !wasDeleted {
		return false
	}
	submission.doubt = nil
	s.insertResults(submission, doubt.results, status.Results)
	if status.Ended || wasDeleted {
		s.endSubmission(now, submission.ID)
	}
	return true
}

// AbandonDoubts ends all doubts, because no live instance has read the missing records.
func (s *Scheduler) AbandonDoubts(isAffected func(SubmissionID) bool) {
	for id, submission := range s.submissions.All() {
		if isAffected(id) {
			submission.doubt = nil
		}
	}
}

// insertResults adds results at a position, before those that were read after them.
func (s *Scheduler) insertResults(submission *submission, at int, results []Result) {
	later := slices.Clone(submission.results[at:])
	submission.results = submission.results[:at:at]
	inserted := make(map[ItemID]bool, len(results))
	for i := range results {
		result := &results[i]
		item, ok := submission.find(result.Item)
		if !ok || inserted[result.Item] {
			continue
		}
		inserted[result.Item] = true
		if item.hasResult {
			item.isErrored = result.State == Errored
			submission.results = append(submission.results, s.listResult(item, result))
			continue
		}
		s.addResult(result)
	}
	for _, result := range later {
		if !inserted[submission.items[result.at].ID] {
			submission.results = append(submission.results, result)
		}
	}
}
