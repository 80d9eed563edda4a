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

// scatterTexts puts submissions with all results on the log, the texts of each between those of all others, and returns the
// ids of the submissions.
func (s *site) scatterTexts(submissions, items, textBytes int) (ids []jujubebatch.SubmissionID) {
	s.t.Helper()
	const part = 0
	for i := 0; len(ids) < submissions; i++ {
		if id := fmt.Sprintf("s%d", i); xxhash.Sum64String(id)%2 == part {
			ids = append(ids, jujubebatch.SubmissionID(id))
		}
	}
	write := func(topic string, value any) int64 {
		parts, err := jujubebatch.EncodeBlob(value, 1<<16)
		assert.NilError(s.t, err)
		offset, err := s.store.Append(s.t.Context(), jujubenode.Topic{Name: topic}, part, []jujubenode.Record{{Value: parts[0]}}, jujubenode.NoCondition)
		assert.NilError(s.t, err)
		return offset
	}
	random := rand.New(rand.NewSource(1))
	var results []*jujubebatch.Result
	for j := range items {
		for _, id := range ids {
			data := make([]byte, textBytes/2)
			_, err := random.Read(data)
			assert.NilError(s.t, err)
			text := hex.EncodeToString(data)
			records, err := jujubebatch.EncodeBlob(text, 1<<16)
			assert.NilError(s.t, err)
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

// TestScatteredTexts reads one answer's texts at an instance that has none of them in memory, where those of 39 other
// submissions lie between them. The store gives 80 MB a second to all readers, and the four trainers of the target read
// twice a second, so an answer may take 10 MB. Load pattern: hundreds of instances have lost power, and trainers read on.
func TestScatteredTexts(t *testing.T) {
	const submissions, items, textBytes, most = 40, 30, 24 << 10, 80 << 20 / 8
	s := newSite(t)
	ids := s.scatterTexts(submissions, items, textBytes)
	a, _, _ := s.start("a")
	page, err := a.Read(t.Context(), ids[7], 0, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(page.Results), items)
	for _, result := range page.Results {
		assert.Equal(t, len(result.Text), textBytes)
	}
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	t.Logf("%d texts of %d bytes in %d reads of %d bytes", items, textBytes, s.store.textReads, s.store.textBytes)
	assert.Assert(t, s.store.textBytes <= most, "%d bytes in %d reads", s.store.textBytes, s.store.textReads)
}
