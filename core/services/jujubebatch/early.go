package jujubebatch

import (
	"slices"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

// earlyMemory is how long an offer waits for its submission's record; a read of the log takes 0.4 s at most.
const earlyMemory = 3 * time.Second

// maxEarly bounds the offers of submissions whose records this instance hasn't read yet, which takes some 100 ms.
const maxEarly = 4096

// takeEarly keeps an offer until the submission's record is read.
func (b *Batches) takeEarly(now time.Time, offer Offer) bool {
	e, known := b.engines.Get(offer.Engine)
	if !known || len(b.early) >= maxEarly || b.earlyFor(offer.Engine)+e.planned >= e.limit() {
		return false
	}
	b.early = append(b.early, earlyOffer{offer, now})
	return true
}

type earlyOffer struct {
	Offer
	at time.Time
}

func (b *Batches) earlyFor(id model.EndpointID) int {
	count := 0
	for _, offer := range b.early {
		if offer.Engine == id {
			count++
		}
	}
	return count
}

// adoptEarly takes the offers that came before a submission's record.
func (b *Batches) adoptEarly(now time.Time, one *submission) {
	b.early = slices.DeleteFunc(b.early, func(early earlyOffer) bool {
		if early.Submission != one.ID {
			return false
		}
		if row, ok := one.items[early.Item]; ok && !row.adopted {
			b.adopt(now, row, early.Offer)
			if e, known := b.engines.Get(early.Engine); known && row.unscored == nil {
				b.plan(row, e)
			}
		}
		return true
	})
}
