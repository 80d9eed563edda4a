package jujubenode

import (
	"time"

	"jujubepier.example/core/services/jujubeduty"
	"jujubepier.example/core/services/jujubeprompt"
)

// Settings are the periods and limits that depend on the platform.
type Settings struct {
	// DrainTime is the time from the stop signal until the process must have exited.
	DrainTime time.Duration `validate:"min=1s,max=10m" usage:"time from SIGTERM until the process is killed"`
	// LeaseTime is the minimum time between the orders of two instances to one engine.
	LeaseTime time.Duration `validate:"min=500ms,max=1m" usage:"minimum time between orders from two instances to the same engine"`
	// AddressValidity is how long callers may cache an address response.
	AddressValidity time.Duration `validate:"min=500ms,max=1m" usage:"how long callers may cache an address response"`
	// RevokeTime is the time after which no instance accepts a revoked API key; zero for no bound.
	RevokeTime time.Duration `validate:"omitempty,min=1ms,max=24h" usage:"time after which no instance accepts a revoked API key; 0 for no bound"`
	// CancelTime is the time after which no item of an ended submission may reach an engine; zero for no bound.
	CancelTime time.Duration `validate:"omitempty,min=1s,max=1h" usage:"time after the end of a submission from which on none of its items may reach an engine; 0s for no bound"`
	// EndpointLeaveTime is the time after an endpoint's entry says that it is leaving, or is removed, after which no request may reach it;
	// zero for no bound.
	EndpointLeaveTime time.Duration `validate:"omitempty,min=1s,max=1h" usage:"time after an endpoint announces that it leaves from which on no request may reach it; 0s for no bound"`
	// DesiredTime is the time after which no item may run by an earlier desired state; zero for no bound.
	DesiredTime time.Duration `validate:"omitempty,min=1s,max=1h" usage:"time after the acknowledgement of a desired state from which on no item may run by an earlier one; 0s for no bound"`
	// ReadsPerSecond and WritesPerSecond are the store's rate limits for all instances together.
	ReadsPerSecond  int `validate:"min=1" usage:"read limit of the store for all instances together, per second"`
	WritesPerSecond int `validate:"min=1" usage:"write limit of the store for all instances together, per second"`
	// DirectReaders is the number of live instances up to which all of them read the log from the store.
	DirectReaders int `validate:"min=1" usage:"maximum number of instances that all read the log from the store; with more, some read it for the others"`
	// MaxRecordBytes and MaxAppendBytes are the store's size limits.
	MaxRecordBytes int `validate:"min=1024" usage:"maximum size of a record in the store's log, in bytes"`
	MaxAppendBytes int `validate:"min=1024" usage:"maximum size of an append to the store's log, in bytes"`
	// PromptPolicy decides among the engines that are equally suitable for an item; nil for the least cost in time.
	PromptPolicy jujubeprompt.Policy
	// Duties are the duties towards the platform's API; none by default.
	Duties []jujubeduty.Duty `usage:"duties towards the platform's API"`
	// DutiesPerSecond is the rate limit of the platform's API for all instances together; 0 if it isn't known.
	DutiesPerSecond float64 `validate:"min=0" usage:"rate limit of the platform's API for all instances together, per second"`
	// UsageWindow is the length of a window of the reports of usage, and UsageLate is the time after its end when its report is due.
	UsageWindow time.Duration `usage:"length of a window of the reports of usage"`
	UsageLate   time.Duration `usage:"time after a window's end when its report is due"`
	// UnevenEngines places items by their expected finish (see jujubebatch.Settings).
	UnevenEngines bool `usage:"place items by their expected finish, as engines differ in speed; false ranks engines by classes"`
}
