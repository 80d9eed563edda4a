package jujuberouter

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Share returns the part of a limit that the instance with a rank holds: the quotient, and one of the remainder for the
// lowest ranks. Over ranks 0 to live-1 the parts add up to the limit.
func Share(limit, live, rank int) int {
	live = max(live, 1)
	share := limit / live
	if rank < limit%live {
		share++
	}
	return share
}

// rotateRank shifts the ranks by a hash of the limit's key. Without it the lowest ranks would hold the remainders of
// all limits, and the highest ranks nothing where limits are below the number of instances.
func rotateRank(key string, live, rank int) int {
	live = max(live, 1)
	return int((uint64(rank) + xxhash.Sum64String(key)) % uint64(live))
}

// keyedShare returns the own part of the limit named by key, and false when there is no limit.
func (r *Router[P]) keyedShare(key string, limit int) (int, bool) {
	if limit <= 0 {
		return 0, false
	}
	return Share(limit, r.live, rotateRank(key, r.live, r.rank)), true
}

// bucket is a token bucket.
type bucket struct {
	tokens float64
	at     time.Time
}

// take refills the bucket and takes one token, or returns the time until there is one.
func (b *bucket) take(now time.Time, rate float64) (time.Duration, bool) {
	// At least one token fits in, or a rate below one per second would admit nothing.
	size := max(1, rate)
	if b.at.IsZero() {
		b.tokens = size
	} else if now.After(b.at) {
		b.tokens = min(size, b.tokens+rate*now.Sub(b.at).Seconds())
	}
	if b.at.Before(now) {
		b.at = now
	}
	if b.tokens >= 1 {
		b.tokens--
		return 0, true
	}
	return time.Duration((1 - b.tokens) / rate * float64(time.Second)), false
}

// caller holds what is counted of one caller.
type caller struct {
	bucket bucket
	// active counts the caller's requests that wait or are in flight.
	active int
}
