package jujubebatch

import (
	"slices"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

// pendingOfferTimeout is how long an offer waits for its submission's record. Reading the log takes at most 0.4 s.
const pendingOfferTimeout = 3 * time.Second

// maxPendingOffers limits the offers for submissions whose records this instance hasn't read yet; reading them takes some
// 100 ms.
const maxPendingOffers = 4096

// addPendingOffer keeps an offer until the submission's record has been read.
func (b *Batches) addPendingOffer(now time.Time, offer Offer) bool {
	e, known := b.engines.Get(offer.Engine)
	if !known || len(b.pendingOffers) >= maxPendingOffers || b.countPendingOffers(offer.Engine)+e.assigned >= e.maxAssigned() {
		return false
	}
	b.pendingOffers = append(b.pendingOffers, pendingOffer{offer, now})
	return true
}

type pendingOffer struct {
	Offer
	receivedAt time.Time
}

func (b *Batches) countPendingOffers(id model.EndpointID) int {
	count := 0
	for _, offer := range b.pendingOffers {
		if offer.Engine == id {
			count++
		}
	}
	return count
}

// acceptPendingOffers accepts the offers that arrived before the submission's record.
func (b *Batches) acceptPendingOffers(now time.Time, submission *submission) {
	b.pendingOffers = slices.DeleteFunc(b.pendingOffers, func(offer pendingOffer) bool {
		if offer.Submission != submission.ID {
			return false
		}
		if item, ok := submission.items[offer.Item]; ok && !item.delegatedHere {
			b.acceptDelegation(now, item, offer.Offer)
			if e, known := b.engines.Get(offer.Engine); known && item.unscored == nil {
				b.assign(item, e)
			}
		}
		return true
	})
}
