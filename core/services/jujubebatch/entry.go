// Package jujubebatch schedules the items of batch submissions to engines and collects their results.
//
// All state that outlives an instance is derived from log records. Each submission belongs to one partition, and all
// instances apply the same records in the same order. Each partition has a text partition with the same number. It stores
// the larger data, that is request bodies, generated texts and the events of checkpoints, which the records reference by a
// Pointer, so that only instances that need them read them. An event is one server-sent event of an engine's stream; an
// item's text consists of the data of its events. The first record of a submission, of an item's result and of a
// submission's end takes effect; later ones are ignored. Repeated and late appends are therefore harmless, and no partition
// needs an owner. Which instance runs an item affects only the cost: a second run of the same item takes engine time but
// doesn't change the results.
package jujubebatch

import (
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubeplacement"
	"jujubepier.example/core/services/jujubeprompt"
)

// SubmissionID identifies a submission.
type SubmissionID string

// ItemID identifies an item within its submission.
type ItemID string

// GroupID identifies items that share a prompt and are useful only as a complete group.
type GroupID string

// Submission is a set of items that a caller submits together.
type Submission struct {
	ID    SubmissionID
	Host  string
	Path  string
	Model model.ModelName
	// Organisation is the one that submitted it; empty on a public route and in the records of earlier builds.
	Organisation model.OrganisationName `json:",omitempty"`
	// MinVersion is the oldest weight version that may generate an event of a result's text.
	MinVersion model.WeightVersion
	// GroupCount is how many complete groups the trainer waits for.
	GroupCount int
	Items      []Item
	// Accepted is the accepting instance's wall-clock time in Unix milliseconds.
	Accepted int64
	// Chunks locate the items' contents: item i is in chunk i modulo their number.
	Chunks []Pointer
	// By is the instance that accepted the submission. It caches the chunks and assigns the items to engines.
	By model.InstanceID
	// DesiredVersion is the version of the desired state under which the submission was accepted; zero in the records of earlier
	// builds. Instances with an older desired state leave the submission alone.
	DesiredVersion int64 `json:",omitempty"`
	// Contents are the items' contents. They aren't part of the record; they are stored in chunks.
	Contents Contents `json:"-"`
	// memoryBytes is the result of MemoryBytes; zero before the first call.
	memoryBytes int
}

// Pointer locates data in the text partition, which has the same number as the submission's partition.
type Pointer struct {
	Offset int64
	// Count is the number of consecutive records, Size their total size in bytes.
	Count int
	Size  int
}

// Content is the part of an item's request that is sent to the engine, without the path.
type Content struct {
	Headers map[string]string
	Body    []byte
	// ScoringBody is the body of the item's scoring call.
	ScoringBody []byte `json:",omitempty"`
}

// ScoringCall is the plain request whose response scores an item's text. It is idempotent. Its body is stored with the
// item's content.
type ScoringCall struct {
	ID   model.RequestID
	Host string
	Path string
}

// Item is one request for generation.
type Item struct {
	ID   ItemID
	Path string
	// ExpectedTokens is the caller's estimate of the generated length, often far off; 0 for none.
	ExpectedTokens int `json:",omitempty"`
	// Prompt lists the parts of the prompt; empty if the caller names none. The last one is the item's own.
	Prompt jujubeprompt.Prompt `json:",omitempty"`
	Group  GroupID
	// Scoring is nil for an item whose text isn't scored.
	Scoring *ScoringCall `json:",omitempty"`
}

// ResultState is the outcome of an item.
type ResultState string

// States of a result.
const (
	Completed ResultState = "Completed"
	Errored   ResultState = "Errored"
)

// Result is the result of one item. Its text comes from one run or from a chain of runs, each resumed after the last event
// of the previous one.
type Result struct {
	Submission SubmissionID
	Item       ItemID
	State      ResultState
	// Text isn't part of the record; Data locates it. An errored item has none.
	Text string  `json:"-"`
	Data Pointer `json:",omitzero"`
	// TextBytes is the JSON-encoded size of the text in a response; zero if unknown.
	TextBytes int `json:",omitempty"`
	// Events is the number of events of the text; zero in the records of earlier builds.
	Events int `json:",omitempty"`
	// By is the instance that wrote the text and caches it.
	By model.InstanceID `json:",omitempty"`
	// Versions are the distinct weight versions that generated events of the text.
	Versions []model.WeightVersion
	// Score is the signature that the scoring server put in its response. The call began after the text was complete.
	Score string `json:",omitempty"`
}

// Ref returns the reference of the result's item.
func (r *Result) Ref() ItemRef { return ItemRef{r.Submission, r.Item} }

// Progress is a checkpoint of an item's partial text. It is written when the instance leaves or when a run takes long, and
// the next run of the item resumes after it.
type Progress struct {
	Submission SubmissionID
	Item       ItemID
	// Events are the data of the events, beginning with the first; Count is their number. They aren't part of the record;
	// Data locates them.
	Events   []string `json:"-"`
	Count    int
	Data     Pointer
	By       model.InstanceID
	Versions []model.WeightVersion
	// SoftwareVersion is that of the engines that generated the events; empty if it is unknown.
	SoftwareVersion model.SoftwareVersion `json:",omitempty"`
}

// Entry is the content of one log record or, if it is too large for one, of several consecutive ones (see EncodeEntry).
// Exactly one field is set.
type Entry struct {
	Submission *Submission `json:",omitempty"`
	Result     *Result     `json:",omitempty"`
	Progress   *Progress   `json:",omitempty"`
	// Unscored is a complete text that waits for its score. It has no position in the results yet.
	Unscored *Result `json:",omitempty"`
	End      *End    `json:",omitempty"`
	// Stream may be in any partition; it belongs to no submission.
	Stream *StreamOrigin `json:",omitempty"`
}

// SubmissionID returns the id of the submission that the entry belongs to; ok is false for an entry without one.
func (e Entry) SubmissionID() (id SubmissionID, ok bool) {
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

// Text returns the entry's text, either a string or a list of events; nil for none.
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

// RawTextBytes returns the unencoded size of the entry's text. Result.TextBytes is the JSON-encoded size.
func (e Entry) RawTextBytes() int {
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

// End is the record that the caller wants no more results of the submission.
type End struct {
	Submission SubmissionID
}

// Settings configures the scheduler.
type Settings struct {
	// FirstEventTimeout cancels a run without a first event. Engines admit a request within one iteration of their batch,
	// some ms, unless they are full or load weights. They admit none during a load, which lasts about one second.
	FirstEventTimeout time.Duration
	// StallTimeout cancels a run without a further event. A run gets an event every 40 to 65 ms, or every 150 ms on a
	// slow engine.
	StallTimeout time.Duration
	// SilenceTimeout cancels all runs on an engine if none of them had an event. It applies to engines whose gateway is this
	// instance (see delegation.go). The intervals of undisturbed engines are 50 to 65 ms; the timeout has to exceed 0.5 s, the
	// longest time for which running requests get no event while an engine loads weights or has run out of memory.
	SilenceTimeout time.Duration
	// LoadingBackoff is how long no item of a model is sent to an engine that refused one. A load lasts about one second,
	// and other engines are tried in that time.
	LoadingBackoff time.Duration
	// FailureBackoff is how long an engine gets no new run after a run on it got no response. If the engine emits no
	// events at all, it doubles each time until the engine emits an event, up to MaxFailureBackoff.
	FailureBackoff    time.Duration
	MaxFailureBackoff time.Duration
	// RetryDelay is the delay before an item is started again, so that a failing item isn't retried in a busy loop.
	RetryDelay time.Duration
	// SlowFactor is the multiple of the median event interval above which an engine counts as slow.
	SlowFactor float64
	// UnevenEngines places items by their expected finish, lets runs move to engines on which they end much earlier, and
	// shares slots between submissions. Without it engines are ranked by their classes and the oldest submission
	// comes first.
	UnevenEngines bool
	// Placement selects the engines instead of jujubeplacement.ByFinish, for measurements; nil for none.
	Placement jujubeplacement.Policy
	// CheckpointAfter is how long an item runs before its first checkpoint, and the minimum time between two of them.
	CheckpointAfter time.Duration
	// EndedRetention is how long an ended submission stays readable.
	EndedRetention time.Duration
	// OpenRetention is the time from the reading of a submission's record after which a submission that wasn't ended is
	// deleted. The log keeps its records for at most 300 s.
	OpenRetention time.Duration
	// PromptPolicy decides among the engines that are equally suitable for an item whose prompt is known.
	PromptPolicy jujubeprompt.Policy
	// PromptRetention is how long after its last use by this instance an engine is assumed to keep a part of a prompt.
	PromptRetention time.Duration
}

// DefaultSettings returns the settings for engines with an event interval of about 50 ms.
func DefaultSettings() Settings {
	return Settings{
		FirstEventTimeout: 1500 * time.Millisecond, StallTimeout: time.Second, SilenceTimeout: 700 * time.Millisecond,
		LoadingBackoff: 250 * time.Millisecond, FailureBackoff: time.Second, MaxFailureBackoff: 4 * time.Second, RetryDelay: 30 * time.Millisecond, SlowFactor: 2, UnevenEngines: true,
		CheckpointAfter: time.Second, EndedRetention: 130 * time.Second, OpenRetention: 280 * time.Second,
		PromptPolicy: jujubeprompt.LeastCost{}, PromptRetention: 20 * time.Second,
	}
}
