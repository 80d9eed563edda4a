package jujubenode_test

import (
	"encoding/hex"
	"math/rand"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubepier.example/core/services/jujubebatch"
)

// TestLargeTextHoldsUpNobody lists the other items of a submission when a text is larger than the store takes in one append.
// Load pattern: an engine in trouble makes events without end.
func TestLargeTextHoldsUpNobody(t *testing.T) {
	s := newSite(t)
	data := make([]byte, 500<<10)
	_, err := rand.New(rand.NewSource(1)).Read(data)
	assert.NilError(t, err)
	s.engines.large = map[jujubebatch.ItemID]string{"s1-0": hex.EncodeToString(data)} // three events of it, 1.5 MB compressed
	a, _, _ := s.start("a")
	assert.NilError(t, a.Submit(t.Context(), route, newSubmission("s1", 5)))
	listed := 0
	wait(t, "the other items", func() bool {
		page, err := a.Read(t.Context(), "s1", 0, 0)
		listed = len(page.Results)
		return err == nil && listed == 4
	})
	time.Sleep(500 * time.Millisecond)
	assert.Assert(t, s.engines.count("s1-0") <= 2, "the item is run %d times in a moment", s.engines.count("s1-0"))
}
