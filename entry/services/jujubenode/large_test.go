package jujubenode_test

import (
	"encoding/hex"
	"math/rand"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubepier.example/core/services/jujubebatch"
)

// TestLargeTextDoesNotBlockOthers guards against a text that exceeds the store's append limit and blocks the other
// items of its submission. A faulty engine that never stops producing events causes such a text.
func TestLargeTextDoesNotBlockOthers(t *testing.T) {
	cluster := newTestCluster(t)
	data := make([]byte, 500<<10)
	_, err := rand.New(rand.NewSource(1)).Read(data)
	assert.NilError(t, err)
	cluster.engines.large = map[jujubebatch.ItemID]string{"s1-0": hex.EncodeToString(data)} // as three events, 1.5 MB compressed
	a, _, _ := cluster.start("a")
	assert.NilError(t, a.Submit(t.Context(), route, newSubmission("s1", 5)))
	listed := 0
	waitFor(t, "the other items", func() bool {
		page, err := a.ReadResults(t.Context(), "s1", 0, 0)
		listed = len(page.Results)
		return err == nil && listed == 4
	})
	time.Sleep(500 * time.Millisecond)
	assert.Assert(t, cluster.engines.count("s1-0") <= 2, "the item was run %d times within 500 ms", cluster.engines.count("s1-0"))
}
