// Package jujubemodel holds the identifiers, entities and wire types that the programs share.
package jujubemodel

import "strconv"

// Identifiers are distinct string types so that one can't be passed for another.
type (
	// InstanceID names an entry instance; it stays the same over restarts.
	InstanceID string
	// EndpointID names a model engine, a scorer or a plain service's server.
	EndpointID string
	// DataCentre names an availability zone.
	DataCentre string
	// CallerID names an app or trainer that sends requests.
	CallerID string
	// TrainerID names a trainer of the environment document.
	TrainerID string
	// ModelName names a model that engines serve.
	ModelName string
	// ServiceName names a plain service.
	ServiceName string
	// RequestID is chosen by the caller and unique to one request.
	RequestID string
	// StreamID names one generation on an engine: trainer/step/part/group/index/try.
	StreamID string
	// IdempotencyKey is an issued key prefix, a tilde and the caller's own part.
	IdempotencyKey string
	// CrashID names one crash: endpoint id and the incarnation that ended.
	CrashID string
)

// Incarnation is the start of a process in Unix milliseconds. A higher one replaces a lower one under the same id.
type Incarnation int64

// String gives the number.
func (i Incarnation) String() string { return strconv.FormatInt(int64(i), 10) }

// WeightVersion numbers the weights of one model; it only grows. Zero means not reported.
type WeightVersion int64

// Fingerprint is a hash of a request's content without its identifiers.
type Fingerprint uint64

// Priority orders requests in a queue; a lower value is served first.
type Priority int

// Priorities of requests.
const (
	PriorityInteractive Priority = iota
	PriorityTrainer
	PriorityBackground
)
