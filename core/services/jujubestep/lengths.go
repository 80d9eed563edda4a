package jujubestep

import (
	"slices"
	"time"
)

// lengths are the finished samples of a part.
type lengths struct {
	// sorted holds the numbers of tokens in ascending order.
	sorted []int
	tokens int
	time   time.Duration
}

func (l *lengths) count() int { return len(l.sorted) }

func (l *lengths) add(tokens int, duration time.Duration) {
	at, _ := slices.BinarySearch(l.sorted, tokens)
	l.sorted = slices.Insert(l.sorted, at, tokens)
	l.tokens += tokens
	l.time += duration
}

// expect returns the median of the finished lengths above the tokens a stream already has; a stream longer than all of
// them is expected to need a quarter more.
func (l *lengths) expect(tokens, limit int) int {
	at, _ := slices.BinarySearch(l.sorted, tokens+1)
	if above := l.sorted[at:]; len(above) > 0 {
		return above[len(above)/2]
	}
	return max(tokens+1, min(limit, tokens+tokens/4))
}

func (l *lengths) mean() time.Duration { return l.time / time.Duration(max(len(l.sorted), 1)) }

// duration is the time of a run of this length at the mean rate of the finished ones.
func (l *lengths) duration(tokens int) time.Duration {
	return time.Duration(float64(l.time) / float64(max(l.tokens, 1)) * float64(tokens))
}
