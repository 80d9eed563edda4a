package jujubenode

import "time"

// Settings are the periods and limits that depend on the platform.
type Settings struct {
	// DrainTime is the time from the stop signal until the process must have exited.
	DrainTime time.Duration `validate:"min=1s,max=10m" usage:"time from the signal to stop until the process is killed"`
	// LeaseTime is the minimum time between the orders of two instances to one engine.
	LeaseTime time.Duration `validate:"min=500ms,max=1m" usage:"least time between the orders of two instances to one engine"`
	// AddressValidity is how long callers may cache an address response.
	AddressValidity time.Duration `validate:"min=500ms,max=1m" usage:"how long callers may keep an address answer"`
	// ReadsPerSecond and WritesPerSecond are the store's rate limits for all instances together.
	ReadsPerSecond  int `validate:"min=1" usage:"reads that the store takes from all instances in a second"`
	WritesPerSecond int `validate:"min=1" usage:"writes that the store takes from all instances in a second"`
	// DirectReaders is the number of live instances up to which all of them read the log from the store.
	DirectReaders int `validate:"min=1" usage:"number of instances above which some read the log for the others"`
	// MaxRecordBytes and MaxAppendBytes are the store's size limits.
	MaxRecordBytes int `validate:"min=1024" usage:"largest record of the store's log, in bytes"`
	MaxAppendBytes int `validate:"min=1024" usage:"largest append to the store's log, in bytes"`
}
