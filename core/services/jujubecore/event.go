package jujubecore

import (
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubeclaim"
	"jujubepier.example/core/services/jujubeconfig"
)

// Event is something that the adapters learned. Each type is decoded from a trace by its name.
type Event interface{ isEvent() }

type event struct{}

func (event) isEvent() {}

// InstancesListed carries a read of the platform's instance list.
type InstancesListed struct {
	event
	List model.InstanceList
}

// LoadReported carries an endpoint's own report.
type LoadReported struct {
	event
	Report model.LoadReport
}

// CacheReported carries an engine's cache events.
type CacheReported struct {
	event
	Endpoint model.EndpointID
	Events   []model.CacheEvent
}

// EndpointLost says that an incarnation of an endpoint has ended: its address refuses connections or answers with a
// newer incarnation. A broken connection alone is not enough.
type EndpointLost struct {
	event
	Endpoint    model.EndpointID
	Incarnation model.Incarnation
}

// EndpointDrained says that an operator wants an endpoint to get no new work, or takes that back.
type EndpointDrained struct {
	event
	Endpoint model.EndpointID
	// Ended is true when the endpoint may be used again.
	Ended bool
}

// RequestArrived asks for an endpoint for one attempt of a caller's request. It is answered by RouteDecided, at once or
// later when the request has to wait.
type RequestArrived struct {
	event
	// ID is unique to the attempt, over all callers of this instance.
	ID          model.RequestID
	Kind        model.EndpointKind
	Model       model.ModelName
	Service     model.ServiceName
	Caller      model.CallerID
	Priority    model.Priority
	Deadline    time.Time
	Prefix      uint64
	Tokens      int
	Fingerprint model.Fingerprint
	// Exclude lists endpoints that an earlier attempt failed on.
	Exclude []model.EndpointID
	// Retry is true when an earlier attempt was dispatched; it is charged to the retry budget.
	Retry bool
}

// RequestEnded says how a dispatched request ended.
type RequestEnded struct {
	event
	ID model.RequestID
	OK bool
	// Refused is true when the endpoint answered but didn't run the request.
	Refused bool
	// Broken is true when the connection was lost or the endpoint stopped answering.
	Broken bool
	Tokens int
	Load   *model.LoadReport
}

// RequestCancelled says that the caller of a waiting request has gone.
type RequestCancelled struct {
	event
	ID model.RequestID
}

// SuspectAsked says that another instance wants to run a suspect request and asks this one, the steward.
type SuspectAsked struct {
	event
	// Attempt names the attempt over all instances, so that a repeated question gets the same answer.
	Attempt     string
	Fingerprint model.Fingerprint
	Model       model.ModelName
	Service     model.ServiceName
	Kind        model.EndpointKind
	Exclude     []model.EndpointID
	// Until bounds the grant.
	Until time.Time
	// Known carries what the asking instance knows of the crashes, because their rumours may not have come yet.
	Known []model.Rumour
}

// SuspectGranted carries the steward's answer to AskSuspect.
type SuspectGranted struct {
	event
	ID model.RequestID
	SuspectAnswered
}

// SuspectReleased tells the steward that a suspect request has ended.
type SuspectReleased struct {
	event
	Fingerprint model.Fingerprint
	Endpoint    model.EndpointID
	Completed   bool
	// Known carries what the releasing instance knows of the crashes: the release may come before their rumours, and the
	// steward must not grant the content again after its second crash.
	Known []model.Rumour
}

// QuarantineLifted says that an operator has cleared a fingerprint.
type QuarantineLifted struct {
	event
	Fingerprint model.Fingerprint
}

// PartSubmitted carries a trainer's step part. It is answered by PartAnswered.
type PartSubmitted struct {
	event
	Part model.StepPart
	// Held lists what engines hold of an earlier attempt.
	Held []StreamsHeld
}

// PartPulled carries a trainer's pull. It is answered by PullAnswered.
type PartPulled struct {
	event
	Pull model.Pull
}

// StreamsHeld lists the streams of a step part that an engine holds from an earlier attempt.
type StreamsHeld struct {
	event
	Endpoint model.EndpointID
	Streams  []model.EngineStream
}

// StreamProgressed reports the tokens [From, To) of a stream and the version that produced them.
type StreamProgressed struct {
	event
	Stream  model.StreamID
	From    int
	To      int
	Version model.WeightVersion
}

// StreamEnded says how a stream of a step part ended.
type StreamEnded struct {
	event
	Stream model.StreamID
	// OK is true when the engine ended the stream by itself; Tokens is then its length.
	OK     bool
	Tokens int
	// Code is the engine's code when it refused the stream.
	Code string
	// Broken is true when the connection was lost or the engine stopped answering.
	Broken     bool
	RetryAfter time.Duration
	Load       *model.LoadReport
}

// SampleScored carries a scorer's answer.
type SampleScored struct {
	event
	Stream model.StreamID
	Score  float64
	Failed bool
}

// VersionAnnounced says that a model has new weights in the store.
type VersionAnnounced struct {
	event
	Model   model.ModelName
	Version model.WeightVersion
}

// OrderAnswered carries an engine's answer to an order.
type OrderAnswered struct {
	event
	Endpoint model.EndpointID
	Result   model.OrderResult
	// Refusal is the engine's own refusal; its code is empty when there was none.
	Refusal model.EngineError
	// Lost is true when no answer came, so that the order may have taken effect.
	Lost bool
}

// ConfigRead carries a read of the configuration stream.
type ConfigRead struct {
	event
	Read model.LogRead
}

// ConfigReceived carries the configuration of another instance.
type ConfigReceived struct {
	event
	State jujubeconfig.State
}

// LeaseRead carries a read of the lease stream.
type LeaseRead struct {
	event
	Read model.LogRead
}

// AppendFailed says that the append of a lease record failed or got no answer.
type AppendFailed struct{ event }

// LogReached says whether the log answers.
type LogReached struct {
	event
	Away bool
}

// PeerReceived carries a message from another entry instance. It is answered by PeerReply.
type PeerReceived struct {
	event
	Message model.PeerMessage
}

// PeerAnswered carries the answer to a SendPeer.
type PeerAnswered struct {
	event
	Message model.PeerMessage
}

// PeerFailed says that a SendPeer got no answer.
type PeerFailed struct {
	event
	Instance model.InstanceID
}

// KeyPresented asks what to do with a non-idempotent request. It is answered by KeyDecided.
type KeyPresented struct {
	event
	Key  model.IdempotencyKey
	Body model.Fingerprint
}

// KeyFinished carries the outcome of a non-idempotent request that KeyDecided told to run.
type KeyFinished struct {
	event
	Key     model.IdempotencyKey
	Outcome jujubeclaim.Outcome
}

// KeysImported carries the keys of an instance that has shut down.
type KeysImported struct {
	event
	From        model.InstanceID
	Incarnation model.Incarnation
	Entries     []jujubeclaim.Entry
}

// LeaveRequested begins the graceful shutdown of this instance.
type LeaveRequested struct{ event }
