package jujubestep

import (
	"slices"
	"time"
)

// lengthStats holds the lengths and durations of the finished samples of a part.
type lengthStats struct {
	// sorted holds the token counts in ascending order.
	sorted      []int
	totalTokens int
	totalTime   time.Duration
}

func (l *lengthStats) count() int { return len(l.sorted) }

func (l *lengthStats) add(tokens int, duration time.Duration) {
	index, _ := slices.BinarySearch(l.sorted, tokens)
	l.sorted = slices.Insert(l.sorted, index, tokens)
	l.totalTokens += tokens
	l.totalTime += duration
}

// expectedTokens returns the expected total length of a stream that has the given number of tokens: the median of the
// finished lengths above it. A stream longer than all finished ones is expected to grow by a quarter.
func (l *lengthStats) expectedTokens(tokens, limit int) int {
	index, _ := slices.BinarySearch(l.sorted, tokens+1)
	if longer := l.sorted[index:]; len(longer) > 0 {
		return longer[len(longer)/2]
	}
	return max(tokens+1, min(limit, tokens+tokens/4))
}

func (l *lengthStats) meanDuration() time.Duration {
	return l.totalTime / time.Duration(max(len(l.sorted), 1))
}

// expectedDuration returns the time to generate the tokens at the mean rate of the finished samples.
func (l *lengthStats) expectedDuration(tokens int) time.Duration {
	return time.Duration(float64(l.totalTime) / float64(max(l.totalTokens, 1)) * float64(tokens))
}
