package jujuberouter

import (
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

// prefixCache tracks the prompt prefixes that an endpoint caches, from its cache events and from this instance's dispatches.
type prefixCache struct {
	// lastUse maps each cached prefix to its last use. Its keys are those in order.
	lastUse map[uint64]time.Time
	// order holds the prefixes in order of insertion, oldest first.
	order []uint64
	// lastSeq is the sequence number of the last applied event.
	lastSeq int64
}

func (p *prefixCache) has(prefix uint64) bool {
	_, ok := p.lastUse[prefix]
	return prefix != 0 && ok
}

// add records a use of a prefix. When the cache holds limit prefixes, the oldest entry is evicted.
func (p *prefixCache) add(now time.Time, prefix uint64, limit int) {
	if prefix == 0 {
		return
	}
	if p.lastUse == nil {
		p.lastUse = make(map[uint64]time.Time)
	}
	if _, ok := p.lastUse[prefix]; !ok {
		if len(p.order) >= limit {
			delete(p.lastUse, p.order[0])
			p.order = append(p.order[:0], p.order[1:]...)
		}
		p.order = append(p.order, prefix)
	}
	p.lastUse[prefix] = now
}

// removeIf removes the prefixes for which remove returns true.
func (p *prefixCache) removeIf(remove func(uint64) bool) {
	kept := p.order[:0]
	for _, prefix := range p.order {
		if remove(prefix) {
			delete(p.lastUse, prefix)
		} else {
			kept = append(kept, prefix)
		}
	}
	p.order = kept
}

// apply applies cache events. A gap in the sequence numbers may hide evictions of any older prefix, so only the recently used
// prefixes are kept: an engine evicts the least recently used first.
func (p *prefixCache) apply(now time.Time, events []model.CacheEvent, settings Settings) {
	for _, event := range events {
		if event.Seq <= p.lastSeq {
			continue
		}
		if event.Seq > p.lastSeq+1 {
			p.removeIf(func(prefix uint64) bool { return now.Sub(p.lastUse[prefix]) > settings.CacheGapRetention })
		}
		p.lastSeq = event.Seq
		if event.Stored {
			p.add(now, event.Prefix, settings.MaxPrefixes)
		} else if p.has(event.Prefix) {
			p.removeIf(func(prefix uint64) bool { return prefix == event.Prefix })
		}
	}
}
