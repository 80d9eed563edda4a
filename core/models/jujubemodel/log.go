package jujubemodel

import (
	"encoding/json"
	"time"
)

// Names of the streams on the log.
const (
	StreamConfig = "config"
	StreamLease  = "lease"
)

// LogRecord is one record of a stream on the log.
type LogRecord struct {
	// Offset grows by one with each record of a stream.
	Offset int64
	// At is the log's own time of the append; it never goes back within a stream.
	At   time.Time
	Body json.RawMessage
}

// LogRead answers a read of a stream.
type LogRead struct {
	Records []LogRecord
	// First is the oldest offset that is still retained.
	First int64
	// Next is the offset that the next append gets.
	Next int64
}

// LogAppended answers an append.
type LogAppended struct {
	Offset int64
	At     time.Time
}

// ConfigRecord is the body of a record on the configuration stream: either a change or a checkpoint.
type ConfigRecord struct {
	Change     *ConfigChange     `json:",omitempty"`
	Checkpoint *ConfigCheckpoint `json:",omitempty"`
}

// ConfigChange proposes a document. It is accepted if Base is the current revision when its turn comes in the stream.
type ConfigChange struct {
	// ID is unique to the change; a repeated append carries the same one.
	ID       string
	Base     int64
	Document string
	Author   string
	Note     string `json:",omitempty"`
}

// ConfigCheckpoint repeats the state that the records up to Through lead to, for readers that come after their expiry.
type ConfigCheckpoint struct {
	Through int64
	State   ConfigState
}

// ConfigState is the outcome of the configuration stream up to an offset.
type ConfigState struct {
	// Revision counts accepted changes; zero means that none was accepted yet.
	Revision int64
	// Through is the offset of the last record that was folded, -1 for none.
	Through  int64
	Document string
	// Digest identifies the document byte for byte.
	Digest string
	// History holds the latest changes, oldest first.
	History []ConfigOutcome
}

// ConfigOutcome tells what became of a change.
type ConfigOutcome struct {
	ID       string
	Offset   int64
	At       time.Time
	Accepted bool
	// Revision is the one that the change made, or the current one when the change was refused.
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
	// Renew is the offset of the claim that is renewed; zero with Claim set for a new claim.
	Claim   bool  `json:",omitempty"`
	Renew   int64 `json:",omitempty"`
	Release bool  `json:",omitempty"`
	// Number tells an incarnation's records apart.
	Number int64
}
