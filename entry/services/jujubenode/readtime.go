package jujubenode

import (
	"time"

	"jujubepier.example/core/modules/jujubeclock"
)

// readTime is how recent a read is, on both clocks.
type readTime struct {
	// at is like ReadAt, on the clock that stops while the machine is suspended.
	at time.Time
	jujubeclock.ReadTime
}

func newReadTime(clock func() jujubeclock.Instant) readTime {
	return readTime{at: time.Now(), ReadTime: jujubeclock.RequestedNow(clock())}
}

// credit returns the time of a read that returned no records although it was to wait for some: it is known to be complete up to the
// end of the wait. RequestedAt stays, because that relies on the store to wait.
func (t readTime) credit(records []Record, wait time.Duration) readTime {
	if len(records) == 0 && time.Since(t.at) >= wait {
		t.at, t.ReadAt = t.at.Add(wait), t.ReadAt.Add(wait)
	}
	return t
}
