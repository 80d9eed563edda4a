package jujubeentry

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeerror"
	"jujubepier.example/core/services/jujubeclaim"
)

// leavePropagation is how long other instances may go on naming one that has announced its shutdown: rumours reach all
// within 3 s.
const leavePropagation = 3 * time.Second

// clockSkew is how far the clocks of two instances may differ: an owner whose clock is behind would take a prefix that
// another instance issued for it as one from the future and run nothing.
const clockSkew = 30 * time.Second

// Addresses tells a caller which instances to use.
func (s *Service) Addresses(caller model.CallerID, dataCentre model.DataCentre) (model.AddressAnswer, error) {
	s.mu.Lock()
	ready, members := s.core.IsReady(), s.core.Members()
	s.mu.Unlock()
	addresses := s.rankAddresses(members, caller, dataCentre)
	if len(addresses) == 0 || (!ready && !s.isLeaving()) {
		return model.AddressAnswer{}, errNotReady()
	}
	return model.AddressAnswer{
		Addresses: addresses, ValidFor: model.Duration(s.settings.AddressValidity), StepParts: len(addresses),
	}, nil
}

func errNotReady() error {
	return jujubeerror.ErrRefused{
		Code: jujubeerror.CodeNotReady, Ran: model.RanNo, RetryAfter: time.Second, Message: "no configuration is known yet",
	}
}

// readLimits returns the limits in force. Without a configuration no name is known, which doesn't mean that it doesn't
// exist, so the request is refused as one to repeat elsewhere.
func (s *Service) readLimits() (model.Limits, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	limits := s.core.Limits()
	if limits.Revision == 0 {
		return limits, errNotReady()
	}
	return limits, nil
}

// rankAddresses orders the instances for a caller: those in its data centre first, and within a data centre by a hash
// of caller and instance, so that callers spread evenly and a caller's order changes little when one instance goes.
func (s *Service) rankAddresses(members []model.Member, caller model.CallerID, dataCentre model.DataCentre) []model.EntryAddress {
	now := time.Now()
	addresses := make([]model.EntryAddress, 0, len(members))
	for _, member := range members {
		if member.State != model.MemberAlive || (member.ID == s.self.ID && s.isLeaving()) {
			continue
		}
		addresses = append(addresses, model.EntryAddress{
			Instance: member.ID, Address: member.CallerAddress, DataCentre: member.DataCentre,
			KeyPrefix: jujubeclaim.Prefix{Instance: member.ID, Incarnation: member.Incarnation, Issued: now.Add(-clockSkew).Unix()}.String(),
		})
	}
	weight := func(a model.EntryAddress) uint64 {
		return xxhash.Sum64String(string(caller) + "\x00" + string(a.Instance))
	}
	slices.SortFunc(addresses, func(a, b model.EntryAddress) int {
		if near := boolOrder(a.DataCentre == dataCentre, b.DataCentre == dataCentre); near != 0 {
			return near
		}
		if wa, wb := weight(a), weight(b); wa != wb {
			return boolOrder(wa > wb, wb > wa)
		}
		return strings.Compare(string(a.Instance), string(b.Instance))
	})
	return addresses
}

// boolOrder sorts true before false.
func boolOrder(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}
