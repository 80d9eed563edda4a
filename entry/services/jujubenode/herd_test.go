package jujubenode_test

import (
	"fmt"
	"testing"
	"time"

	"jujubepier.example/entry/services/jujubenode"

	model "jujubepier.example/core/models/jujubemodel"
)

// TestHerdStart starts ten instances at once at a store that answers one page of the newest records each 150 ms, 1.5 s for
// a page each: all become ready. Load pattern: hundreds of instances lose power together and share the store's reading rate
// when they start, so that an answer takes longer than it does by day.
func TestHerdStart(t *testing.T) {
	s := newSite(t)
	s.store.pageRecords, s.store.pageTime = 4, 150*time.Millisecond
	var nodes []*jujubenode.Node
	for i := range 10 {
		node, _, _ := s.launch(model.InstanceID(fmt.Sprintf("i%d", i)))
		nodes = append(nodes, node)
	}
	for _, node := range nodes {
		wait(t, "the instance is ready", node.IsReady)
	}
}
