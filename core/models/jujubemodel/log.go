package jujubemodel

import (
	"encoding/json"
	"time"
)

// Names of the log's streams.
const (
	StreamConfig = "config"
	StreamLease  = "lease"
)

// LogRecord is one record of a stream of the log.
type LogRecord struct {
	// Offset increases by one with each record of a stream.
	Offset int64
	// At is the time of the append by the log's clock; it never decreases within a stream.
	At   time.Time
	Body json.RawMessage
}

// LogRead is the response to a read of a stream.
type LogRead struct {
	Records []LogRecord
	// First is the oldest retained offset.
	First int64
	// Next is the offset of the next append.
	Next int64
}

// LogAppended is the response to an append.
type LogAppended struct {
	Offset int64
	At     time.Time
}

// ConfigRecord is the body of a record on the configuration stream: either a change or a checkpoint.
type ConfigRecord struct {
	Change     *ConfigChange     `json:",omitempty"`
	Checkpoint *ConfigCheckpoint `json:",omitempty"`
}

// ConfigChange proposes a document. It is accepted if Base is the current revision when the change is applied in stream
// order.
type ConfigChange struct {
	// ID is unique per change; a repeated append has the same ID.
	ID       string
	Base     int64
	Document string
	Author   string
	Note     string `json:",omitempty"`
}

// ConfigCheckpoint is a snapshot of the state after the records up to offset Through, for readers that start after those
// records have expired.
type ConfigCheckpoint struct {
	Through int64
	State   ConfigState
}

// ConfigState is the result of applying the configuration stream up to an offset.
type ConfigState struct {
	// Revision counts the accepted changes; zero means that none has been accepted yet.
	Revision int64
	// Through is the offset of the last applied record, -1 for none.
	Through  int64
	Document string
	// Digest is a hash of the exact bytes of the document.
	Digest string
	// History holds the most recent changes, the oldest first.
	History []ConfigOutcome
}

// ConfigOutcome records whether a change was accepted.
type ConfigOutcome struct {
	ID       string
	Offset   int64
	At       time.Time
	Accepted bool
	// Revision is the revision that the change created, or the current one if the change was rejected.
	Revision int64
	Base     int64
	Digest   string
	Author   string
	Note     string `json:",omitempty"`
}

// LeaseRecord is the body of a record on the lease stream.
type LeaseRecord struct {
	Lease       string
	Holder      InstanceID
	Incarnation Incarnation
	TTL         Duration
	// Claim marks a new claim. Otherwise Renew is the offset of the claim that the record renews, or releases with Release
	// set.
	Claim   bool  `json:",omitempty"`
	Renew   int64 `json:",omitempty"`
	Release bool  `json:",omitempty"`
	// Number distinguishes the records of one incarnation.
	Number int64
}
