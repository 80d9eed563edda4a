package jujuberouter

import (
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

// prefixes remembers what an endpoint caches, from its events and from own dispatches.
type prefixes struct {
	// used maps each known prefix to its latest use; it has the same keys as order.
	used map[uint64]time.Time
	// order holds the prefixes in the order in which they became known.
	order []uint64
	// seq is the number of the latest event.
	seq int64
}

func (p *prefixes) has(prefix uint64) bool {
	_, ok := p.used[prefix]
	return prefix != 0 && ok
}

func (p *prefixes) add(now time.Time, prefix uint64, bound int) {
	if prefix == 0 {
		return
	}
	if p.used == nil {
		p.used = make(map[uint64]time.Time)
	}
	if _, ok := p.used[prefix]; !ok {
		if len(p.order) >= bound {
			delete(p.used, p.order[0])
			p.order = append(p.order[:0], p.order[1:]...)
		}
		p.order = append(p.order, prefix)
	}
	p.used[prefix] = now
}

// forget removes the prefixes for which drop is true.
func (p *prefixes) forget(drop func(uint64) bool) {
	kept := p.order[:0]
	for _, prefix := range p.order {
		if drop(prefix) {
			delete(p.used, prefix)
		} else {
			kept = append(kept, prefix)
		}
	}
	p.order = kept
}

// apply adds events. After a gap any older prefix may have been evicted; only those used lately are kept, because an
// engine evicts the least recently used first.
func (p *prefixes) apply(now time.Time, events []model.CacheEvent, settings Settings) {
	for _, event := range events {
		if event.Seq <= p.seq {
			continue
		}
		if event.Seq > p.seq+1 {
			p.forget(func(prefix uint64) bool { return now.Sub(p.used[prefix]) > settings.CacheRecent })
		}
		p.seq = event.Seq
		if event.Stored {
			p.add(now, event.Prefix, settings.Prefixes)
		} else if p.has(event.Prefix) {
			p.forget(func(prefix uint64) bool { return prefix == event.Prefix })
		}
	}
}
