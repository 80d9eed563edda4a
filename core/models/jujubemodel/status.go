package jujubemodel

import "time"

// Status is the response to GET /v1/status on the operator listener of an entry instance.
type Status struct {
	Instance    InstanceID
	Incarnation Incarnation
	DataCentre  DataCentre
	Ready       bool
	Leaving     bool
	// LeavingUntil is the expiry of the last address response that names the instance.
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
	Watched  bool
	State    EndpointState
}

// ConfigStatus identifies the configuration in force on one entry instance.
type ConfigStatus struct {
	Known    bool
	Revision int64
	Through  int64
	Digest   string
	// InForceAt is when this instance applied the revision, by its own clock.
	InForceAt time.Time `json:",omitzero"`
}

// RolloutStatus is the progress of the weight rollout of one model.
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

// QuarantineStatus is the state of one fingerprint that crashed endpoints.
type QuarantineStatus struct {
	Fingerprint Fingerprint
	State       string
	Crashes     []CrashID
	Until       time.Time
}

// LeaseStatus identifies the leader of the weight rollout.
type LeaseStatus struct {
	Holder InstanceID
	Fence  int64
	Held   bool
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
