package jujubebatch_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubepier.example/core/services/jujubebatch"
	"jujubepier.example/core/services/jujubedesired"
)

// TestOutdatedViewStartsNothing guards against runs and scoring calls that rest on a view of the log in which the end of their
// submission may be missing, whichever way the item came to this instance.
func TestOutdatedViewStartsNothing(t *testing.T) {
	offer := jujubebatch.Offer{Submission: "s", Item: "s-0", Engine: "e0"}
	breakRun := func(ts *testScheduler) {
		runs := tick[jujubebatch.StartRun](ts)
		assert.Equal(ts.t, len(runs), 1)
		ts.HandleRunEnd(ts.now, runs[0].Run, jujubebatch.RunBroken)
		ts.now = ts.now.Add(5 * time.Second)
	}
	for name, prepare := range map[string]func(ts *testScheduler){
		"own item":          func(ts *testScheduler) { ts.accept(newSubmission("s", 1, "a")) },
		"run that broke":    func(ts *testScheduler) { ts.accept(newSubmission("s", 1, "a")); breakRun(ts) },
		"item of an offer":  func(ts *testScheduler) { ts.accept(newSubmission("s", 1, "b")); ts.AcceptOffer(ts.now, offer) },
		"pending offer":     func(ts *testScheduler) { ts.AcceptOffer(ts.now, offer); ts.accept(newSubmission("s", 1, "b")) },
		"lost instance":     func(ts *testScheduler) { ts.accept(newSubmission("s", 1, "b")); ts.SetLiveMembers(members("a")) },
		"silent gateway":    func(ts *testScheduler) { ts.accept(newSubmission("s", 1, "a")); ts.BypassGateway(ts.now, "b") },
		"checkpointed item": checkpointedItem,
		"scoring call": func(ts *testScheduler) {
			ts.SetDesired(scoringDesired())
			ts.PutEngine(plainServer(0))
			ts.accept(newScoredSubmission("s", 1, "a"))
			assert.Equal(ts.t, ts.completeRuns(), 1)
		},
	} {
		t.Run(name, func(t *testing.T) {
			ts := newTestScheduler(t, 1)
			mayStart := true
			ts.SetStartGate(func(jujubebatch.SubmissionID) bool { return mayStart })
			if name != "own item" && name != "run that broke" && name != "scoring call" {
				ts.SetLiveMembers(members("a", "b"))
			}
			prepare(ts)
			mayStart = false
			assert.Equal(t, countStarts(ts), 0)
			mayStart = true
			assert.Equal(t, countStarts(ts), 1)
		})
	}
}

func checkpointedItem(ts *testScheduler) {
	ts.SetLiveMembers(members("a"))
	ts.accept(newSubmission("s", 1, "b"))
	ts.Apply(ts.now, &jujubebatch.Entry{Progress: &jujubebatch.Progress{Submission: "s", Item: "s-0", Count: 2, SoftwareVersion: "v1", By: "b"}})
}

// countStarts returns how many runs and scoring calls a tick starts.
func countStarts(ts *testScheduler) int {
	ts.SetDesiredRead(ts.now)
	count := 0
	for _, action := range ts.Tick(ts.now) {
		switch action.(type) {
		case jujubebatch.StartRun, jujubebatch.StartScoring:
			count++
		}
	}
	return count
}

// TestUnwantedRunIsntSent guards against a run that is sent, after it waited for its connection, although what its start rested on has
// changed meanwhile.
func TestUnwantedRunIsntSent(t *testing.T) {
	moved := testDesired()
	moved.Routes[0].Targets = []jujubedesired.Target{{Service: "other", Weight: 1}}
	for name, change := range map[string]func(ts *testScheduler){
		"submission ended": func(ts *testScheduler) {
			ts.Apply(ts.now, &jujubebatch.Entry{End: &jujubebatch.End{Submission: "s"}})
		},
		"records expired": func(ts *testScheduler) {
			ts.RecordGap(jujubebatch.Span{End: 1}, jujubebatch.Span{Begin: 1, End: 2}, everySubmission)
		},
		"end in hand": func(ts *testScheduler) { ts.HoldSubmission("s", "b", time.Time{}) },
		"engine leaving": func(ts *testScheduler) {
			e, _ := ts.EngineState("e0")
			e.Leaving = true
			ts.PutEngine(e)
		},
		"engine restarted": func(ts *testScheduler) { ts.putEngine(0, 2, 1) },
		"engine removed":   func(ts *testScheduler) { ts.RemoveEngine("e0") },
		"route moved":      func(ts *testScheduler) { ts.SetDesired(moved) },
		"route dropped":    func(ts *testScheduler) { ts.SetDesired(&jujubedesired.State{Version: 2}) },
	} {
		t.Run(name, func(t *testing.T) {
			ts := newTestScheduler(t, 1)
			ts.accept(newSubmission("s", 1, "a"))
			run := tick[jujubebatch.StartRun](ts)[0].Run
			assert.Assert(t, ts.MaySend(run))
			change(ts)
			assert.Assert(t, !ts.MaySend(run))
		})
	}
}

// TestHeldSubmissionStartsNothing guards against items that start while an instance has the end of their submission in hand, and against
// ones that never start again although the end has failed or that instance is lost.
func TestHeldSubmissionStartsNothing(t *testing.T) {
	release := func(ts *testScheduler) { ts.ReleaseSubmission("s", "b") }
	expire := func(ts *testScheduler) { ts.now = ts.now.Add(2 * time.Second) }
	for name, c := range map[string]struct {
		expires, isHeldFirst bool
		finish               []func(ts *testScheduler)
	}{
		"released":                 {finish: []func(ts *testScheduler){release}},
		"expired":                  {expires: true, finish: []func(ts *testScheduler){expire}},
		"read later":               {isHeldFirst: true, finish: []func(ts *testScheduler){release}},
		"two ends, only one fails": {expires: true, finish: []func(ts *testScheduler){release, func(ts *testScheduler) { ts.ReleaseSubmission("s", "a") }}},
	} {
		t.Run(name, func(t *testing.T) {
			ts := newTestScheduler(t, 1)
			until := time.Time{}
			if c.expires {
				until = ts.now.Add(time.Second)
			}
			if !c.isHeldFirst {
				ts.accept(newSubmission("s", 1, "a"))
			}
			ts.HoldSubmission("s", "b", until)
			if len(c.finish) > 1 {
				ts.HoldSubmission("s", "a", time.Time{})
			}
			if c.isHeldFirst {
				ts.accept(newSubmission("s", 1, "a"))
			}
			for _, finish := range c.finish {
				assert.Equal(t, countStarts(ts), 0)
				assert.Assert(t, !ts.AcceptOffer(ts.now, jujubebatch.Offer{Submission: "s", Item: "s-0", Engine: "e0"}))
				finish(ts)
			}
			assert.Equal(t, countStarts(ts), 1)
		})
	}
}

// TestUnwantedScoringIsntSent guards against a scoring call that is sent, after it waited for its connection, for an item that has a result,
// or for a submission that has ended or whose end may be among records that expired unread.
func TestUnwantedScoringIsntSent(t *testing.T) {
	for name, change := range map[string]func(ts *testScheduler){
		"submission ended": func(ts *testScheduler) {
			ts.Apply(ts.now, &jujubebatch.Entry{End: &jujubebatch.End{Submission: "s"}})
		},
		"item has a result": func(ts *testScheduler) {
			ts.Apply(ts.now, &jujubebatch.Entry{Result: &jujubebatch.Result{Submission: "s", Item: "s-0", State: jujubebatch.Completed, By: "b"}})
		},
		"records expired": func(ts *testScheduler) {
			ts.RecordGap(jujubebatch.Span{End: 3}, jujubebatch.Span{Begin: 3, End: 9}, everySubmission)
		},
	} {
		t.Run(name, func(t *testing.T) {
			ts := newScoringTestScheduler(t, 1, 1)
			ts.accept(newScoredSubmission("s", 1, "a"))
			assert.Equal(t, ts.completeRuns(), 1)
			call := tick[jujubebatch.StartScoring](ts)[0].Run
			assert.Assert(t, ts.MaySend(call))
			change(ts)
			assert.Assert(t, !ts.MaySend(call))
		})
	}
}

// TestOutdatedGatewayReturnsItems guards against items that wait at a gateway which starts nothing.
func TestOutdatedGatewayReturnsItems(t *testing.T) {
	ts := newTestScheduler(t, 1)
	ts.SetLiveMembers(members("a", "b"))
	ts.SetStartGate(func(jujubebatch.SubmissionID) bool { return false })
	ref := jujubebatch.ItemRef{Submission: "s", Item: "s-0"}
	ts.accept(newSubmission("s", 1, "b"))
	assert.Assert(t, ts.AcceptOffer(ts.now, jujubebatch.Offer{Submission: "s", Item: "s-0", Engine: "e0"}))
	assert.Assert(t, ts.HasItem(ref))
	ts.ReturnWaitingItem(ref)
	assert.Assert(t, !ts.HasItem(ref))
	assert.Equal(t, ts.EngineLoad("e0"), 0)
	ts.SetStartGate(nil)
	assert.Equal(t, countStarts(ts), 0)
}
