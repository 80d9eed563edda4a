package jujubebatch_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubebatch"
)

// TestThrottledEngineIsAvoided guards against items that wait for an engine whose rate is used up while another one has free
// slots, when a step's items arrive at once.
func TestThrottledEngineIsAvoided(t *testing.T) {
	ts := newTestScheduler(t, 2)
	ts.SetLimited("e0", true)
	ts.accept(newSubmission("s", 8, "a"))
	runs := map[model.EndpointID]int{}
	for _, run := range tick[jujubebatch.StartRun](ts) {
		runs[run.Engine]++
		if run.Engine == "e0" {
			ts.Throttle("e0", ts.now.Add(time.Second))
			ts.HandleRunEnd(ts.now, run.Run, jujubebatch.RunThrottled)
		}
	}
	assert.Equal(t, runs["e0"], 1, "a limited engine gets its items one by one")
	for range 4 {
		ts.now = ts.now.Add(200 * time.Millisecond)
		for _, run := range tick[jujubebatch.StartRun](ts) {
			assert.Equal(t, run.Engine, model.EndpointID("e1"))
			runs[run.Engine]++
		}
	}
	assert.Equal(t, runs["e1"], 8)
	assert.Equal(t, ts.ThrottledFor(ts.now, "e0"), 200*time.Millisecond)

	ts.SetLimited("e0", false)
	ts.accept(newSubmission("s2", 8, "a"))
	engines := map[model.EndpointID]bool{}
	for _, run := range tick[jujubebatch.StartRun](ts) {
		engines[run.Engine] = true
	}
	assert.Assert(t, engines["e0"], "the engine is used again once it names no rate")
}
