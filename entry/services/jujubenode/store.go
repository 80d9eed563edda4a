package jujubenode

import (
	"context"
	"fmt"
	"time"
)

// NoCondition is the position of an append that goes to the end of a partition, wherever that is.
const NoCondition int64 = -1

// Topic is a named log of the platform with one partition or more.
type Topic struct {
	Name string
	// Keyed topics keep the newest record of each key for good.
	Keyed bool
}

// Record is one record of a topic. The key is used in keyed topics only; there a record without a value drops the key.
type Record struct {
	Key   string
	Value []byte
}

// Store is the platform's log, as far as instances use it.
type Store interface {
	// Append adds records, all or none. With a position other than NoCondition it does so only if the partition ends there.
	Append(ctx context.Context, topic Topic, part int, records []Record, position int64) (offset int64, err error)
	// Read returns the records from an offset on, up to a size but one at least; without any it waits for the first one.
	Read(ctx context.Context, topic Topic, part int, from int64, wait time.Duration, maxBytes int) (LogBatch, error)
	// Trim drops the records before an offset.
	Trim(ctx context.Context, topic Topic, part int, before int64) error
	// Newest returns a page of the newest records of a keyed topic's first partition, those with a key behind the given one.
	Newest(ctx context.Context, topic Topic, after string) (LogPage, error)
}

// LogBatch is what one read of a partition brought.
type LogBatch struct {
	// Records are consecutive, the first one at the offset that was asked for.
	Records []Record
	// End is the offset that the next append gets.
	End int64
}

// LogPage is a part of the newest records of each key, in the order of the keys.
type LogPage struct {
	Records []Record
	// End is the partition's end when the page was read. A later page may hold records from there on.
	End int64
	// More is true when other keys follow.
	More bool
}

// ErrStore is a failed call of the platform's store.
type ErrStore struct {
	Call string
	// Done is false when the call surely had no effect; otherwise it may have had one, or may still have it.
	Done   bool
	Status int
	Reason string
}

// Error gives the call and the reason.
func (e ErrStore) Error() string {
	return fmt.Sprintf("store: %s: status %d, may be done %t: %s", e.Call, e.Status, e.Done, e.Reason)
}

// ErrCondition is an append whose position wasn't the partition's end; nothing was added.
type ErrCondition struct {
	End int64
}

// Error gives the partition's end.
func (e ErrCondition) Error() string {
	return fmt.Sprintf("store: the partition ends at %d", e.End)
}

// ErrTrimmed is a read of records that have expired.
type ErrTrimmed struct {
	// First is the oldest offset that is retained.
	First int64
}

// Error gives the oldest offset.
func (e ErrTrimmed) Error() string {
	return fmt.Sprintf("store: the records before %d have expired", e.First)
}
