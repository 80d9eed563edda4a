package jujubemodel

// Exclusion is why an endpoint can't accept a request now; empty if it can.
type Exclusion string

// Reasons for which an endpoint can't accept a request.
const (
	ExcludedRemoved   Exclusion = "Removed"
	ExcludedLeaving   Exclusion = "Leaving"
	ExcludedByRequest Exclusion = "ExcludedByRequest"
	// ExcludedSoftware is an endpoint of another software version than the request requires.
	ExcludedSoftware  Exclusion = "OtherSoftwareVersion"
	ExcludedThrottled Exclusion = "Throttled"
	// ExcludedNoCapacity is an endpoint at which this instance has its share of the limit in flight.
	ExcludedNoCapacity Exclusion = "NoCapacity"
	// ExcludedHeld is an endpoint with waiting requests, for which this instance keeps further ones in its own queue.
	ExcludedHeld       Exclusion = "Held"
	ExcludedOldVersion Exclusion = "OlderVersion"
	ExcludedEjected    Exclusion = "Ejected"
	// ExcludedNotWatched is an endpoint outside the subset that the instance normally dispatches to.
	ExcludedNotWatched Exclusion = "NotWatched"
)

// RouteExplanation is what an instance would do with a request now, and why.
type RouteExplanation struct {
	Instance InstanceID
	// Decision is Dispatch, Wait or Refuse.
	Decision string
	Reason   string
	// Code is set for refusals only.
	Code string `json:",omitempty"`
	// RetryAfter is the lower bound of the time that a refused caller is given; a random part is added.
	RetryAfter Duration
	// HeldElsewhere is true when only other instances can serve the request.
	HeldElsewhere bool
	// ExpectedWait is the wait in the queue, or on the endpoint for a request that is refused because of it.
	ExpectedWait Duration
	Policy       string
	// Choices lists the endpoints one of which the policy would choose, sorted by id; empty unless Decision is Dispatch.
	Choices []EndpointID
	// Endpoints lists all endpoints of the model or service, sorted by id.
	Endpoints []EndpointExplanation
	// Queue lists the waiting requests by class, in order of priority.
	Queue []ClassExplanation
}

// EndpointExplanation has the inputs of the choice for one endpoint.
type EndpointExplanation struct {
	Endpoint EndpointID
	Excluded Exclusion `json:",omitempty"`
	// ExpectedWait is the estimated time until the endpoint has a free slot. With Slowdown and Prefill it is the cost.
	ExpectedWait Duration
	Slowdown     Duration
	Prefill      Duration
	// Delayed is by how much longer than usual the request takes at the endpoint's pace; negative for a faster one.
	Delayed Duration
	Running int
	Waiting int
	// InFlight is the number of the instance's own requests there.
	InFlight int
	// Share is the instance's share of the limit per endpoint; -1 without a limit.
	Share int
	// KeepsPrompt is true if the endpoint is assumed to keep a part of the prompt.
	KeepsPrompt bool
}

// ClassExplanation describes the waiting requests of one priority class.
type ClassExplanation struct {
	Priority Priority
	Waiting  int
	// Ahead is true if requests of the class that could be dispatched go before the explained one.
	Ahead bool
}
