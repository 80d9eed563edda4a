package jujubestep

import (
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

// Action is what Tick asks of the adapter. Actions are carried out in the order in which Tick returns them.
type Action interface{ isAction() }

// StartStream asks for a generation. Without Resume the stream id was never started before.
type StartStream struct {
	Stream    model.StreamID
	Part      model.PartKey
	Group     int
	Index     int
	Model     model.ModelName
	Prompt    string
	MaxTokens int
	Deadline  time.Time
	// MinVersion is the lowest weight version an engine may serve: samples of older weights can't be delivered.
	MinVersion model.WeightVersion
	// PreferVersion is MinVersion plus a margin of one version, so that the sample survives the trainer's next step.
	// Engines between the two are used when no other has room, or with InsistVersion when no other qualifies.
	PreferVersion model.WeightVersion
	// InsistVersion is true when the trainer's next step is expected to come before the sample is taken, so that it is
	// better to wait for an engine with PreferVersion than to start on an older one.
	InsistVersion bool
	// Avoid names engines that failed the sample or run its first stream; they are used when no other qualifies.
	Avoid []model.EndpointID
	// Resume continues a stream that Endpoint holds, from token 0, so that all labels are reported again.
	Resume   bool
	Endpoint model.EndpointID
}

// CancelStream ends the reading of a stream.
type CancelStream struct {
	Stream model.StreamID
	// Endpoint is empty when it isn't known which engine runs the stream.
	Endpoint model.EndpointID
	Cause    Cause
	// Detach leaves the stream running on the engine, because the new owner of the part may have resumed it.
	Detach bool
}

// ScoreSample asks the scorer for the score of a finished stream.
type ScoreSample struct {
	Stream model.StreamID
	Scorer model.ServiceName
	Prompt string
}

// ForgetStream says that the text of a stream isn't needed any more.
type ForgetStream struct{ Stream model.StreamID }

// Discarded reports generated tokens that will never be delivered.
type Discarded struct {
	Stream model.StreamID
	Cause  Cause
	Tokens int
}

func (StartStream) isAction()  {}
func (CancelStream) isAction() {}
func (ScoreSample) isAction()  {}
func (ForgetStream) isAction() {}
func (Discarded) isAction()    {}

// Cause tells why a stream was cancelled or discarded.
type Cause string

// Causes of discards.
const (
	// CauseStale: a label is older than the trainer's version minus the bound.
	CauseStale Cause = "Stale"
	// CauseUnlabelled: the engine reported tokens without a version, or no tokens at all.
	CauseUnlabelled Cause = "Unlabelled"
	// CauseLabelGap: the reported ranges don't cover the stream.
	CauseLabelGap Cause = "LabelGap"
	// CauseLabelOverlap: a token was reported twice in different ranges or with different versions.
	CauseLabelOverlap Cause = "LabelOverlap"
	// CauseSuperseded: a higher attempt replaced the part.
	CauseSuperseded Cause = "Superseded"
	// CauseExpired: the part's deadline passed.
	CauseExpired Cause = "Expired"
	// CauseLoserOfSecondRun: another stream of the same sample finished first.
	CauseLoserOfSecondRun Cause = "LoserOfSecondRun"
	// CauseGroupFailed: the group can't be completed.
	CauseGroupFailed Cause = "GroupFailed"
	// CauseLost: the stream broke off.
	CauseLost Cause = "Lost"
	// CauseFailed: the engine ended the stream with an error.
	CauseFailed Cause = "Failed"
	// CauseRefused: the stream was never run.
	CauseRefused Cause = "Refused"
)

// EndKind tells how a stream ended.
type EndKind string

// Kinds of ends.
const (
	EndFinished EndKind = "Finished"
	// EndLost: the connection broke; the engine may still run the stream.
	EndLost    EndKind = "Lost"
	EndRefused EndKind = "Refused"
	EndFailed  EndKind = "Failed"
)

// StreamEnd is the end of a stream.
type StreamEnd struct {
	Kind EndKind
	// Tokens is the length that the engine gave; used with EndFinished only.
	Tokens int
	// Code is one of the codes of jujubeerror, for EndRefused and EndFailed. Quarantined ends the group.
	Code    string
	Message string
	// RetryAfter is the earliest time for the next try; the retry delay applies as well.
	RetryAfter time.Duration
}

// Delivery answers a pull. The adapter fills in the texts by stream id; all slices belong to the caller.
type Delivery struct{ model.Pulled }
