package jujubenode_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/entry/services/jujubenode"
)

// maxApplyTime is the time in which a change of the desired state has to be in force.
const maxApplyTime = 2 * time.Second

// hasRoute reports whether an instance has the route that version 2 adds, and whether it denies that there is one.
func hasRoute(ctx context.Context, node *jujubenode.Node) (found, denied bool) {
	_, err := node.MatchRoute(ctx, "h", "/added/x")
	return err == nil, errors.As(err, new(jujubenode.ErrNoRoute))
}

// TestDesiredStateOverSilentPaths guards against a change that is in force too late because the store has stopped to answer this
// instance and others while it answers the rest: each try that gets no response takes its time.
func TestDesiredStateOverSilentPaths(t *testing.T) {
	for silent := 1; silent <= 5; silent++ {
		t.Run(fmt.Sprintf("%d of 7 instances", silent), func(t *testing.T) {
			cluster := newTestCluster(t)
			var nodes []*jujubenode.Node
			var stores []*blockableStore
			for i := range 7 {
				node, store, _ := cluster.start(model.InstanceID(fmt.Sprint("i", i)))
				nodes, stores = append(nodes, node), append(stores, store)
			}
			waitFor(t, "all instances are alive", func() bool { return len(nodes[0].Addresses("dc")) == 7 })
			for _, store := range stores[:silent] {
				store.setHold(loseResponse)
			}
			cluster.publish("desired", "2")
			publishedAt := time.Now()
			for i, node := range nodes {
				for found := false; !found; time.Sleep(5 * time.Millisecond) {
					found, _ = hasRoute(t.Context(), node)
					assert.Assert(t, found || time.Since(publishedAt) < maxApplyTime, "instance %d hasn't applied the change after %v", i, time.Since(publishedAt))
				}
			}
		})
	}
}
