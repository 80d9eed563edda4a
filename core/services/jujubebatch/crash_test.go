package jujubebatch_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubebatch"
)

// maxUnplaced is how long an item may be at no engine while the engines have free slots.
const maxUnplaced = 5 * time.Second

// TestItemUnderCrashesIsPlacedAgain guards against an item that is held back because several engines died while they ran it: a
// burst of crashes hits the same item again and again, on one instance or on several, and then all engines are idle.
func TestItemUnderCrashesIsPlacedAgain(t *testing.T) {
	for _, crashes := range []int{3, 5, 12} {
		ts := newTestScheduler(t, 4)
		ts.accept(newSubmission("s", 1, "a"))
		incarnation := model.Incarnation(1)
		for range crashes {
			var runs []jujubebatch.StartRun
			for waited := time.Duration(0); len(runs) == 0; waited += 50 * time.Millisecond {
				assert.Assert(t, waited <= maxUnplaced, "after fewer than %d crashes the item is at no engine for %v", crashes, waited)
				ts.now = ts.now.Add(50 * time.Millisecond)
				runs = tick[jujubebatch.StartRun](ts)
			}
			assert.Equal(t, len(runs), 1)
			ts.HandleRunEnd(ts.now, runs[0].Run, jujubebatch.RunBroken)
			// All engines are back at once, as new processes.
			incarnation++
			for i := range 4 {
				ts.putEngine(i, incarnation, 1)
			}
		}
		startedAt := ts.now
		for len(tick[jujubebatch.StartRun](ts)) == 0 {
			ts.now = ts.now.Add(50 * time.Millisecond)
			assert.Assert(t, ts.now.Sub(startedAt) <= maxUnplaced, "the item isn't placed again after %d crashes", crashes)
		}
	}
}

// TestCrashesOfOtherInstancesDontDelayItem guards against a gateway that holds back an item because engines died under it on the
// instance that delegated it.
func TestCrashesOfOtherInstancesDontDelayItem(t *testing.T) {
	ts := newTestScheduler(t, 2)
	ts.accept(newSubmission("s", 1, "b"))
	ts.SetLiveMembers(members("a", "b"))
	offer := jujubebatch.Offer{Submission: "s", Item: "s-0", Engine: "e0", Crashes: 9}
	for _, engine := range []model.EndpointID{"e0", "e1"} {
		offer.Engine = engine
		if ts.AcceptOffer(ts.now, offer) {
			break
		}
	}
	runs := tick[jujubebatch.StartRun](ts)
	assert.Equal(t, len(runs), 1)
	ts.HandleRunEnd(ts.now, runs[0].Run, jujubebatch.RunBroken)
	ts.putEngine(0, 2, 1)
	ts.putEngine(1, 2, 1)
	startedAt := ts.now
	for len(tick[jujubebatch.StartRun](ts)) == 0 {
		ts.now = ts.now.Add(50 * time.Millisecond)
		assert.Assert(t, ts.now.Sub(startedAt) <= maxUnplaced, "the item isn't placed again")
	}
}

// TestEmptyContinuationIsConfirmed guards against a text that is listed as complete because the engine that was to continue it ended
// its response without an event, and against a complete text that is never listed because the end of its run was lost.
func TestEmptyContinuationIsConfirmed(t *testing.T) {
	for name, test := range map[string]struct {
		// more is true if the second continuation has another event.
		more bool
		text string
	}{
		"the engine gave up":         {true, "x\ny"},
		"only the end had been lost": {false, "x"},
	} {
		t.Run(name, func(t *testing.T) {
			ts := newTestScheduler(t, 3)
			ts.accept(newSubmission("s", 1, "a"))
			nextRun := func() jujubebatch.StartRun {
				for waited := time.Duration(0); waited <= maxUnplaced; waited += 50 * time.Millisecond {
					if runs := tick[jujubebatch.StartRun](ts); len(runs) > 0 {
						ts.HandleRunAccepted(ts.now, runs[0].Run, 1)
						return runs[0]
					}
					ts.now = ts.now.Add(50 * time.Millisecond)
				}
				t.Fatal("the item isn't placed")
				return jujubebatch.StartRun{}
			}
			first := nextRun()
			ts.HandleRunEvent(ts.now, first.Run, 1, "x", 1)
			ts.HandleRunEnd(ts.now, first.Run, jujubebatch.RunBroken)
			second := nextRun()
			assert.Equal(t, second.After, 1)
			ts.HandleRunEnd(ts.now, second.Run, jujubebatch.RunComplete)
			assert.Equal(t, len(tick[jujubebatch.AppendEntry](ts)), 0, "the text is listed")
			third := nextRun()
			assert.Assert(t, third.Engine != second.Engine)
			if test.more {
				ts.HandleRunEvent(ts.now, third.Run, 2, "y", 1)
			}
			ts.HandleRunEnd(ts.now, third.Run, jujubebatch.RunComplete)
			entries := tick[jujubebatch.AppendEntry](ts)
			assert.Equal(t, len(entries), 1)
			assert.Equal(t, entries[0].Entry.Result.Text, test.text)
		})
	}
}
