package jujubemodel

import "strconv"

// PartKey names a step part.
type PartKey struct {
	Trainer TrainerID
	Step    int64
	Part    int
}

// String gives the prefix of the part's stream ids.
func (k PartKey) String() string {
	return string(k.Trainer) + "/" + strconv.FormatInt(k.Step, 10) + "/" + strconv.Itoa(k.Part)
}

// StepPart is a trainer's request for the samples of some groups (POST /v1/steps).
type StepPart struct {
	Key PartKey
	// Attempt is the fencing number: each submit of the same part has a higher one.
	Attempt int64
	// Version is the trainer's own weight version.
	Version   WeightVersion
	Groups    []GroupRequest
	MaxTokens int
	// Timeout is the time until the samples are of no more use.
	Timeout Duration
	// Resubmitted is true when an earlier attempt was sent to any instance: engines may still hold its streams.
	Resubmitted bool `json:",omitempty"`
}

// GroupRequest asks for a group of samples of one prompt.
type GroupRequest struct {
	Group   int
	Prompt  string
	Samples int
}

// StepAccepted answers a StepPart.
type StepAccepted struct {
	Key     PartKey
	Attempt int64
	// Resumed counts the streams that were taken over from engines.
	Resumed int
}

// Pull asks for finished groups (POST /v1/steps/pull).
type Pull struct {
	Key     PartKey
	Attempt int64
	// Cursor is how many groups of this attempt the trainer has taken. It confirms them.
	Cursor int
	// Version is the trainer's own weight version now.
	Version WeightVersion
	// Wait bounds the time until an answer without groups.
	Wait Duration
	// MaxGroups bounds the answer; zero means no bound.
	MaxGroups int
}

// Pulled answers a Pull with the groups at [Cursor, Cursor+len(Groups)).
type Pulled struct {
	Key     PartKey
	Attempt int64
	Cursor  int
	Groups  []Group
	// Failed lists the groups that were given up on. They are listed in each answer and are not part of the cursor.
	Failed []FailedGroup `json:",omitempty"`
	// Remaining counts the groups that are neither delivered, nor failed, nor in this answer. Zero with no groups ends
	// the part.
	Remaining int
}

// FailedGroup is a group that was given up on for good.
type FailedGroup struct {
	Group int
	// Code is a code of a refusal, such as Quarantined.
	Code    string
	Message string
}

// Group is a whole group of samples.
type Group struct {
	Group   int
	Samples []Sample
}

// Sample is one labelled generation.
type Sample struct {
	Index int
	// Stream is the generation that produced the sample.
	Stream StreamID
	Text   string
	Tokens int
	// Labels cover [0, Tokens) without gap or overlap, from what the engine reported.
	Labels []Label
	// Scored is false when the trainer has no scorer.
	Scored bool
	Score  float64
}
