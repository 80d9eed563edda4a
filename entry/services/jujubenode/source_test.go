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

// TestSharedReading runs twelve instances of which two read the log and the others share what they have read: the others make
// no reads of their own, all list the same results, also after a source was killed or is turned away by the store, and the
// others read themselves in the meantime. Load pattern: hundreds of instances that each read all heartbeats exceed the store's
// reading rate.
func TestSharedReading(t *testing.T) {
	s := newSite(t)
	s.directReaders, s.sameDataCentre = 3, true
	var nodes []*jujubenode.Node
	var gates []*gate
	var stops []func()
	for i := range 12 {
		node, g, stop := s.start(model.InstanceID(fmt.Sprintf("i%02d", i)))
		nodes, gates, stops = append(nodes, node), append(gates, g), append(stops, stop)
	}
	known := func(count int) {
		t.Helper()
		for _, node := range nodes {
			wait(t, "all are known", func() bool { return len(node.Addresses("dc")) == count })
		}
	}
	listed := func(id string, at *jujubenode.Node) {
		t.Helper()
		wait(t, "the submission is accepted", func() bool { return at.Submit(t.Context(), route, newSubmission(id, 8)) == nil })
		first := readAll(t, nodes[0], jujubebatch.SubmissionID(id))
		for _, node := range nodes[1:] {
			assert.DeepEqual(t, readAll(t, node, jujubebatch.SubmissionID(id)), first)
		}
	}
	known(12)
	wait(t, "two read and the others don't, for a second", func() bool {
		before := make([]int64, len(gates))
		for i, g := range gates {
			before[i] = g.reads.Load()
		}
		time.Sleep(time.Second)
		asExpected := true
		for i, g := range gates {
			isSource, made := i == 0 || i == 8, g.reads.Load()-before[i]
			asExpected = asExpected && isSource == (made > 0)
		}
		return asExpected
	})
	listed("s1", nodes[3])
	gates[8].set(true)
	listed("s2", nodes[9])
	gates[8].set(false)
	stops[0]()
	nodes = nodes[1:]
	listed("s3", nodes[3])
	known(11)
	listed("s4", nodes[3])
}
