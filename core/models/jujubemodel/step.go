package jujubemodel

import "strconv"

// PartKey names a step part.
type PartKey struct {
	Trainer TrainerID
	Step    int64
	Part    int
}

// String returns the prefix of the part's stream ids, trainer/step/part.
func (k PartKey) String() string {
	return string(k.Trainer) + "/" + strconv.FormatInt(k.Step, 10) + "/" + strconv.Itoa(k.Part)
}

// StepPart is the body of POST /v1/steps: a trainer's request for the samples of some groups.
type StepPart struct {
	Key PartKey
	// Attempt is the fencing token: each submission of the same part has a higher one.
	Attempt int64
	// Version is the trainer's current weight version.
	Version   WeightVersion
	Groups    []GroupRequest
	MaxTokens int
	// Timeout is the time after which the trainer has no more use for the samples.
	Timeout Duration
	// Resubmitted is true when an earlier attempt was sent to any instance; engines may still hold its streams.
	Resubmitted bool `json:",omitempty"`
}

// GroupRequest requests a group of samples of one prompt.
type GroupRequest struct {
	Group   int
	Prompt  string
	Samples int
}

// StepAccepted is the response to a StepPart.
type StepAccepted struct {
	Key     PartKey
	Attempt int64
	// Resumed counts the streams of earlier attempts that engines still held and that are continued.
	Resumed int
}

// Pull is the body of POST /v1/steps/pull: a request for finished groups.
type Pull struct {
	Key     PartKey
	Attempt int64
	// Cursor is the number of groups of this attempt that the trainer has received. It acknowledges them.
	Cursor int
	// Version is the trainer's current weight version.
	Version WeightVersion
	// Wait is how long the instance may hold the request while no group is finished.
	Wait Duration
	// MaxGroups limits the number of groups in the response; zero means no limit.
	MaxGroups int
}

// Pulled is the response to a Pull, with the groups at [Cursor, Cursor+len(Groups)).
type Pulled struct {
	Key     PartKey
	Attempt int64
	Cursor  int
	Groups  []Group
	// Failed lists the groups that failed permanently. Every response lists them; the cursor doesn't count them.
	Failed []FailedGroup `json:",omitempty"`
	// Remaining counts the groups that are neither delivered, nor failed, nor in this response. The part has ended when it
	// is zero and Groups is empty.
	Remaining int
}

// FailedGroup is a group that failed permanently and isn't retried.
type FailedGroup struct {
	Group int
	// Code is a refusal code, such as Quarantined.
	Code    string
	Message string
}

// Group is a complete group of samples.
type Group struct {
	Group   int
	Samples []Sample
}

// Sample is one generation with the weight versions that produced it.
type Sample struct {
	Index int
	// Stream is the generation that produced the sample.
	Stream StreamID
	Text   string
	Tokens int
	// Labels cover [0, Tokens) without gap or overlap. They are taken from the engine's chunks.
	Labels []Label
	// Scored is false when the trainer has no scorer.
	Scored bool
	Score  float64
}
