package jujubemodel

import "time"

// Status is the response to GET /v1/status on the operator listener of an entry instance.
type Status struct {
	Instance    InstanceID
	Incarnation Incarnation
	DataCentre  DataCentre
	Ready       bool
	Leaving     bool
	// LeavingUntil is the time by which every response to GET /v1/addresses that contains the instance has expired; zero
	// unless the instance is leaving.
	LeavingUntil time.Time `json:",omitzero"`
	Members      []Member
	Endpoints    []EndpointStatus
	Config       ConfigStatus
	Rollouts     []RolloutStatus
	Parts        []PartStatus
	Quarantine   []QuarantineStatus
	Lease        LeaseStatus
	LogAvailable bool
}

// EndpointState determines whether an endpoint receives new work.
type EndpointState string

// States of endpoints.
const (
	EndpointServing EndpointState = "Serving"
	// EndpointLeaving is also the state of a drained endpoint.
	EndpointLeaving EndpointState = "Leaving"
	// EndpointLost is the state of an endpoint that is no longer in the instance list, or whose process has ended.
	EndpointLost EndpointState = "Lost"
)

// EndpointStatus is an endpoint as seen by one entry instance.
type EndpointStatus struct {
	Endpoint Endpoint
	Load     LoadReport
	// InFlight counts only this instance's requests on the endpoint.
	InFlight int
	// Watched is true for the subset of endpoints that this instance normally dispatches to.
	Watched bool
	State   EndpointState
}

// ConfigStatus identifies the configuration in force on one entry instance.
type ConfigStatus struct {
	// Known is true once the instance has applied a revision.
	Known    bool
	Revision int64
	// Through is the offset of the last applied record of the configuration stream.
	Through int64
	// Digest is the digest of the applied document.
	Digest string
	// InForceAt is when this instance applied the revision, by its own clock.
	InForceAt time.Time `json:",omitzero"`
}

// RolloutStatus is the progress of the weight rollout of one model.
type RolloutStatus struct {
	Model  ModelName
	Target WeightVersion
	// Engines is the number of the model's engines. Current of them have the target version or a later one, Swapping are
	// changing their version, and Failed have an older version after a failed order.
	Engines  int
	Current  int
	Swapping int
	Failed   int
}

// PartStatus is the progress of a step part, which is some groups of a trainer's step (see StepPart).
type PartStatus struct {
	Key PartKey
	// Attempt is the fencing token of the part: each submission of it has a higher one.
	Attempt int64
	// Groups is the number of groups, Delivered the number of those delivered to the trainer, confirmed or not.
	Groups    int
	Delivered int
	// Running is the number of streams that are starting or running.
	Running int
	// Discarded counts the discarded streams by cause.
	Discarded map[string]int
}

// QuarantineStatus is the state of the fingerprint of requests that crashed endpoints.
type QuarantineStatus struct {
	Fingerprint Fingerprint
	// State is Suspect or Quarantined.
	State   string
	Crashes []ProcessID
	// Until is when the state expires.
	Until time.Time
}

// LeaseStatus identifies the leader of the weight rollout.
type LeaseStatus struct {
	Holder InstanceID
	// Fence is the highest fencing token that the instance has a record of.
	Fence int64
	// Held is true if the responding instance leads the rollout.
	Held bool
}

// DrainRequest is the body of POST /v1/drain. The endpoint receives no new work from any entry instance until a request
// with Ended set.
type DrainRequest struct {
	Endpoint EndpointID
	Ended    bool `json:",omitempty"`
}

// LiftRequest is the body of POST /v1/quarantine/lift.
type LiftRequest struct {
	Fingerprint Fingerprint
}

// LogLevelRequest is the body of PUT /v1/log-level.
type LogLevelRequest struct {
	Level string
}
