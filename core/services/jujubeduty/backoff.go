package jujubeduty

import "time"

const (
	// minRetryDelay and maxRetryDelay bound the delay before a failed call is repeated; it doubles each time.
	minRetryDelay = 250 * time.Millisecond
	maxRetryDelay = 4 * time.Second
)

// Backoff delays the repetitions of one call. The zero value permits the first try.
type Backoff struct {
	failures int
	retryAt  time.Time
}

// IsDue reports whether the call may be tried.
func (b Backoff) IsDue(now time.Time) bool { return !now.Before(b.retryAt) }

// Fail records a failed try and returns the delay before the next one.
func (b *Backoff) Fail(now time.Time) time.Duration {
	delay := minRetryDelay
	for range b.failures {
		delay = min(2*delay, maxRetryDelay)
	}
	b.failures = min(b.failures+1, 16)
	b.retryAt = now.Add(delay)
	return delay
}
