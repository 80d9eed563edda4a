package jujubemodel

import "time"

// Status answers GET /v1/status on the operators' listener of an entry instance.
type Status struct {
	Instance    InstanceID
	Incarnation Incarnation
	DataCentre  DataCentre
	Ready       bool
	Leaving     bool
	// LeavingUntil is when the last address answer that names the instance runs out.
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

// EndpointState tells whether an endpoint gets new work.
type EndpointState string

// States of endpoints.
const (
	EndpointServing EndpointState = "Serving"
	// EndpointLeaving holds for a drained endpoint too.
	EndpointLeaving EndpointState = "Leaving"
	// EndpointLost is one that the list no longer names, or whose process has ended.
	EndpointLost EndpointState = "Lost"
)

// EndpointStatus is how one entry instance sees an endpoint.
type EndpointStatus struct {
	Endpoint Endpoint
	Load     LoadReport
	// InFlight counts this instance's own requests on the endpoint.
	InFlight int
	Watched  bool
	State    EndpointState
}

// ConfigStatus tells which configuration is in force on one entry instance.
type ConfigStatus struct {
	Known    bool
	Revision int64
	Through  int64
	Digest   string
	// InForceAt is this instance's time when it put the revision in force.
	InForceAt time.Time `json:",omitzero"`
}

// RolloutStatus is the progress of new weights of one model.
type RolloutStatus struct {
	Model    ModelName
	Target   WeightVersion
	Engines  int
	Current  int
	Swapping int
	Failed   int
}

// PartStatus is a step part in progress.
type PartStatus struct {
	Key       PartKey
	Attempt   int64
	Groups    int
	Delivered int
	Running   int
	Discarded map[string]int
}

// QuarantineStatus is one fingerprint that crashed endpoints.
type QuarantineStatus struct {
	Fingerprint Fingerprint
	State       string
	Crashes     []CrashID
	Until       time.Time
}

// LeaseStatus tells who leads the weight rollout.
type LeaseStatus struct {
	Holder InstanceID
	Fence  int64
	Held   bool
}

// DrainRequest is the body of POST /v1/drain: the endpoint gets no new work from any entry instance until a request with
// Ended set.
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
