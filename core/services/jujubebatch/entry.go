// Package jujubebatch keeps submissions of many items, decides which item runs on which engine, and lists the results.
//
// All state that outlives an instance is a fold of log records: each submission belongs to one partition, and all
// instances read the same records in the same order. Bodies and texts lie in a partition of their own, and the records
// point at them, so that only who needs one reads it. The first record of a submission, of an item's result and of an end
// counts and later ones have no effect, so that repeated and late appends are harmless and no partition needs an owner.
// Who runs an item is only a matter of economy: two runs of one item cost engine time and change nothing that is listed.
package jujubebatch

import (
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

// SubmissionID names a submission.
type SubmissionID string

// ItemID names an item within its submission.
type ItemID string

// GroupID names items that share a prompt and count only together.
type GroupID string

// Submission is a set of items that one caller hands in at once.
type Submission struct {
	ID    SubmissionID
	Host  string
	Path  string
	Model model.ModelName
	// MinVersion is the oldest weight version that may generate any event of a result.
	MinVersion model.WeightVersion
	// GroupCount is how many complete groups the trainer waits for.
	GroupCount int
	Items      []Item
	// Accepted is the accepting instance's time of day, in Unix milliseconds.
	Accepted int64
	// Chunks are where the items' contents lie: item i in chunk i modulo their number.
	Chunks []Pointer
	// By is the instance that accepted the submission. It keeps the chunks for a while and sees to the items.
	By model.InstanceID
}

// Pointer is where a blob lies in the texts' partition with the number of the submission's own partition.
type Pointer struct {
	Offset int64
	// Count is the number of consecutive records, Size their bytes.
	Count int
	Size  int
}

// Content is what an item sends to an engine, besides its path.
type Content struct {
	Headers map[string]string
	Body    []byte
	// ScoringBody is the body of the item's scoring call.
	ScoringBody []byte `json:",omitempty"`
}

// ScoringCall is the plain request whose answer scores an item's text. It may be repeated. Its body lies with the item's
// content.
type ScoringCall struct {
	ID   model.RequestID
	Host string
	Path string
}

// Item is one request for tokens.
type Item struct {
	ID   ItemID
	Path string
	// Content isn't part of the record; it lies in a chunk.
	Content Content `json:"-"`
	// ExpectedTokens is the caller's estimate of what will be generated, often far off; 0 for none.
	ExpectedTokens int `json:",omitempty"`
	Group          GroupID
	// Scoring is nil for an item whose text needs no score.
	Scoring *ScoringCall `json:",omitempty"`
}

// ResultState tells how an item ended.
type ResultState string

// States of a result.
const (
	Completed ResultState = "Completed"
	Errored   ResultState = "Errored"
)

// Result is the outcome of one item. Its text comes from one chain of runs, each resumed after the last event of the one
// before.
type Result struct {
	Submission SubmissionID
	Item       ItemID
	State      ResultState
	// Text isn't part of the record; Data says where it lies. An errored item has none.
	Text string  `json:"-"`
	Data Pointer `json:",omitzero"`
	// TextBytes is the text's size in an answer, encoded as JSON; zero if unknown.
	TextBytes int `json:",omitempty"`
	// By is the instance that wrote the text and keeps it for a while.
	By model.InstanceID `json:",omitempty"`
	// Versions generated an event of the text, each named once.
	Versions []model.WeightVersion
	// Score is the stamp of the scoring call's answer. The call began after the text was whole.
	Score string `json:",omitempty"`
}

// Ref names the item of a result.
func (r *Result) Ref() ItemRef { return ItemRef{r.Submission, r.Item} }

// Progress is the part of an item's text that was generated before its instance left or a run took long. Whoever runs the
// item next resumes after it.
type Progress struct {
	Submission SubmissionID
	Item       ItemID
	// Events are the data of the events from the first one on, Count their number. They aren't part of the record; Data says
	// where they lie.
	Events   []string `json:"-"`
	Count    int
	Data     Pointer
	By       model.InstanceID
	Versions []model.WeightVersion
}

// Entry is one logical record of a partition; exactly one field is set.
type Entry struct {
	Submission *Submission `json:",omitempty"`
	Result     *Result     `json:",omitempty"`
	Progress   *Progress   `json:",omitempty"`
	// Unscored is a whole text that waits for its score. It has no position yet.
	Unscored *Result `json:",omitempty"`
	End      *End    `json:",omitempty"`
}

// Of returns the submission that an entry concerns; ok is false for an empty entry.
func (e Entry) Of() (id SubmissionID, ok bool) {
	switch {
	case e.Submission != nil:
		return e.Submission.ID, true
	case e.Result != nil:
		return e.Result.Submission, true
	case e.Progress != nil:
		return e.Progress.Submission, true
	case e.Unscored != nil:
		return e.Unscored.Submission, true
	case e.End != nil:
		return e.End.Submission, true
	}
	return "", false
}

// Text returns what an entry has of a text, nil for one without.
func (e Entry) Text() any {
	switch {
	case e.Result != nil && e.Result.Text != "":
		return e.Result.Text
	case e.Unscored != nil && e.Unscored.Text != "":
		return e.Unscored.Text
	case e.Progress != nil && len(e.Progress.Events) > 0:
		return e.Progress.Events
	}
	return nil
}

// TextBytes returns the size of what an entry has of a text.
func (e Entry) TextBytes() int {
	switch text := e.Text().(type) {
	case string:
		return len(text)
	case []string:
		size := 0
		for _, event := range text {
			size += len(event)
		}
		return size
	}
	return 0
}

// End says that the submission's caller wants no more results.
type End struct {
	Submission SubmissionID
}

// Settings are the constants of the scheduler.
type Settings struct {
	// FirstEventTimeout ends a run without a first event. Engines admit a request within a step of some ms unless they are
	// full or load weights, which takes about one second.
	FirstEventTimeout time.Duration
	// StallTimeout ends a run without a further event. Engines make an event each 40 ms, and each 150 ms when slow.
	StallTimeout time.Duration
	// SilenceTimeout ends all runs on an engine that this instance keeps when none of them had an event. Undisturbed engines
	// make an event each 50 to 65 ms; 0.5 s was the longest pause seen while weights were loaded or memory ran out.
	SilenceTimeout time.Duration
	// AvoidLoading is how long a model is not sent to an engine that refused it: a load takes about one second, and
	// other engines are asked meanwhile.
	AvoidLoading time.Duration
	// AvoidFailed is how long an engine that failed a run without an answer gets no new one. For a silent engine it doubles
	// each time until the engine makes an event, up to MaxAvoid.
	AvoidFailed time.Duration
	MaxAvoid    time.Duration
	// RetryPause is the pause before an item is started again, so that a failing item doesn't spin.
	RetryPause time.Duration
	// SlowFactor is how many times the median time of an event an engine needs to count as slow.
	SlowFactor float64
	// CheckpointAfter is how long an item runs before its progress is written, and the least time to the next writing.
	CheckpointAfter time.Duration
	// Keep is how long an ended submission stays readable.
	Keep time.Duration
	// MaxOpen is when a submission that nobody ends is dropped: the log keeps its records for 300 s at most.
	MaxOpen time.Duration
}

// DefaultSettings returns the constants for engines with events of about 50 ms.
func DefaultSettings() Settings {
	return Settings{
		FirstEventTimeout: 1500 * time.Millisecond, StallTimeout: time.Second, SilenceTimeout: 700 * time.Millisecond, AvoidLoading: 250 * time.Millisecond,
		AvoidFailed: time.Second, MaxAvoid: 4 * time.Second, RetryPause: 30 * time.Millisecond, SlowFactor: 2,
		CheckpointAfter: time.Second, Keep: 130 * time.Second, MaxOpen: 280 * time.Second,
	}
}
