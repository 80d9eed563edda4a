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

// leavePropagation is how long other instances may still include one that has announced its shutdown in their address
// responses: gossip updates reach all instances within 3 s.
const leavePropagation = 3 * time.Second

// clockSkew is the largest supported difference between the clocks of two instances. Key prefixes are issued with a time
// this far in the past: an owner whose clock is behind would otherwise reject a prefix that another instance issued on its
// behalf, because the prefix would lie in the future, and would not run the call.
const clockSkew = 30 * time.Second

// Addresses returns the instances that a caller should use, in order of preference.
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

// readLimits returns the limits in force. Before a configuration has been received, no model, service or trainer can be
// looked up. That doesn't mean that a name doesn't exist, so the request is refused as retryable on another instance.
func (s *Service) readLimits() (model.Limits, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	limits := s.core.Limits()
	if limits.Revision == 0 {
		return limits, errNotReady()
	}
	return limits, nil
}

// rankAddresses orders the instances for a caller by rendezvous hashing: those in its data centre first, and within a data
// centre by a hash of caller and instance, so that callers are spread evenly and a caller's order changes little when an
// instance is removed.
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
	hash := func(a model.EntryAddress) uint64 {
		return xxhash.Sum64String(string(caller) + "\x00" + string(a.Instance))
	}
	slices.SortFunc(addresses, func(a, b model.EntryAddress) int {
		if order := compareTrueFirst(a.DataCentre == dataCentre, b.DataCentre == dataCentre); order != 0 {
			return order
		}
		if hashA, hashB := hash(a), hash(b); hashA != hashB {
			return compareTrueFirst(hashA > hashB, hashB > hashA)
		}
		return strings.Compare(string(a.Instance), string(b.Instance))
	})
	return addresses
}

// compareTrueFirst is a comparison function that sorts true before false.
func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}
