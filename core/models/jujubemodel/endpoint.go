package jujubemodel

import (
	"time"
)

// EndpointKind is what an endpoint serves.
type EndpointKind string

// Kinds of endpoints. KindEntry occurs only in the instance list.
const (
	KindEngine  EndpointKind = "Engine"
	KindService EndpointKind = "Service"
	KindScorer  EndpointKind = "Scorer"
	KindEntry   EndpointKind = "Entry"
)

// Endpoint is one server process that requests are routed to.
type Endpoint struct {
	ID         EndpointID
	Kind       EndpointKind
	DataCentre DataCentre
	// Address is host:port, where host is an IP address.
	Address string
	// Incarnation increases with each start of the process; zero when the instance list doesn't have it.
	Incarnation Incarnation
	// Model is set for engines only.
	Model ModelName `json:",omitempty"`
	// SoftwareVersion is set for engines only; without it, the texts of an engine can't be continued on another one.
	SoftwareVersion SoftwareVersion `json:",omitempty"`
	// Service is set for services and scorers only.
	Service ServiceName `json:",omitempty"`
	// Leaving never returns to false within an incarnation.
	Leaving bool `json:",omitempty"`
}

// LoadReport is the load that an endpoint measured itself. It is always somewhat out of date.
type LoadReport struct {
	Endpoint    EndpointID
	Incarnation Incarnation
	// At is the time of the measurement by the endpoint's clock. Within an incarnation, reports are applied in the order of At.
	At      time.Time
	Running int
	Waiting int
	// Slots is the number of requests that the endpoint runs concurrently; zero when it has no such limit.
	Slots int
	// Pace is the time that work takes, in percent of the usual time; zero if the endpoint doesn't report it.
	Pace int `json:",omitempty"`
	// TokensPerSecond is the generation rate of one running stream.
	TokensPerSecond float64
	Model           ModelName `json:",omitempty"`
	// Version is the weight version that generates new tokens.
	Version WeightVersion `json:",omitempty"`
	// Target is the version of the last accepted order; it differs from Version during a swap.
	Target WeightVersion `json:",omitempty"`
	// Swapping is true from the acceptance of an order until the new weights are in use or the swap has failed.
	Swapping bool `json:",omitempty"`
	// Leaving is true once the endpoint has been asked to stop.
	Leaving bool `json:",omitempty"`
}

// CacheEvent reports that an engine stored or evicted a prompt prefix in its prefix cache. Events arrive late and with gaps in Seq.
type CacheEvent struct {
	Seq int64
	// Prefix is the hash of the first PrefixBytes bytes of the prompt (see HashPrefix).
	Prefix uint64
	Stored bool
}

// Limits holds the part of the environment document that routing, steps and the weight rollout use.
type Limits struct {
	Revision int64
	Trainers map[TrainerID]TrainerLimits
	Models   map[ModelName]ModelLimits
	Services map[ServiceName]ServiceLimits
	// Callers has an entry for each limited caller; a caller without one has no limit.
	Callers map[CallerID]CallerLimits
}

// Preference is what a stream does when only engines with older weights, still within the staleness bound, have free
// capacity. With PreferFreshness it waits for newer weights; with PreferIdleTime, which keeps engines from being idle, it
// starts, unless the trainer's next step is expected before the stream's sample is delivered.
type Preference string

// Preferences of trainers.
const (
	PreferFreshness Preference = "Freshness"
	PreferIdleTime  Preference = "IdleTime"
)

// TrainerLimits are the limits of one trainer.
type TrainerLimits struct {
	Model ModelName
	// StalenessBound is the maximum age of a delivered sample, in weight versions.
	StalenessBound WeightVersion
	// Share is the trainer's weight in the fair queue when several trainers wait for the same engines.
	Share float64
	// MaxInFlight limits the trainer's running streams across all entry instances.
	MaxInFlight int
	// Prefer defaults to PreferIdleTime when empty.
	Prefer Preference
	// Scorer is the service that scores the samples; empty for none.
	Scorer       ServiceName
	StepDeadline time.Duration
}

// ModelLimits are the limits of one model's engines.
type ModelLimits struct {
	// MaxInFlightPerEndpoint limits the requests in flight on one engine across all entry instances.
	MaxInFlightPerEndpoint int
	// MaxSwapping limits the number of engines that load weights at the same time.
	MaxSwapping int
	// MinServing is the minimum number of engines that aren't swapping at any time.
	MinServing int
	// SwapTimeout is the time after which an order is sent again if no report shows the ordered version.
	SwapTimeout time.Duration
}

// ServiceLimits are the limits of one plain service.
type ServiceLimits struct {
	MaxInFlightPerEndpoint int
	Timeout                time.Duration
	// NonIdempotentMethods lists the HTTP methods whose calls must not be repeated.
	NonIdempotentMethods []string
}

// CallerLimits are the limits of one caller.
type CallerLimits struct {
	// RequestsPerSecond is the request rate across all entry instances.
	RequestsPerSecond float64
	MaxInFlight       int
}
