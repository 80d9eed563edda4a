package jujubenode_test

import (
	"fmt"
	"testing"
	"time"

	"jujubepier.example/entry/services/jujubenode"

	model "jujubepier.example/core/models/jujubemodel"
)

// TestSimultaneousStart starts ten instances at once against a store that serves one page of the newest records every
// 150 ms, so 1.5 s for one page each; all must become ready. Hundreds of instances that restart after a power loss
// share the store's read rate, so its responses take longer than usual.
func TestSimultaneousStart(t *testing.T) {
	cluster := newTestCluster(t)
	cluster.store.pageRecords, cluster.store.pageTime = 4, 150*time.Millisecond
	var nodes []*jujubenode.Node
	for i := range 10 {
		node, _, _ := cluster.startUnready(model.InstanceID(fmt.Sprintf("i%d", i)))
		nodes = append(nodes, node)
	}
	for _, node := range nodes {
		waitFor(t, "the instance is ready", node.IsReady)
	}
}
