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

// InstancesListed contains the result of reading the platform's instance list.
type InstancesListed struct {
	event
	List model.InstanceList
}

// LoadReported contains an endpoint's load report.
type LoadReported struct {
	event
	Report model.LoadReport
}

// CacheReported contains an engine's cache events.
type CacheReported struct {
	event
	Endpoint model.EndpointID
	Events   []model.CacheEvent
}

// EndpointLost reports that an incarnation of an endpoint has ended: its address refuses connections or a process
// with a newer incarnation responds there. A broken connection alone is not enough.
type EndpointLost struct {
	event
	Endpoint    model.EndpointID
	Incarnation model.Incarnation
}

// EndpointDrained reports that an operator has started or ended the drain of an endpoint. A drained endpoint gets no new
// work.
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
	// SoftwareVersion is that of the endpoints that may continue a text; empty for a request without one.
	SoftwareVersion model.SoftwareVersion `json:",omitempty"`
	// Exclude lists the endpoints on which earlier attempts failed.
	Exclude []model.EndpointID
	// Retry is true when an earlier attempt was dispatched; this attempt is then charged to the retry budget.
	Retry bool
	// Owed is true for work of an accepted step. Its content is never blamed for a crash.
	Owed bool
}

// RequestEnded reports how a dispatched request ended.
type RequestEnded struct {
	event
	ID model.RequestID
	// OK is true when the endpoint gave a whole response.
	OK bool
	// Failed is true when the response isn't a success: it doesn't prove that the endpoint has run the content.
	Failed bool
	// Refused is true when the endpoint responded but didn't run the request.
	Refused bool
	// Broken is true when the connection was lost or the endpoint stopped responding.
	Broken bool
	Tokens int
	Load   *model.LoadReport
}

// RequestCancelled reports that the caller has disconnected from a waiting request.
type RequestCancelled struct {
	event
	ID model.RequestID
}

// SuspectAsked is another instance's request to this one, the coordinator, for an endpoint for a suspect request. It is answered
// by SuspectAnswered.
type SuspectAsked struct {
	event
	// Attempt identifies the attempt among all instances, so that a repeated SuspectAsked gets the same response.
	Attempt     string
	Fingerprint model.Fingerprint
	Model       model.ModelName
	Service     model.ServiceName
	Kind        model.EndpointKind
	// SoftwareVersion restricts the endpoints as in RequestArrived.
	SoftwareVersion model.SoftwareVersion `json:",omitempty"`
	Exclude         []model.EndpointID
	// Until is when the grant expires.
	Until time.Time
	// Known contains the crash records of the asking instance, because gossip may not have delivered them yet.
	Known []model.Rumour
}

// SuspectGranted contains the coordinator's response to AskSuspect.
type SuspectGranted struct {
	event
	ID model.RequestID
	SuspectAnswered
}

// SuspectReleased reports to the coordinator that a suspect request has ended.
type SuspectReleased struct {
	event
	Fingerprint model.Fingerprint
	Endpoint    model.EndpointID
	Completed   bool
	// Known contains the crash records of the releasing instance: the release may arrive before the gossip about them, and
	// the coordinator must not grant the content again after its second crash.
	Known []model.Rumour
}

// QuarantineLifted reports that an operator has lifted the quarantine of a fingerprint.
type QuarantineLifted struct {
	event
	Fingerprint model.Fingerprint
}

// PartSubmitted contains a trainer's step part. It is answered by PartAnswered.
type PartSubmitted struct {
	event
	Part model.StepPart
	// Held lists the streams of an earlier attempt that engines still hold.
	Held []StreamsHeld
}

// PartPulled contains a trainer's pull. It is answered by PullAnswered.
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
	// Broken is true when the connection was lost or the engine stopped responding.
	Broken     bool
	RetryAfter time.Duration
	Load       *model.LoadReport
}

// SampleScored contains a scorer's response.
type SampleScored struct {
	event
	Stream model.StreamID
	Score  float64
	Failed bool
}

// VersionAnnounced reports that the weight store has a new version of a model.
type VersionAnnounced struct {
	event
	Model   model.ModelName
	Version model.WeightVersion
}

// OrderAnswered contains an engine's response to an order.
type OrderAnswered struct {
	event
	Endpoint model.EndpointID
	Result   model.OrderResult
	// Refusal is the engine's own refusal; its code is empty when there was none.
	Refusal model.EngineError
	// Lost is true when there was no response, so that the order may have taken effect.
	Lost bool
}

// ConfigRead contains the result of reading the configuration stream.
type ConfigRead struct {
	event
	Read model.LogRead
}

// ConfigReceived contains the configuration of another instance.
type ConfigReceived struct {
	event
	State jujubeconfig.State
}

// LeaseRead contains the result of reading the lease stream.
type LeaseRead struct {
	event
	Read model.LogRead
}

// AppendFailed reports that the append of a lease record failed or got no response.
type AppendFailed struct{ event }

// LogReached reports whether the log is available. Away is true when it isn't.
type LogReached struct {
	event
	Away bool
}

// PeerReceived contains a gossip message from another entry instance. It is answered by PeerReply.
type PeerReceived struct {
	event
	Message model.PeerMessage
}

// PeerAnswered contains the response to a SendPeer.
type PeerAnswered struct {
	event
	Message model.PeerMessage
}

// PeerFailed reports that a SendPeer got no response.
type PeerFailed struct {
	event
	Instance model.InstanceID
}

// KeyPresented contains the idempotency key of a non-idempotent request. It is answered by KeyDecided.
type KeyPresented struct {
	event
	Key  model.IdempotencyKey
	Body model.Fingerprint
}

// KeyFinished contains the outcome of a non-idempotent request whose KeyDecided was to run it.
type KeyFinished struct {
	event
	Key     model.IdempotencyKey
	Outcome jujubeclaim.Outcome
}

// KeysImported contains the keys of an instance that has shut down.
type KeysImported struct {
	event
	From        model.InstanceID
	Incarnation model.Incarnation
	Entries     []jujubeclaim.Entry
}

// LeaveRequested starts the graceful shutdown of this instance.
type LeaveRequested struct{ event }
