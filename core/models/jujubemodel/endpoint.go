package jujubemodel

import (
	"time"
)

// EndpointKind tells what an endpoint serves.
type EndpointKind string

// Kinds of endpoints. KindEntry appears in the instance list only.
const (
	KindEngine  EndpointKind = "Engine"
	KindService EndpointKind = "Service"
	KindScorer  EndpointKind = "Scorer"
	KindEntry   EndpointKind = "Entry"
)

// Endpoint is one server that requests are routed to.
type Endpoint struct {
	ID         EndpointID
	Kind       EndpointKind
	DataCentre DataCentre
	// Address is host:port with an IP number.
	Address string
	// Incarnation grows with each start of the process; zero when the instance list doesn't give it.
	Incarnation Incarnation
	// Model is set for engines only.
	Model ModelName `json:",omitempty"`
	// Service is set for services and scorers only.
	Service ServiceName `json:",omitempty"`
	// Leaving never goes back to false for the same incarnation.
	Leaving bool `json:",omitempty"`
}

// LoadReport is what an endpoint says of itself; it lags behind.
type LoadReport struct {
	Endpoint    EndpointID
	Incarnation Incarnation
	// At is the endpoint's time of the measurement. Reports are applied in the order of At within an incarnation.
	At      time.Time
	Running int
	Waiting int
	// Slots is how many requests the endpoint runs at once; zero when it has no such limit.
	Slots int
	// TokensPerSecond is the generation rate of one running stream.
	TokensPerSecond float64
	Model           ModelName `json:",omitempty"`
	// Version is the weight version that new tokens are generated with.
	Version WeightVersion `json:",omitempty"`
	// Target is the version of the last accepted order; it differs from Version while weights are swapped.
	Target WeightVersion `json:",omitempty"`
	// Swapping is true from the acceptance of an order until the new weights serve or the swap failed.
	Swapping bool `json:",omitempty"`
	// Leaving is true once the endpoint has been told to stop.
	Leaving bool `json:",omitempty"`
}

// CacheEvent says that an engine stored or evicted a prompt prefix. Events come late and with gaps in Seq.
type CacheEvent struct {
	Seq int64
	// Prefix is the hash of the first PrefixBytes bytes of the prompt (see HashPrefix).
	Prefix uint64
	Stored bool
}

// Limits is what the decision packages need of the environment document.
type Limits struct {
	Revision int64
	Trainers map[TrainerID]TrainerLimits
	Models   map[ModelName]ModelLimits
	Services map[ServiceName]ServiceLimits
	// Callers without an entry are unlimited.
	Callers map[CallerID]CallerLimits
}

// Preference tells what a trainer rather gives up when only engines with older weights within the bound have room.
type Preference string

// Preferences of trainers.
const (
	PreferFreshness Preference = "Freshness"
	PreferIdleTime  Preference = "IdleTime"
)

// TrainerLimits are the limits of one trainer.
type TrainerLimits struct {
	Model ModelName
	// StalenessBound is the highest age of a delivered sample, in weight versions.
	StalenessBound WeightVersion
	// Share is the trainer's weight when several trainers wait for the same engines.
	Share float64
	// MaxInFlight bounds the trainer's running streams over all entry instances.
	MaxInFlight int
	// Prefer is PreferIdleTime when empty.
	Prefer Preference
	// Scorer is the service that scores the samples; empty for none.
	Scorer       ServiceName
	StepDeadline time.Duration
}

// ModelLimits are the limits of one model's engines.
type ModelLimits struct {
	// MaxInFlightPerEndpoint bounds the requests sent to one engine over all entry instances.
	MaxInFlightPerEndpoint int
	// MaxSwapping bounds the engines that load weights at the same time.
	MaxSwapping int
	// MinServing is the number of engines that must not be swapping at any time.
	MinServing int
	// SwapTimeout is the time after which an order without the ordered version in a report is sent again.
	SwapTimeout time.Duration
}

// ServiceLimits are the limits of one plain service.
type ServiceLimits struct {
	MaxInFlightPerEndpoint int
	Timeout                time.Duration
	// NonIdempotentMethods are the HTTP methods whose calls may not be repeated.
	NonIdempotentMethods []string
}

// CallerLimits are the limits of one caller.
type CallerLimits struct {
	// RequestsPerSecond over all entry instances.
	RequestsPerSecond float64
	MaxInFlight       int
}
