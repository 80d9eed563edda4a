package jujubenode_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubepier.example/core/services/jujubebatch"
	"jujubepier.example/entry/services/jujubenode"
)

// TestStoreReturns simulates store outages of two seconds for all instances and checks how soon the results produced
// during an outage are listed afterwards: within 0.25 s in half of the tries, which is half of the time between two
// reads of a trainer. This matters when the store becomes available shortly before the last items of a step are due.
func TestStoreReturns(t *testing.T) {
	cluster := newTestCluster(t)
	a, storeA, _ := cluster.start("a")
	b, storeB, _ := cluster.start("b")
	waitFor(t, "both instances are alive", func() bool { return len(a.Addresses("dc")) == 2 && len(b.Addresses("dc")) == 2 })
	var durations []time.Duration
	for _, id := range []string{"s1", "s2", "s3", "s4", "s5"} {
		cluster.engines.mu.Lock()
		cluster.engines.hold = make(chan struct{})
		hold := cluster.engines.hold
		cluster.engines.mu.Unlock()
		waitFor(t, "the submission is accepted", func() bool { return a.Submit(t.Context(), route, newSubmission(id, 8)) == nil })
		waitFor(t, "all items run", func() bool { return a.RunsInFlight()+b.RunsInFlight() == 8 })
		storeA.setBlocked(true)
		storeB.setBlocked(true)
		close(hold)
		time.Sleep(2 * time.Second)
		restoredAt := time.Now()
		storeA.setBlocked(false)
		storeB.setBlocked(false)
		for _, node := range []*jujubenode.Node{a, b} {
			readAll(t, node, jujubebatch.SubmissionID(id))
		}
		durations = append(durations, time.Since(restoredAt))
	}
	slices.Sort(durations)
	assert.Assert(t, durations[2] < 250*time.Millisecond, "%s", durations)
}
