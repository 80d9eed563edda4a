package jujubebatch_test

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubepier.example/core/services/jujubebatch"
)

// TestPagesAreFilled checks that a page has as many results as fit into a response, by the encoded sizes of their texts.
// This matters after an outage of the store, when the texts of several steps are listed at the same time and their trainers
// read twice a second.
func TestPagesAreFilled(t *testing.T) {
	const items, most = 120, 900 << 10
	ts := newTestScheduler(t, 12)
	ts.accept(newSubmission("s", items, "a"))
	text := strings.Repeat("a \"quoted\" <token>\t", 400) // 8 KB, and more as JSON
	listed := 0
	for listed < items {
		ts.now = ts.now.Add(100 * time.Millisecond)
		for _, action := range ts.Tick(ts.now) {
			switch a := action.(type) {
			case jujubebatch.StartRun:
				assert.Assert(t, ts.HandleRunEvent(ts.now, a.Run, 1, text, 1))
				ts.HandleRunEnd(ts.now, a.Run, jujubebatch.RunComplete)
			case jujubebatch.AppendEntry:
				// Compressed, the text has half of its size.
				a.Entry.Result.Data = jujubebatch.Pointer{Offset: int64(listed), Count: 1, Size: len(text) / 2}
				assert.Assert(t, ts.Apply(ts.now, &a.Entry))
				listed++
			}
		}
	}
	pages, after := 0, 0
	for after < items {
		page, ok := ts.ReadResults("s", after, most)
		assert.Assert(t, ok && len(page.Results) > 0)
		encoded, err := json.Marshal(page.Results)
		assert.NilError(t, err)
		size := len(encoded)
		for range page.Results {
			data, err := json.Marshal(text)
			assert.NilError(t, err)
			size += len(data)
		}
		assert.Assert(t, size <= most, "%d bytes", size)
		after += len(page.Results)
		pages++
	}
	data, err := json.Marshal(text)
	assert.NilError(t, err)
	assert.Equal(t, pages, 1+items*(len(data)+160)/most)
}
