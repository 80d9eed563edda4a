package jujubebatch_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubepier.example/core/services/jujubebatch"
	"jujubepier.example/core/services/jujubedesired"
)

// assertErrored expects one item to be listed as errored now and not to be run again.
func (w *world) assertErrored() {
	w.t.Helper()
	appended := tick[jujubebatch.AppendEntry](w)
	assert.Equal(w.t, len(appended), 1)
	assert.Equal(w.t, appended[0].Entry.Result.State, jujubebatch.Errored)
	w.now = w.now.Add(time.Second)
	assert.Equal(w.t, len(tick[jujubebatch.StartRun](w)), 0)
}

// TestErroredByRejection lists an item as errored at its first rejection by an engine.
func TestErroredByRejection(t *testing.T) {
	w := newWorld(t, 2)
	w.accept(submission("s", 1, "a"))
	run := tick[jujubebatch.StartRun](w)[0]
	w.Ended(w.now, run.Run, jujubebatch.RunRejected)
	w.assertErrored()
}

// TestErroredByRetention lists an item as errored once it may be given up, and not before.
func TestErroredByRetention(t *testing.T) {
	w := newWorld(t, 0)
	w.accept(submission("s", 1, "a"))
	w.now = start.Add(40 * time.Second)
	assert.Equal(t, len(tick[jujubebatch.AppendEntry](w)), 0)
	w.now = w.now.Add(10 * time.Millisecond)
	w.assertErrored()
}

// TestErroredWithoutRoute lists an item as errored when a desired state has no route for it any more, but not while no
// desired state is known.
func TestErroredWithoutRoute(t *testing.T) {
	w := newWorld(t, 0)
	w.accept(submission("s", 1, "a"))
	w.SetDesired(&jujubedesired.State{})
	assert.Equal(t, len(tick[jujubebatch.AppendEntry](w)), 0)
	w.SetDesired(&jujubedesired.State{Version: 2})
	w.assertErrored()
}
