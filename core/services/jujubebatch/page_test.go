package jujubebatch_test

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubepier.example/core/services/jujubebatch"
)

// TestPagesAreFilled gives a reader as many results as an answer takes, by the texts' sizes in it. Load pattern: the store
// returns, the texts of several steps are listed at once, and their trainers read twice a second.
func TestPagesAreFilled(t *testing.T) {
	const items, most = 120, 900 << 10
	w := newWorld(t, 12)
	w.accept(submission("s", items, "a"))
	text := strings.Repeat("a \"quoted\" <token>\t", 400) // 8 KB, and more as JSON
	listed := 0
	for listed < items {
		w.now = w.now.Add(100 * time.Millisecond)
		for _, action := range w.Tick(w.now) {
			switch a := action.(type) {
			case jujubebatch.StartRun:
				assert.Assert(t, w.Event(w.now, a.Run, 1, text, 1))
				w.Ended(w.now, a.Run, jujubebatch.RunComplete)
			case jujubebatch.AppendEntry:
				// Compressed, a text has half of its size.
				a.Entry.Result.Data = jujubebatch.Pointer{Offset: int64(listed), Count: 1, Size: len(text) / 2}
				assert.Assert(t, w.Apply(w.now, &a.Entry))
				listed++
			}
		}
	}
	answers, after := 0, 0
	for after < items {
		page, ok := w.Read("s", after, most)
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
		answers++
	}
	data, err := json.Marshal(text)
	assert.NilError(t, err)
	assert.Equal(t, answers, 1+items*(len(data)+160)/most)
}
