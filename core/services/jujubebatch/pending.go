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
func (s *Scheduler) addPendingOffer(now time.Time, offer Offer) bool {
	e, known := s.engines.Get(offer.Engine)
	if !known || len(s.pendingOffers) >= maxPendingOffers || s.countPendingOffers(offer.Engine)+e.assigned >= s.maxAssigned(e) {
		return false
	}
	s.pendingOffers = append(s.pendingOffers, pendingOffer{offer, now})
	return true
}

type pendingOffer struct {
	Offer
	receivedAt time.Time
}

func (s *Scheduler) countPendingOffers(id model.EndpointID) int {
	count := 0
	for _, offer := range s.pendingOffers {
		if offer.Engine == id {
			count++
		}
	}
	return count
}

// acceptPendingOffers accepts the offers that arrived before the submission's record.
func (s *Scheduler) acceptPendingOffers(now time.Time, submission *submission) {
	s.pendingOffers = slices.DeleteFunc(s.pendingOffers, func(offer pendingOffer) bool {
		if offer.Submission != submission.ID {
			return false
		}
		if item, ok := submission.items[offer.Item]; ok && !item.delegatedHere {
			s.acceptDelegation(now, item, offer.Offer)
			if e, known := s.engines.Get(offer.Engine); known && item.unscored == nil {
				s.assign(item, e)
			}
		}
		return true
	})
}
