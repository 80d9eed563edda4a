// Package jujubemodel defines the identifiers, entities and wire types that all programs share.
package jujubemodel

import "strconv"

// Identifiers are distinct string types, so that the compiler rejects one kind in place of another.
type (
	// InstanceID names an entry instance; it stays the same across restarts.
	InstanceID string
	// EndpointID names a model engine, a scorer or a server of a plain service.
	EndpointID string
	// DataCentre names an availability zone.
	DataCentre string
	// CallerID names an app or trainer that sends requests.
	CallerID string
	// OrganisationName names a customer whose callers authenticate with API keys; empty for none.
	OrganisationName string
	// TrainerID names a trainer in the environment document.
	TrainerID string
	// ModelName names a model that engines serve.
	ModelName string
	// ServiceName names a plain service.
	ServiceName string
	// RequestID is chosen by the caller and unique per request.
	RequestID string
	// StreamID names one generation on an engine: trainer/step/part/group/index/try.
	StreamID string
	// IdempotencyKey consists of a key prefix issued by an entry instance, a tilde and a part chosen by the caller.
	IdempotencyKey string
	// SoftwareVersion names the build of an endpoint's software. Versions have no order, and what two versions generate doesn't fit
	// together. Empty means not reported.
	SoftwareVersion string
	// ProcessID names one process of an endpoint: the endpoint id and its incarnation.
	ProcessID string
)

// Incarnation is the start time of a process in Unix milliseconds. A higher one replaces a lower one with the same id.
type Incarnation int64

// String formats the incarnation as a decimal number.
func (i Incarnation) String() string { return strconv.FormatInt(int64(i), 10) }

// WeightVersion numbers the weights of one model and only increases. Zero means not reported.
type WeightVersion int64

// Fingerprint is a hash of a request's content, excluding its identifiers.
type Fingerprint uint64

// Priority orders requests in a queue; a lower value is served first.
type Priority int

// Priorities of requests.
const (
	PriorityInteractive Priority = iota
	PriorityTrainer
	PriorityBackground
)
