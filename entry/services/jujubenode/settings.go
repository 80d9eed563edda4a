package jujubenode

import "time"

// Settings are the periods that depend on the platform.
type Settings struct {
	// DrainTime is the time from the signal to stop until the process has to be gone.
	DrainTime time.Duration `validate:"min=1s,max=10m" usage:"time from the signal to stop until the process is killed"`
	// LeaseTime is how long an engine's orders may not change hands.
	LeaseTime time.Duration `validate:"min=500ms,max=1m" usage:"least time between the orders of two instances to one engine"`
	// AddressValidity is how long callers may keep an address answer.
	AddressValidity time.Duration `validate:"min=500ms,max=1m" usage:"how long callers may keep an address answer"`
	// ReadsPerSecond and WritesPerSecond are what the store takes from all instances together.
	ReadsPerSecond  int `validate:"min=1" usage:"reads that the store takes from all instances in a second"`
	WritesPerSecond int `validate:"min=1" usage:"writes that the store takes from all instances in a second"`
	// DirectReaders is up to how many live instances all read the log themselves.
	DirectReaders int `validate:"min=1" usage:"number of instances above which some read the log for the others"`
	// MaxRecordBytes and MaxAppendBytes bound what the store takes.
	MaxRecordBytes int `validate:"min=1024" usage:"largest record of the store's log, in bytes"`
	MaxAppendBytes int `validate:"min=1024" usage:"largest append to the store's log, in bytes"`
}
