package jujubenode_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"jujubepier.example/entry/services/jujubenode"
)

// TestLoadsShareAppends announces a weight version for 400 engines. Half of them get the order to load it; each order's
// record is on the log before the order is sent, and there is at most one append for every four records. Guards against
// an append per engine, which exceeds the store's write limit with thousands of engines.
func TestLoadsShareAppends(t *testing.T) {
	cluster := newTestCluster(t)
	cluster.extraEngines = 398
	cluster.start("a")
	_, err := cluster.store.Append(t.Context(), topicDesired, 0, []jujubenode.Record{{Key: "weights", Value: []byte("2")}}, jujubenode.NoCondition)
	assert.NilError(t, err)
	waitFor(t, "half of the engines are ordered", func() bool { return cluster.engines.ordered.Load() >= 200 })
	cluster.store.mu.Lock()
	defer cluster.store.mu.Unlock()
	records, appends := len(cluster.store.logs["rollout/0"]), cluster.store.appends["rollout"]
	assert.Assert(t, records >= 200, "%d records", records)
	assert.Assert(t, 4*appends <= records, "%d appends of %d records", appends, records)
}
