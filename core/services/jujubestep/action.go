package jujubestep

import (
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

// Action is a side effect that Tick requests. The caller executes actions in the order in which Tick returns them.
type Action interface{ isAction() }

// StartStream starts a generation, or continues one if Resume is set. Without Resume, the stream id has never been started
// before.
type StartStream struct {
	Stream    model.StreamID
	Part      model.PartKey
	Group     int
	Index     int
	Model     model.ModelName
	Prompt    string
	MaxTokens int
	Deadline  time.Time
	// MinVersion is the lowest weight version an engine may serve: samples generated with older weights can't be delivered.
	MinVersion model.WeightVersion
	// PreferVersion is one version above MinVersion, so that the sample is still deliverable after the trainer's next step.
	// Engines with a version between the two are used when no other has capacity, or, with RequirePreferred, when no other
	// qualifies.
	PreferVersion model.WeightVersion
	// RequirePreferred is true when the trainer's next step is expected before the sample is delivered. Waiting for an engine
	// with PreferVersion is then better than starting on an older one.
	RequirePreferred bool
	// Avoid lists engines that failed the sample or run its first stream; they are used only when no other qualifies.
	Avoid []model.EndpointID
	// Resume continues a stream that Endpoint holds. It is read from token 0, so that all labels are reported again.
	Resume   bool
	Endpoint model.EndpointID
}

// CancelStream stops reading a stream and, unless Detach is set, cancels it on the engine.
type CancelStream struct {
	Stream model.StreamID
	// Endpoint is empty when the engine that runs the stream is unknown.
	Endpoint model.EndpointID
	Cause    Cause
	// Detach leaves the stream running on the engine, because the new owner of the part may have resumed it.
	Detach bool
}

// ScoreSample requests the score of a finished stream.
type ScoreSample struct {
	Stream model.StreamID
	Scorer model.ServiceName
	Prompt string
}

// ForgetStream releases the text of a stream that is no longer needed.
type ForgetStream struct{ Stream model.StreamID }

// ReportDiscarded reports generated tokens that will never be delivered.
type ReportDiscarded struct {
	Stream model.StreamID
	Cause  Cause
	Tokens int
}

func (StartStream) isAction()     {}
func (CancelStream) isAction()    {}
func (ScoreSample) isAction()     {}
func (ForgetStream) isAction()    {}
func (ReportDiscarded) isAction() {}

// Cause is the reason why a stream was cancelled or discarded.
type Cause string

// Causes of discards and cancellations.
const (
	// CauseStale: the stream has a label older than the trainer's version minus the staleness bound.
	CauseStale Cause = "Stale"
	// CauseUnlabelled: the engine reported tokens without a version, or no tokens at all.
	CauseUnlabelled Cause = "Unlabelled"
	// CauseLabelGap: the reported token ranges don't cover the whole stream.
	CauseLabelGap Cause = "LabelGap"
	// CauseLabelOverlap: a token was reported twice, in different ranges or with different versions.
	CauseLabelOverlap Cause = "LabelOverlap"
	// CauseSuperseded: a higher attempt replaced the part.
	CauseSuperseded Cause = "Superseded"
	// CauseExpired: the part's deadline passed.
	CauseExpired Cause = "Expired"
	// CauseLostHedge: another stream of the same sample finished first (see HedgeShare).
	CauseLostHedge Cause = "LoserOfSecondRun"
	// CauseGroupFailed: the sample's group can't be completed.
	CauseGroupFailed Cause = "GroupFailed"
	// CauseLost: the connection to the stream broke, or the stream stalled.
	CauseLost Cause = "Lost"
	// CauseFailed: the engine ended the stream with an error.
	CauseFailed Cause = "Failed"
	// CauseRefused: the engine refused the stream without running it, or the request is quarantined.
	CauseRefused Cause = "Refused"
)

// EndKind is the way in which a stream ended.
type EndKind string

// Kinds of stream ends.
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
	// Tokens is the total length that the engine reported; only used with EndFinished.
	Tokens int
	// Code is one of the codes of jujubeerror, for EndRefused and EndFailed. Quarantined fails the whole group.
	Code    string
	Message string
	// RetryAfter is the minimum delay before the next try; the retry backoff applies as well.
	RetryAfter time.Duration
}

// Delivery is the response to a pull. The caller fills in the texts by stream id; it owns all slices.
type Delivery struct{ model.Pulled }
