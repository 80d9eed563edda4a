package jujubeengine

import (
	"math/rand/v2"
	"slices"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

// maxRetainedEvents is the maximum number of cache events kept for GET /v1/cache-events; older ones are dropped.
const maxRetainedEvents = 4096

// prefixCache is an LRU cache of prompt prefixes with the list of its insertion and eviction events.
type prefixCache struct {
	capacity      int
	eventLag      time.Duration
	eventLossRate float64
	random        *rand.Rand
	// prefixes is ordered from the least to the most recently used.
	prefixes []uint64
	// lastSeq starts at the incarnation and also counts lost events, so a loss shows as a gap in the numbers.
	lastSeq int64
	events  []timedEvent
}

// timedEvent is a cache event and the time from which its lag counts.
type timedEvent struct {
	model.CacheEvent
	recordedAt time.Time
}

func newPrefixCache(settings Settings, incarnation int64) *prefixCache {
	return &prefixCache{
		capacity: settings.CachePrefixes, eventLag: settings.scaled(settings.CacheEventLag), eventLossRate: settings.CacheEventLoss,
		random: rand.New(rand.NewPCG(uint64(model.NewFingerprint(string(settings.ID))), 0)), lastSeq: incarnation,
	}
}

// lookupOrInsert makes the prompt's prefix the most recently used one and reports whether it was already cached.
// A miss inserts the prefix and evicts the least recently used one if the cache is full.
func (c *prefixCache) lookupOrInsert(now time.Time, prompt string) bool {
	if c.capacity <= 0 {
		return false
	}
	prefix := model.HashPrefix(prompt)
	if index := slices.Index(c.prefixes, prefix); index >= 0 {
		c.prefixes = append(slices.Delete(c.prefixes, index, index+1), prefix)
		return true
	}
	if len(c.prefixes) >= c.capacity {
		c.recordEvent(now, c.prefixes[0], false)
		c.prefixes = c.prefixes[1:]
	}
	c.prefixes = append(c.prefixes, prefix)
	c.recordEvent(now, prefix, true)
	return false
}

// evictAll empties the cache after a swap: prefixes computed with the old weights can't be reused.
func (c *prefixCache) evictAll(now time.Time) {
	for _, prefix := range c.prefixes {
		c.recordEvent(now, prefix, false)
	}
	c.prefixes = nil
}

// recordEvent numbers an event and appends it to the event list, unless the configured loss drops it.
func (c *prefixCache) recordEvent(now time.Time, prefix uint64, stored bool) {
	c.lastSeq++
	if c.random.Float64() < c.eventLossRate {
		return
	}
	event := model.CacheEvent{Seq: c.lastSeq, Prefix: prefix, Stored: stored}
	c.events = append(c.events, timedEvent{CacheEvent: event, recordedAt: now})
	if len(c.events) > maxRetainedEvents {
		c.events = c.events[len(c.events)-maxRetainedEvents:]
	}
}

// eventsAfter returns the events with a higher number than seq that are at least eventLag old.
func (c *prefixCache) eventsAfter(now time.Time, seq int64) []model.CacheEvent {
	events := []model.CacheEvent{}
	for _, event := range c.events {
		if event.Seq > seq && !event.recordedAt.After(now.Add(-c.eventLag)) {
			events = append(events, event.CacheEvent)
		}
	}
	return events
}
