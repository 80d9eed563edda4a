package jujubenode_test

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	model "jujubepier.example/core/models/jujubemodel"
)

// lastClaim returns who claimed the lease last, and how many claims there were.
func (s *memoryStore) lastClaim() (holder model.InstanceID, claims int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, record := range s.logs["rollout/0"] {
		var claim model.LeaseRecord
		if json.Unmarshal(record.Value, &claim) == nil && claim.Claim {
			holder = claim.Holder
			claims++
		}
	}
	return holder, claims
}

// TestLeaderAfterOutage lets the instance that led before an outage of the log lead again, although others have lower
// names: a new one would have to wait for a lease time at each engine. Load pattern: steps that waited for the log all need
// newer weights at once.
func TestLeaderAfterOutage(t *testing.T) {
	s := newSite(t)
	_, last, _ := s.start("z")
	wait(t, "it leads", func() bool { holder, _ := s.store.lastClaim(); return holder == "z" })
	gates := []*gate{last}
	var nodes []func() bool
	for _, id := range []model.InstanceID{"a", "b", "c"} {
		node, g, _ := s.start(id)
		gates = append(gates, g)
		nodes = append(nodes, func() bool { return len(node.Addresses("dc")) == 4 })
	}
	for _, knowsAll := range nodes {
		wait(t, "all are known", knowsAll)
	}
	_, before := s.store.lastClaim()
	for _, g := range gates {
		g.set(true)
	}
	time.Sleep(4 * time.Second) // two lease times
	for _, g := range gates {
		g.set(false)
	}
	wait(t, "the lease is claimed again", func() bool { _, claims := s.store.lastClaim(); return claims > before })
	time.Sleep(2 * time.Second)
	holder, _ := s.store.lastClaim()
	assert.Equal(t, holder, model.InstanceID("z"))
}
