package jujubenode_test

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	model "jujubepier.example/core/models/jujubemodel"
)

// lastLeaseClaim returns the instance that claimed the lease last, and the number of claims.
func (s *fakeStore) lastLeaseClaim() (holder model.InstanceID, claims int) {
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

// TestLeaderAfterOutage checks that the instance that led before an outage of the log leads again, although others have
// lower names. A new leader has to wait for a lease time at each engine, while the steps that waited for the log all
// need newer weights.
func TestLeaderAfterOutage(t *testing.T) {
	cluster := newTestCluster(t)
	_, leaderStore, _ := cluster.start("z")
	waitFor(t, "the instance leads", func() bool { holder, _ := cluster.store.lastLeaseClaim(); return holder == "z" })
	stores := []*blockableStore{leaderStore}
	var knowsAllFuncs []func() bool
	for _, id := range []model.InstanceID{"a", "b", "c"} {
		node, store, _ := cluster.start(id)
		stores = append(stores, store)
		knowsAllFuncs = append(knowsAllFuncs, func() bool { return len(node.Addresses("dc")) == 4 })
	}
	for _, knowsAll := range knowsAllFuncs {
		waitFor(t, "all instances are alive", knowsAll)
	}
	_, before := cluster.store.lastLeaseClaim()
	for _, store := range stores {
		store.setBlocked(true)
	}
	time.Sleep(4 * time.Second) // twice the lease TTL
	for _, store := range stores {
		store.setBlocked(false)
	}
	waitFor(t, "the lease is claimed again", func() bool { _, claims := cluster.store.lastLeaseClaim(); return claims > before })
	time.Sleep(2 * time.Second)
	holder, _ := cluster.store.lastLeaseClaim()
	assert.Equal(t, holder, model.InstanceID("z"))
}
