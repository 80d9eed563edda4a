// Package jujubeclock provides a monotonic clock that also advances while the machine is suspended. The monotonic reading of
// time.Time doesn't, so after a suspension it makes what was read before look recent.
package jujubeclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a time since the machine was booted. It is comparable on one machine only.
type Instant time.Duration

// Now returns the current instant, from CLOCK_BOOTTIME.
func Now() Instant {
	var reading unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &reading); err != nil {
		// Every Linux kernel since 2.6.39 has the clock. Without it, suspensions are only noticed by the time of day.
		return Instant(time.Now().UnixNano())
	}
	return Instant(reading.Nano())
}

// Sub returns the time from an earlier instant to i.
func (i Instant) Sub(earlier Instant) time.Duration { return time.Duration(i - earlier) }

// Add returns the instant after a duration.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }
