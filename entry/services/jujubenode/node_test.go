package jujubenode_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubepier.example/core/services/jujubebatch"
	"jujubepier.example/entry/services/jujubenode"
)

// TestSubmissionAtTwoInstances sends the same submission to two instances concurrently. Both accept it, each item has
// one position, and both instances list the same results in the same order.
func TestSubmissionAtTwoInstances(t *testing.T) {
	cluster := newTestCluster(t)
	a, _, _ := cluster.start("a")
	b, _, _ := cluster.start("b")
	errs := make(chan error, 2)
	for _, node := range []*jujubenode.Node{a, b} {
		go func() { errs <- node.Submit(t.Context(), route, newSubmission("s1", 10)) }()
	}
	assert.NilError(t, <-errs)
	assert.NilError(t, <-errs)
	first := readAll(t, a, "s1")
	assert.Equal(t, len(first), 10)
	assert.DeepEqual(t, readAll(t, b, "s1"), first)
	for _, result := range first {
		assert.Equal(t, result.State, jujubebatch.Completed)
		id := string(result.Item)
		assert.Equal(t, result.Text, id+".1\n"+id+".2\n"+id+".3")
	}
}

// TestAllInstancesLost checks that after all instances were killed the same results are at the same positions, and that
// the items without a result are run. This happens if all machines lose power right after a submission was accepted.
func TestAllInstancesLost(t *testing.T) {
	cluster := newTestCluster(t)
	a, _, stopA := cluster.start("a")
	_, _, stopB := cluster.start("b")
	assert.NilError(t, a.Submit(t.Context(), route, newSubmission("s1", 6)))
	before := readAll(t, a, "s1")
	cluster.engines.mu.Lock()
	cluster.engines.hold = make(chan struct{})
	cluster.engines.mu.Unlock()
	assert.NilError(t, a.Submit(t.Context(), route, newSubmission("s2", 6)))
	waitFor(t, "the items run", func() bool { return cluster.engines.count("s2-0") > 0 })
	stopA()
	stopB()
	close(cluster.engines.hold)
	restarted, _, _ := cluster.start("a")
	assert.DeepEqual(t, readAll(t, restarted, "s1"), before)
	assert.Equal(t, len(readAll(t, restarted, "s2")), 6)
	body, err := restarted.ItemBody(t.Context(), "s2", "s2-4")
	assert.NilError(t, err)
	assert.DeepEqual(t, body, []byte{4})
	_, err = restarted.ReadResults(t.Context(), "s3", 0, 0)
	assert.ErrorType(t, err, jujubenode.ErrUnknownSubmission{})
}

// TestEndStopsRuns ends a submission at one instance and checks that its runs on the other instance stop.
func TestEndStopsRuns(t *testing.T) {
	cluster := newTestCluster(t)
	cluster.engines.hold = make(chan struct{})
	a, _, _ := cluster.start("a")
	b, _, _ := cluster.start("b")
	waitFor(t, "both instances are alive", func() bool { return len(a.Addresses("dc")) == 2 })
	assert.NilError(t, a.Submit(t.Context(), route, newSubmission("s1", 8)))
	waitFor(t, "both instances run items", func() bool { return a.RunsInFlight() > 0 && b.RunsInFlight() > 0 })
	assert.NilError(t, a.EndSubmission(t.Context(), "s1"))
	assert.NilError(t, b.EndSubmission(t.Context(), "s1"))
	waitFor(t, "no item runs", func() bool { return a.RunsInFlight()+b.RunsInFlight() == 0 })
}

// TestStoreUnreachableForOneInstance lets the store refuse the calls of one instance, which must accept and run
// submissions through the other one.
func TestStoreUnreachableForOneInstance(t *testing.T) {
	cluster := newTestCluster(t)
	a, _, _ := cluster.start("a")
	b, store, _ := cluster.start("b")
	waitFor(t, "both instances are alive", func() bool { return len(a.Addresses("dc")) == 2 && len(b.Addresses("dc")) == 2 })
	store.setBlocked(true)
	waitFor(t, "a submission is accepted", func() bool { return b.Submit(t.Context(), route, newSubmission("s1", 8)) == nil })
	assert.DeepEqual(t, readAll(t, b, "s1"), readAll(t, a, "s1"))
	store.setBlocked(false)
	assert.NilError(t, b.Submit(t.Context(), route, newSubmission("s2", 2)))
	assert.Equal(t, len(readAll(t, b, "s2")), 2)
}

// TestLeavingWhileStoreIsAway checks that a leaving instance hands over what it couldn't write to another one, which
// writes it when the store is available again, and that no item runs twice. This happens in a rolling restart while the
// store is down.
func TestLeavingWhileStoreIsAway(t *testing.T) {
	cluster := newTestCluster(t)
	cluster.engines.hold = make(chan struct{})
	a, storeA, _ := cluster.start("a")
	b, storeB, _ := cluster.start("b")
	waitFor(t, "both instances are alive", func() bool { return len(a.Addresses("dc")) == 2 && len(b.Addresses("dc")) == 2 })
	assert.NilError(t, a.Submit(t.Context(), route, newSubmission("s1", 8)))
	waitFor(t, "both instances run items", func() bool { return a.RunsInFlight() == 4 && b.RunsInFlight() == 4 })
	storeA.setBlocked(true)
	storeB.setBlocked(true)
	close(cluster.engines.hold)
	waitFor(t, "all runs end", func() bool { return a.RunsInFlight()+b.RunsInFlight() == 0 })
	cluster.leave("b")
	storeA.setBlocked(false)
	assert.Equal(t, len(readAll(t, a, "s1")), 8)
	for _, item := range newSubmission("s1", 8).Items {
		assert.Equal(t, cluster.engines.count(item.ID), 1, "%s", item.ID)
	}
}

// TestClockStepsBack restarts an instance with its clock set back. It must count as alive again, although its start
// time is before that of its previous incarnation. Its first heartbeat, which replaces the record of the previous
// incarnation, waits until that record has been read.
func TestClockStepsBack(t *testing.T) {
	cluster := newTestCluster(t)
	a, _, _ := cluster.start("a")
	_, _, stop := cluster.start("b")
	waitFor(t, "both instances are alive", func() bool { return len(a.Addresses("dc")) == 2 })
	stop()
	waitFor(t, "one instance is gone", func() bool { return len(a.Addresses("dc")) == 1 })
	cluster.clockLag = time.Minute
	cluster.store.mu.Lock()
	cluster.store.newestDelay = 200 * time.Millisecond
	cluster.store.mu.Unlock()
	cluster.start("b")
	waitFor(t, "both instances are alive again", func() bool { return len(a.Addresses("dc")) == 2 })
}

// TestReadWhileStoreIsAway reads results at an instance that hasn't cached their texts while no instance can reach the
// store. The texts come from the instance that wrote them. This happens when the store is down while trainers wait for
// their last groups.
func TestReadWhileStoreIsAway(t *testing.T) {
	cluster := newTestCluster(t)
	a, storeA, _ := cluster.start("a")
	b, storeB, _ := cluster.start("b")
	waitFor(t, "both instances are alive", func() bool { return len(a.Addresses("dc")) == 2 && len(b.Addresses("dc")) == 2 })
	assert.NilError(t, a.Submit(t.Context(), route, newSubmission("s1", 8)))
	// Both instances list all results, but have read only the text of the last one.
	for _, node := range []*jujubenode.Node{a, b} {
		waitFor(t, "all are listed", func() bool {
			page, err := node.ReadResults(t.Context(), "s1", 7, 0)
			return err == nil && len(page.Results) == 1
		})
	}
	storeA.setBlocked(true)
	storeB.setBlocked(true)
	assert.Equal(t, len(readAll(t, b, "s1")), 8)
	body, err := b.ItemBody(t.Context(), "s1", "s1-3")
	assert.NilError(t, err)
	assert.DeepEqual(t, body, []byte{3})
}
