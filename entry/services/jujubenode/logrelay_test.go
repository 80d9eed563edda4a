package jujubenode_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubebatch"
	"jujubepier.example/entry/services/jujubenode"
)

// TestSharedReading runs twelve instances of which two are relays that read the log for the others. The others make no
// reads of their own, and all list the same results. When a relay is killed or is refused by the store, the others read
// from the store in the meantime. Without relays the heartbeats read by hundreds of instances exceed the store's read
// rate.
func TestSharedReading(t *testing.T) {
	cluster := newTestCluster(t)
	cluster.directReaders, cluster.sameDataCentre = 3, true
	var nodes []*jujubenode.Node
	var stores []*blockableStore
	var stops []func()
	for i := range 12 {
		node, store, stop := cluster.start(model.InstanceID(fmt.Sprintf("i%02d", i)))
		nodes, stores, stops = append(nodes, node), append(stores, store), append(stops, stop)
	}
	waitForMembers := func(count int) {
		t.Helper()
		for _, node := range nodes {
			waitFor(t, "all instances are alive", func() bool { return len(node.Addresses("dc")) == count })
		}
	}
	checkSubmission := func(id string, submitNode *jujubenode.Node) {
		t.Helper()
		waitFor(t, "the submission is accepted", func() bool { return submitNode.Submit(t.Context(), route, newSubmission(id, 8)) == nil })
		first := readAll(t, nodes[0], jujubebatch.SubmissionID(id))
		for _, node := range nodes[1:] {
			assert.DeepEqual(t, readAll(t, node, jujubebatch.SubmissionID(id)), first)
		}
	}
	waitForMembers(12)
	waitFor(t, "only the two relays read from the store for one second", func() bool {
		before := make([]int64, len(stores))
		for i, store := range stores {
			before[i] = store.reads.Load()
		}
		time.Sleep(time.Second)
		onlyRelaysRead := true
		for i, store := range stores {
			isRelay, reads := i == 0 || i == 8, store.reads.Load()-before[i]
			onlyRelaysRead = onlyRelaysRead && isRelay == (reads > 0)
		}
		return onlyRelaysRead
	})
	checkSubmission("s1", nodes[3])
	stores[8].setBlocked(true)
	checkSubmission("s2", nodes[9])
	stores[8].setBlocked(false)
	stops[0]()
	nodes = nodes[1:]
	checkSubmission("s3", nodes[3])
	waitForMembers(11)
	checkSubmission("s4", nodes[3])
}
