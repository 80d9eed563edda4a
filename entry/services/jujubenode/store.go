package jujubenode

import (
	"context"
	"fmt"
	"time"
)

// NoCondition is the position of an unconditional append, which adds the records at the end of a partition.
const NoCondition int64 = -1

// Topic is a named log of the platform with one or more partitions.
type Topic struct {
	Name string
	// Keyed topics retain the newest record of each key forever.
	Keyed bool
}

// Record is one record of a topic. The key is used in keyed topics only; there a record without a value deletes the
// key.
type Record struct {
	Key   string
	Value []byte
}

// Store is the part of the platform's log API that instances use. The store is the service that holds the logs; each topic is
// one log.
type Store interface {
	// Append adds all records or none. With a position other than NoCondition it does so only if the partition ends
	// there.
	Append(ctx context.Context, topic Topic, part int, records []Record, position int64) (offset int64, err error)
	// Read returns the records from an offset on, up to a size but at least one; if there are none, it waits for the
	// first one.
	Read(ctx context.Context, topic Topic, part int, from int64, wait time.Duration, maxBytes int) (LogBatch, error)
	// Trim drops the records before an offset.
	Trim(ctx context.Context, topic Topic, part int, before int64) error
	// Newest returns a page of the newest records of the keys after the given one, in the first partition of a keyed
	// topic.
	Newest(ctx context.Context, topic Topic, after string) (LogPage, error)
}

// LogBatch is the result of one read of a partition.
type LogBatch struct {
	// Records are consecutive; the first one is at the requested offset.
	Records []Record
	// End is the offset of the next append.
	End int64
}

// LogPage is a page of the newest record of each key, sorted by key.
type LogPage struct {
	Records []Record
	// End is the end of the partition when the page was read. Later pages may contain records from there on.
	End int64
	// More is true if other keys follow.
	More bool
}

// ErrStore is a failed call of the platform's store.
type ErrStore struct {
	Call string
	// Done is false if the call had no effect; if true, it may have had one or may still have one.
	Done   bool
	Status int
	Reason string
}

// Error returns the call and the reason.
func (e ErrStore) Error() string {
	return fmt.Sprintf("store: %s: status %d, may be done %t: %s", e.Call, e.Status, e.Done, e.Reason)
}

// ErrCondition is returned for an append whose position wasn't the end of the partition; nothing was added.
type ErrCondition struct {
	End int64
}

// Error returns the end of the partition.
func (e ErrCondition) Error() string {
	return fmt.Sprintf("store: the partition ends at %d", e.End)
}

// ErrTrimmed is returned for a read of records that have expired.
type ErrTrimmed struct {
	// First is the oldest offset that is retained.
	First int64
}

// Error returns the oldest offset.
func (e ErrTrimmed) Error() string {
	return fmt.Sprintf("store: the records before %d have expired", e.First)
}
