package jujubenode_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"jujubepier.example/entry/services/jujubenode"
)

// TestLoadsShareAppends names weights for 400 engines. Half of them are ordered to load them, each order is on the log before
// it is given, and there is an append for every fourth order at most. Load pattern: a version for thousands of engines,
// which would take more than the store's writes with an append for each of them.
func TestLoadsShareAppends(t *testing.T) {
	s := newSite(t)
	s.more = 398
	s.start("a")
	_, err := s.store.Append(t.Context(), topicDesired, 0, []jujubenode.Record{{Key: "weights", Value: []byte("2")}}, jujubenode.NoCondition)
	assert.NilError(t, err)
	wait(t, "half of the engines are ordered", func() bool { return s.engines.ordered.Load() >= 200 })
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	records, appends := len(s.store.logs["rollout/0"]), s.store.appends["rollout"]
	assert.Assert(t, records >= 200, "%d records", records)
	assert.Assert(t, 4*appends <= records, "%d appends of %d records", appends, records)
}
