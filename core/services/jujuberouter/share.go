package jujuberouter

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Share returns the part of a limit that belongs to the instance with the given rank: the quotient limit/live, plus one for the
// lowest ranks until the remainder is used up. The shares of ranks 0 to live-1 add up to the limit.
func Share(limit, live, rank int) int {
	live = max(live, 1)
	share := limit / live
	if rank < limit%live {
		share++
	}
	return share
}

// rotateRank shifts the ranks by a hash of the limit's key. Otherwise the lowest ranks would get the remainders of all limits,
// and the highest ranks would get nothing of limits below the number of instances.
func rotateRank(key string, live, rank int) int {
	live = max(live, 1)
	return int((uint64(rank) + xxhash.Sum64String(key)) % uint64(live))
}

// ownShare returns this instance's share of the limit named by key, and false when there is no limit.
func (r *Router[P]) ownShare(key string, limit int) (int, bool) {
	if limit <= 0 {
		return 0, false
	}
	return Share(limit, r.liveCount, rotateRank(key, r.liveCount, r.rank)), true
}

// tokenBucket is a token bucket rate limiter with a capacity of one second of tokens, at least one.
type tokenBucket struct {
	tokens     float64
	refilledAt time.Time
}

// take refills the bucket and removes one token, or returns the time until one is available.
func (b *tokenBucket) take(now time.Time, rate float64) (time.Duration, bool) {
	// The capacity is at least one token; otherwise a rate below one per second would admit nothing.
	capacity := max(1, rate)
	if b.refilledAt.IsZero() {
		b.tokens = capacity
	} else if now.After(b.refilledAt) {
		b.tokens = min(capacity, b.tokens+rate*now.Sub(b.refilledAt).Seconds())
	}
	if b.refilledAt.Before(now) {
		b.refilledAt = now
	}
	if b.tokens >= 1 {
		b.tokens--
		return 0, true
	}
	return time.Duration((1 - b.tokens) / rate * float64(time.Second)), false
}

// callerState holds the rate limiter and the request count of one caller.
type callerState struct {
	bucket tokenBucket
	// active is the number of the caller's requests that wait or are in flight.
	active int
}
