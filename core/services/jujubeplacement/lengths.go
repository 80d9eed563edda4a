// Package jujubeplacement decides which engine runs an item, which items of a step are needed, and whose item is next, for engines of
// different speeds. It holds no state of engines or submissions and has no clock.
package jujubeplacement

import "slices"

const (
	// DefaultTokensPerEvent converts the callers' estimates to events until enough items have completed. Events have up to 78 tokens.
	DefaultTokensPerEvent = 40
	// DefaultEvents is the expected length of an item without an estimate until enough items have completed.
	DefaultEvents = 16
	// minSamples is how many completed items replace a default.
	minSamples = 8
	// maxSamples is how many completed items are kept, the results of some seconds.
	maxSamples = 256
	// minLongerSamples is how many of them have to be longer than an item for a mean of what they had left.
	minLongerSamples = 3
)

// Lengths estimates the lengths of a model's items, in events, from those that have completed. The zero value has no samples.
type Lengths struct {
	samples []sample
	next    int
	// isStale is true if a sample was added after the following fields were computed.
	isStale        bool
	tokensPerEvent float64
	// ascending holds the lengths of the samples; suffixSum[i] is the sum of those from i on.
	ascending []int
	suffixSum []int
}

type sample struct{ hint, events int }

// Observe adds a completed item. The hint is the caller's estimate in tokens, 0 for none.
func (l *Lengths) Observe(hint, events int) {
	if events <= 0 {
		return
	}
	l.isStale = true
	if len(l.samples) < maxSamples {
		l.samples = append(l.samples, sample{hint, events})
		return
	}
	l.samples[l.next] = sample{hint, events}
	l.next = (l.next + 1) % maxSamples
}

func (l *Lengths) update() {
	if !l.isStale {
		return
	}
	l.isStale = false
	l.ascending, l.suffixSum = l.ascending[:0], append(l.suffixSum[:0], make([]int, len(l.samples)+1)...)
	var ratios []float64
	for _, s := range l.samples {
		l.ascending = append(l.ascending, s.events)
		if s.hint > 0 {
			ratios = append(ratios, float64(s.hint)/float64(s.events))
		}
	}
	slices.Sort(l.ascending)
	for i := len(l.ascending) - 1; i >= 0; i-- {
		l.suffixSum[i] = l.suffixSum[i+1] + l.ascending[i]
	}
	l.tokensPerEvent = 0
	if len(ratios) >= minSamples {
		// The estimates are accurate at the median only.
		slices.Sort(ratios)
		l.tokensPerEvent = ratios[len(ratios)/2]
	}
}

// Mean returns the mean length of an item.
func (l *Lengths) Mean() float64 {
	l.update()
	if len(l.ascending) < minSamples {
		return DefaultEvents
	}
	return float64(l.suffixSum[0]) / float64(len(l.ascending))
}

// Expected returns the expected length of an item.
func (l *Lengths) Expected(hint int) float64 {
	if hint <= 0 {
		return l.Mean()
	}
	l.update()
	if l.tokensPerEvent > 0 {
		return max(1, float64(hint)/l.tokensPerEvent)
	}
	return max(1, float64(hint)/DefaultTokensPerEvent)
}

// Remaining returns the expected number of events that an item with done events still has: what its estimate leaves, or, for one that
// has exceeded it, what completed items had left at this length. An item that has exceeded its estimate is probably a long one.
func (l *Lengths) Remaining(hint, done int) float64 {
	if left := l.Expected(hint) - float64(done); left >= 1 {
		return left
	}
	first, _ := slices.BinarySearch(l.ascending, done+1)
	if longer := len(l.ascending) - first; longer >= minLongerSamples {
		return float64(l.suffixSum[first])/float64(longer) - float64(done)
	}
	return max(1, float64(done)/2)
}
