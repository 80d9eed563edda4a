package jujubecore

import (
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubeclaim"
	"jujubepier.example/core/services/jujuberouter"
	"jujubepier.example/core/services/jujubestep"
)

// Action is something that an adapter has to do, or the answer to an event.
type Action interface{ isAction() }

type action struct{}

func (action) isAction() {}

// RouteDecided answers RequestArrived. A decision of kind Wait is followed by another one for the same request.
type RouteDecided struct {
	action
	Decision jujuberouter.Decision
}

// AbortRequest ends a running attempt of a caller's request, which then tries another endpoint.
type AbortRequest struct {
	action
	ID model.RequestID
}

// AskSuspect asks the steward for an endpoint on which a suspect request may run. It is answered by SuspectGranted.
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

// ReleaseSuspect tells the steward that a granted request has ended.
type ReleaseSuspect struct {
	action
	Steward model.Member
	Release SuspectReleased
}

// RunStream starts a stream of a step part on an engine.
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

// StopStream cancels a stream.
type StopStream struct {
	action
	Stream  model.StreamID
	Address string
	Cause   string
	// Detach leaves the stream running on the engine.
	Detach bool
}

// ScoreSample has the text of a finished stream scored.
type ScoreSample struct {
	action
	Stream model.StreamID
	Scorer model.ServiceName
	Prompt string
}

// ForgetStream drops the text of a stream.
type ForgetStream struct {
	action
	Stream model.StreamID
}

// SampleDiscarded reports generated tokens that are not delivered.
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

// SendOrder gives an engine an order.
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

// FetchConfig reads the configuration of another instance.
type FetchConfig struct {
	action
	From model.Member
}

// ConfigApplied says that a revision is in force on this instance.
type ConfigApplied struct {
	action
	Revision int64
	Digest   string
	// Err is set when the accepted document can't be used; the revision in force stays.
	Err error
}

// SendPeer sends a message to another entry instance.
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
	// Owner is set when the request has to be forwarded.
	Owner model.Member
}
