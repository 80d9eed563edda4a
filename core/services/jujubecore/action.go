package jujubecore

import (
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubeclaim"
	"jujubepier.example/core/services/jujuberouter"
	"jujubepier.example/core/services/jujubestep"
)

// Action is an operation that an adapter must perform, or the response to an event. Traces name actions by their type names,
// so types and fields keep their names.
type Action interface{ isAction() }

type action struct{}

func (action) isAction() {}

// RouteDecided answers RequestArrived. A decision of kind Wait is followed by another decision for the same request.
type RouteDecided struct {
	action
	Decision jujuberouter.Decision
}

// AbortRequest cancels a running attempt of a caller's request, which is then retried on another endpoint.
type AbortRequest struct {
	action
	ID model.RequestID
}

// AskSuspect asks the coordinator (Steward) for an endpoint for a suspect request. It is answered by SuspectGranted.
type AskSuspect struct {
	action
	ID      model.RequestID
	Steward model.Member
	Ask     SuspectAsked
}

// SuspectAnswered answers SuspectAsked.
type SuspectAnswered struct {
	action
	OK         bool
	Endpoint   model.EndpointID
	RetryAfter time.Duration
}

// ReleaseSuspect notifies the coordinator (Steward) that a granted request has ended.
type ReleaseSuspect struct {
	action
	Steward model.Member
	Release SuspectReleased
}

// RunStream starts a stream of a step part on an engine, or with Resume reads one that the engine already runs.
type RunStream struct {
	action
	Stream    model.StreamID
	Model     model.ModelName
	Prompt    string
	MaxTokens int
	Endpoint  model.EndpointID
	Address   string
	Deadline  time.Time
	Resume    bool
	Decision  jujuberouter.Decision
}

// StopStream cancels a stream, or stops reading it.
type StopStream struct {
	action
	Stream  model.StreamID
	Address string
	Cause   string
	// Detach stops the reading only; the stream continues to run on the engine.
	Detach bool
}

// ScoreSample sends the text of a finished stream to a scorer.
type ScoreSample struct {
	action
	Stream model.StreamID
	Scorer model.ServiceName
	Prompt string
}

// ForgetStream discards the buffered text of a stream.
type ForgetStream struct {
	action
	Stream model.StreamID
}

// SampleDiscarded reports generated tokens that won't be delivered.
type SampleDiscarded struct {
	action
	Stream model.StreamID
	Cause  string
	Tokens int
}

// PartAnswered answers PartSubmitted.
type PartAnswered struct {
	action
	Accepted model.StepAccepted
	Err      error
}

// PullAnswered answers PartPulled.
type PullAnswered struct {
	action
	Delivery jujubestep.Delivery
	Err      error
}

// SendOrder sends an order, to load a weight version, to an engine.
type SendOrder struct {
	action
	Order   model.Order
	Address string
}

// AppendLease appends a record to the lease stream.
type AppendLease struct {
	action
	Record model.LeaseRecord
}

// AppendConfig appends a checkpoint to the configuration stream.
type AppendConfig struct {
	action
	Record model.ConfigRecord
}

// FetchConfig fetches the configuration from another instance.
type FetchConfig struct {
	action
	From model.Member
}

// ConfigApplied reports that a revision was put in force on this instance, or couldn't be.
type ConfigApplied struct {
	action
	Revision int64
	Digest   string
	// Err is set when the accepted document couldn't be parsed; the previous revision stays in force.
	Err error
}

// SendPeer sends a gossip message to another entry instance.
type SendPeer struct {
	action
	To      model.InstanceID
	Address string
	Message model.PeerMessage
}

// PeerReply answers PeerReceived.
type PeerReply struct {
	action
	Message model.PeerMessage
}

// KeyDecided answers KeyPresented.
type KeyDecided struct {
	action
	Decision jujubeclaim.Decision
	// Owner is the instance to forward the request to; set only for the decision Forward.
	Owner model.Member
}
