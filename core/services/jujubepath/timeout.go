package jujubepath

import "time"

// AdaptiveTimeout is an adaptive timeout for large reads. Instances that start at the same time share the store's read rate,
// and a read that times out and is retried uses its share twice. The timeout therefore doubles until reads succeed.
type AdaptiveTimeout struct {
	// Min and Max bound the timeout.
	Min, Max time.Duration
	// current is the timeout, between Min and Max; zero until it changes for the first time.
	current time.Duration
}

// Limit returns the current timeout.
func (p *AdaptiveTimeout) Limit() time.Duration { return max(p.current, p.Min) }

// RecordTimeout records a read that got no response within the given timeout, and raises the timeout to twice that value.
// Several reads that fail with the same timeout thus double it only once.
func (p *AdaptiveTimeout) RecordTimeout(timeout time.Duration) {
	p.current = min(max(2*timeout, p.Limit()), p.Max)
}

// RecordResponse records the duration of a read that got a response. A response within less than a quarter of the timeout
// halves it.
func (p *AdaptiveTimeout) RecordResponse(took time.Duration) {
	if took < p.Limit()/4 {
		p.current = max(p.Limit()/2, p.Min)
	}
}
