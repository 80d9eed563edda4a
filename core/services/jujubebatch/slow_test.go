package jujubebatch_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubepier.example/core/services/jujubebatch"
)

// runSlowItem runs one item on engines that emit an event per interval, and returns the number of runs that it took.
func runSlowItem(ts *testScheduler, events int, interval time.Duration) (runs int) {
	ts.t.Helper()
	ts.accept(newSubmission("s", 1, "a"))
	const step = 50 * time.Millisecond
	var run *jujubebatch.StartRun
	made := 0
	var next time.Time
	for end := ts.now.Add(time.Minute); made < events; ts.now = ts.now.Add(step) {
		assert.Assert(ts.t, ts.now.Before(end), "%d of %d events, %d runs", made, events, runs)
		for _, action := range ts.Tick(ts.now) {
			switch a := action.(type) {
			case jujubebatch.StartRun:
				run, next = &a, ts.now.Add(interval)
				made = a.After
				runs++
			case jujubebatch.CancelRun:
				run = nil
			}
		}
		if run != nil && !ts.now.Before(next) {
			made++
			assert.Assert(ts.t, ts.HandleRunEvent(ts.now, run.Run, made, "x", 1))
			next = ts.now.Add(interval)
		}
	}
	return runs
}

// TestSlowStreamsGoOn checks that streams with nearly a second between events aren't cancelled repeatedly: once an engine
// has been silent for that long, its silence limit is raised. Large engines emit few, long events.
func TestSlowStreamsGoOn(t *testing.T) {
	ts := newTestScheduler(t, 2)
	assert.Assert(t, runSlowItem(ts, 20, 900*time.Millisecond) <= 3)
	ts = newTestScheduler(t, 2)
	assert.Equal(t, runSlowItem(ts, 20, 600*time.Millisecond), 1)
}

// TestKnownEngineIsNotWaitedFor checks that a silent stream is cancelled after the usual limit if its engine's events were
// fast before.
func TestKnownEngineIsNotWaitedFor(t *testing.T) {
	ts := newTestScheduler(t, 1)
	ts.accept(newSubmission("s", 1, "a"))
	run := tick[jujubebatch.StartRun](ts)[0]
	for number := 1; number <= 20; number++ {
		ts.now = ts.now.Add(50 * time.Millisecond)
		assert.Assert(t, ts.HandleRunEvent(ts.now, run.Run, number, "x", 1))
	}
	ts.now = ts.now.Add(690 * time.Millisecond)
	assert.Equal(t, len(tick[jujubebatch.CancelRun](ts)), 0)
	ts.now = ts.now.Add(20 * time.Millisecond)
	assert.Equal(t, len(tick[jujubebatch.CancelRun](ts)), 1)
}
