package jujubenode

import (
	"time"

	"jujubepier.example/core/modules/jujubeclock"
)

// readTime is how recent a read is, on both clocks.
type readTime struct {
	// at is like RequestedAt, on the clock that stops while the machine is suspended.
	at time.Time
	jujubeclock.ReadTime
}

func newReadTime(clock func() jujubeclock.Instant) readTime {
	return readTime{at: time.Now(), ReadTime: jujubeclock.RequestedNow(clock())}
}

// credit returns the time of a read that returned no records although it was to wait for some. ReadAt moves to the end of the wait, which
// relies on the store to wait: an empty response that it made at once may arrive late. So ReadAt is too recent by the wait at most, and the
// other times stay.
func (t readTime) credit(records []Record, wait time.Duration) readTime {
	if len(records) == 0 && time.Since(t.at) >= wait {
		t.ReadAt = t.ReadAt.Add(wait)
	}
	return t
}
