package jujubebatch_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubepier.example/core/services/jujubebatch"
)

// playSlow runs one item of some events on two engines that make an event each pause, and returns the runs that it took.
func playSlow(w *world, events int, pause time.Duration) (runs int) {
	w.t.Helper()
	w.accept(submission("s", 1, "a"))
	const step = 50 * time.Millisecond
	var run *jujubebatch.StartRun
	made := 0
	var next time.Time
	for end := w.now.Add(time.Minute); made < events; w.now = w.now.Add(step) {
		assert.Assert(w.t, w.now.Before(end), "%d of %d events, %d runs", made, events, runs)
		for _, action := range w.Tick(w.now) {
			switch a := action.(type) {
			case jujubebatch.StartRun:
				run, next = &a, w.now.Add(pause)
				made = a.After
				runs++
			case jujubebatch.CancelRun:
				run = nil
			}
		}
		if run != nil && !w.now.Before(next) {
			made++
			assert.Assert(w.t, w.Event(w.now, run.Run, made, "x", 1))
			next = w.now.Add(pause)
		}
	}
	return runs
}

// TestSlowStreamsGoOn lets streams of engines go on whose events take nearly a second, as long as the limit for silence on
// the sites at hand, once one of them has shown it. Load pattern: large engines with few, long events.
func TestSlowStreamsGoOn(t *testing.T) {
	w := newWorld(t, 2)
	assert.Assert(t, playSlow(w, 20, 900*time.Millisecond) <= 3)
	w = newWorld(t, 2)
	assert.Equal(t, playSlow(w, 20, 600*time.Millisecond), 1)
}

// TestKnownEngineIsNotWaitedFor gives a stream up after the usual limit when its engine's events were quick before.
func TestKnownEngineIsNotWaitedFor(t *testing.T) {
	w := newWorld(t, 1)
	w.accept(submission("s", 1, "a"))
	run := tick[jujubebatch.StartRun](w)[0]
	for number := 1; number <= 20; number++ {
		w.now = w.now.Add(50 * time.Millisecond)
		assert.Assert(t, w.Event(w.now, run.Run, number, "x", 1))
	}
	w.now = w.now.Add(690 * time.Millisecond)
	assert.Equal(t, len(tick[jujubebatch.CancelRun](w)), 0)
	w.now = w.now.Add(20 * time.Millisecond)
	assert.Equal(t, len(tick[jujubebatch.CancelRun](w)), 1)
}
