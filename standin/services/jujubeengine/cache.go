package jujubeengine

import (
	"math/rand/v2"
	"slices"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

// keptEvents bounds the cache events that can be read.
const keptEvents = 4096

// prefixCache is the LRU cache of prompt prefixes and the log of its changes.
type prefixCache struct {
	size   int
	lag    time.Duration
	loss   float64
	random *rand.Rand
	// prefixes has the least recently used one first.
	prefixes []uint64
	seq      int64
	events   []timedEvent
}

type timedEvent struct {
	model.CacheEvent
	at time.Time
}

func newPrefixCache(settings Settings, incarnation int64) *prefixCache {
	return &prefixCache{
		size: settings.CachePrefixes, lag: settings.scaled(settings.CacheEventLag), loss: settings.CacheEventLoss,
		random: rand.New(rand.NewPCG(uint64(model.NewFingerprint(string(settings.ID))), 0)), seq: incarnation,
	}
}

// use looks a prompt up, stores it, and tells whether it was cached.
func (c *prefixCache) use(now time.Time, prompt string) bool {
	if c.size <= 0 {
		return false
	}
	prefix := model.HashPrefix(prompt)
	if at := slices.Index(c.prefixes, prefix); at >= 0 {
		c.prefixes = append(slices.Delete(c.prefixes, at, at+1), prefix)
		return true
	}
	if len(c.prefixes) >= c.size {
		c.record(now, c.prefixes[0], false)
		c.prefixes = c.prefixes[1:]
	}
	c.prefixes = append(c.prefixes, prefix)
	c.record(now, prefix, true)
	return false
}

// clear evicts everything; new weights make cached prefixes useless.
func (c *prefixCache) clear(now time.Time) {
	for _, prefix := range c.prefixes {
		c.record(now, prefix, false)
	}
	c.prefixes = nil
}

func (c *prefixCache) record(now time.Time, prefix uint64, stored bool) {
	c.seq++
	if c.random.Float64() < c.loss {
		return
	}
	event := model.CacheEvent{Seq: c.seq, Prefix: prefix, Stored: stored}
	c.events = append(c.events, timedEvent{CacheEvent: event, at: now})
	if len(c.events) > keptEvents {
		c.events = c.events[len(c.events)-keptEvents:]
	}
}

func (c *prefixCache) after(now time.Time, seq int64) []model.CacheEvent {
	events := []model.CacheEvent{}
	for _, event := range c.events {
		if event.Seq > seq && !event.at.After(now.Add(-c.lag)) {
			events = append(events, event.CacheEvent)
		}
	}
	return events
}
