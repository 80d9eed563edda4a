package jujubecore

import (
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubeclaim"
	"jujubepier.example/core/services/jujubeconfig"
)

// Event is an input that the adapters pass to the Core. Traces name events by their type names, so types and fields keep their
// names.
type Event interface{ isEvent() }

type event struct{}

func (event) isEvent() {}

// InstancesListed carries the result of reading the platform's instance list.
type InstancesListed struct {
	event
	List model.InstanceList
}

// LoadReported carries an endpoint's load report.
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

// EndpointDrained says that an operator has started or ended the drain of an endpoint. A drained endpoint gets no new work.
type EndpointDrained struct {
	event
	Endpoint model.EndpointID
	// Ended is true when the drain has ended and the endpoint may be used again.
	Ended bool
}

// RequestArrived requests an endpoint for one attempt of a caller's request. It is answered by RouteDecided, immediately or
// when the request has left the queue.
type RequestArrived struct {
	event
	// ID is unique for each attempt among all callers of this instance.
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
	// Exclude lists the endpoints on which earlier attempts failed.
	Exclude []model.EndpointID
	// Retry is true when an earlier attempt was dispatched; this attempt is then charged to the retry budget.
	Retry bool
}

// RequestEnded reports how a dispatched request ended.
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

// RequestCancelled says that the caller has disconnected from a waiting request.
type RequestCancelled struct {
	event
	ID model.RequestID
}

// SuspectAsked is another instance's request to this one, the coordinator, for an endpoint for a suspect request. It is answered
// by SuspectAnswered.
type SuspectAsked struct {
	event
	// Attempt identifies the attempt among all instances, so that a repeated SuspectAsked gets the same answer.
	Attempt     string
	Fingerprint model.Fingerprint
	Model       model.ModelName
	Service     model.ServiceName
	Kind        model.EndpointKind
	Exclude     []model.EndpointID
	// Until is when the grant expires.
	Until time.Time
	// Known carries the crash records of the asking instance, because gossip may not have delivered them yet.
	Known []model.Rumour
}

// SuspectGranted carries the coordinator's answer to AskSuspect.
type SuspectGranted struct {
	event
	ID model.RequestID
	SuspectAnswered
}

// SuspectReleased tells the coordinator that a suspect request has ended.
type SuspectReleased struct {
	event
	Fingerprint model.Fingerprint
	Endpoint    model.EndpointID
	Completed   bool
	// Known carries the crash records of the releasing instance: the release may arrive before the gossip about them, and the
	// coordinator must not grant the content again after its second crash.
	Known []model.Rumour
}

// QuarantineLifted says that an operator has lifted the quarantine of a fingerprint.
type QuarantineLifted struct {
	event
	Fingerprint model.Fingerprint
}

// PartSubmitted carries a trainer's step part. It is answered by PartAnswered.
type PartSubmitted struct {
	event
	Part model.StepPart
	// Held lists the streams of an earlier attempt that engines still hold.
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

// StreamEnded reports how a stream of a step part ended.
type StreamEnded struct {
	event
	Stream model.StreamID
	// OK is true when the engine completed the stream; Tokens is then its length.
	OK     bool
	Tokens int
	// Code is the engine's error code when it refused the stream.
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

// VersionAnnounced says that the weight store has a new version of a model.
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

// ConfigRead carries the result of reading the configuration stream.
type ConfigRead struct {
	event
	Read model.LogRead
}

// ConfigReceived carries the configuration of another instance.
type ConfigReceived struct {
	event
	State jujubeconfig.State
}

// LeaseRead carries the result of reading the lease stream.
type LeaseRead struct {
	event
	Read model.LogRead
}

// AppendFailed says that the append of a lease record failed or was not answered.
type AppendFailed struct{ event }

// LogReached reports whether the log is available. Away is true when it isn't.
type LogReached struct {
	event
	Away bool
}

// PeerReceived carries a gossip message from another entry instance. It is answered by PeerReply.
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

// KeyPresented carries the idempotency key of a non-idempotent request. It is answered by KeyDecided.
type KeyPresented struct {
	event
	Key  model.IdempotencyKey
	Body model.Fingerprint
}

// KeyFinished carries the outcome of a non-idempotent request whose KeyDecided was to run it.
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

// LeaveRequested starts the graceful shutdown of this instance.
type LeaveRequested struct{ event }
