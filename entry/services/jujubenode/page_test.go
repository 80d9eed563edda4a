package jujubenode_test

import (
	"encoding/hex"
	"fmt"
	"math/rand"
	"testing"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubebatch"
	"jujubepier.example/entry/services/jujubenode"
)

// writeInterleavedTexts writes submissions with all their results to the log, with the texts of the submissions
// interleaved, and returns the ids of the submissions.
func (c *testCluster) writeInterleavedTexts(submissions, items, textBytes int) (ids []jujubebatch.SubmissionID) {
	c.t.Helper()
	const part = 0
	for i := 0; len(ids) < submissions; i++ {
		if id := fmt.Sprintf("s%d", i); xxhash.Sum64String(id)%2 == part {
			ids = append(ids, jujubebatch.SubmissionID(id))
		}
	}
	codec := jujubebatch.NewCodec()
	write := func(topic string, value any) int64 {
		parts, err := codec.EncodeBlob(value, 1<<16)
		assert.NilError(c.t, err)
		offset, err := c.store.Append(c.t.Context(), jujubenode.Topic{Name: topic}, part, []jujubenode.Record{{Value: parts[0]}}, jujubenode.NoCondition)
		assert.NilError(c.t, err)
		return offset
	}
	random := rand.New(rand.NewSource(1))
	var results []*jujubebatch.Result
	for j := range items {
		for _, id := range ids {
			data := make([]byte, textBytes/2)
			_, err := random.Read(data)
			assert.NilError(c.t, err)
			text := hex.EncodeToString(data)
			records, err := codec.EncodeBlob(text, 1<<16)
			assert.NilError(c.t, err)
			results = append(results, &jujubebatch.Result{
				Submission: id, Item: jujubebatch.ItemID(fmt.Sprintf("%s-%d", id, j)), State: jujubebatch.Completed, TextBytes: len(text) + 2, By: "gone",
				Data: jujubebatch.Pointer{Offset: write("texts", text), Count: 1, Size: len(records[0])}, Versions: []model.WeightVersion{1},
			})
		}
	}
	for _, id := range ids {
		write("submissions", jujubebatch.Entry{Submission: newSubmission(string(id), items)})
	}
	for _, result := range results {
		write("submissions", jujubebatch.Entry{Result: result})
	}
	return ids
}

// TestScatteredTexts reads the texts of one response at an instance that has none of them cached, with the texts of 39
// other submissions between them. The store serves 80 MB a second to all readers, and the four trainers of the target
// read twice a second, so a response may cost 10 MB. This happens when trainers continue to read after hundreds of
// instances have lost power.
func TestScatteredTexts(t *testing.T) {
	const submissions, items, textBytes, maxBytes = 40, 30, 24 << 10, 80 << 20 / 8
	cluster := newTestCluster(t)
	ids := cluster.writeInterleavedTexts(submissions, items, textBytes)
	a, _, _ := cluster.start("a")
	page, err := a.ReadResults(t.Context(), ids[7], 0, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(page.Results), items)
	for _, result := range page.Results {
		assert.Equal(t, len(result.Text), textBytes)
	}
	cluster.store.mu.Lock()
	defer cluster.store.mu.Unlock()
	t.Logf("%d texts of %d bytes in %d reads of %d bytes", items, textBytes, cluster.store.textReads, cluster.store.textBytes)
	assert.Assert(t, cluster.store.textBytes <= maxBytes, "%d bytes in %d reads", cluster.store.textBytes, cluster.store.textReads)
}
