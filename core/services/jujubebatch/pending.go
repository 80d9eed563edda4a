package jujubebatch

import (
	"slices"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

// pendingOfferTimeout is how long an offer waits for its submission's record and the desired state under which it was accepted.
// Reading the log takes at most 0.4 s.
const pendingOfferTimeout = 3 * time.Second

// maxPendingOffers limits the pending offers; reading what they wait for takes some 100 ms.
const maxPendingOffers = 4096

// addPendingOffer keeps an offer until the submission's record and its desired state have been read.
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

func (s *Scheduler) hasPendingOffer(ref ItemRef) bool {
	return slices.ContainsFunc(s.pendingOffers, func(offer pendingOffer) bool {
		return offer.Submission == ref.Submission && offer.Item == ref.Item
	})
}

// acceptPendingOffers accepts the offers for submissions on which this instance can decide now.
func (s *Scheduler) acceptPendingOffers(now time.Time) {
	s.pendingOffers = slices.DeleteFunc(s.pendingOffers, func(offer pendingOffer) bool {
		submission, ok := s.submissions.Get(offer.Submission)
		if !ok || !s.mayDecide(submission) {
			return false
		}
		if item, ok := submission.find(offer.Item); ok && !item.delegatedHere && !item.isSettled() {
			s.acceptDelegation(now, item, offer.Offer)
			s.unassign(item)
			if e, known := s.engines.Get(offer.Engine); known && item.unscored == nil {
				s.assign(item, e)
			}
		}
		return true
	})
}
