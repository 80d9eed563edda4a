package jujubebatch_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubebatch"
	"jujubepier.example/core/services/jujubedesired"
)

// scoredRoutes returns a desired state in which items are scored by the service "plain".
func scoredRoutes() *jujubedesired.State {
	state := oneRoute()
	state.Version = 2
	state.Routes = append(state.Routes, jujubedesired.Route{
		Host: "h", PathPrefix: "/score/", Kind: jujubedesired.Safe, MaxAttempts: 4, Timeout: 3 * time.Second,
		Targets: []jujubedesired.Target{{Service: "plain", Weight: 1}},
	})
	return state
}

// newScoredWorld returns an instance with engines of one model and plain servers of 6 slots.
func newScoredWorld(t *testing.T, engines, plain int) *world {
	w := newWorld(t, engines)
	w.SetDesired(scoredRoutes())
	for i := range plain {
		w.PutEngine(plainServer(i))
	}
	return w
}

func plainServer(i int) jujubebatch.Engine {
	return jujubebatch.Engine{ID: model.EndpointID(fmt.Sprintf("p%d", i)), Incarnation: 1, Service: "plain", Slots: 6}
}

// scoredSubmission returns one whose items are all scored.
func scoredSubmission(id string, items int, by model.InstanceID) *jujubebatch.Submission {
	s := submission(id, items, by)
	for i := range s.Items {
		s.Items[i].Scoring = &jujubebatch.ScoringCall{ID: model.RequestID("call-" + s.Items[i].ID), Host: "h", Path: "/score/x"}
	}
	return s
}

// runAll starts the planned runs and lets each one bring a text of two events.
func (w *world) runAll() (runs int) {
	w.t.Helper()
	for _, run := range tick[jujubebatch.StartRun](w) {
		for number := run.After + 1; number <= 2; number++ {
			assert.Assert(w.t, w.Event(w.now, run.Run, number, fmt.Sprint(number), 1))
		}
		w.Ended(w.now, run.Run, jujubebatch.RunComplete)
		runs++
	}
	return runs
}

// sort splits actions by what they ask for.
func sort(actions []jujubebatch.Action) (calls []jujubebatch.StartScoring, drafts, results []*jujubebatch.Result, cancelled []jujubebatch.RunID) {
	for _, action := range actions {
		switch a := action.(type) {
		case jujubebatch.StartScoring:
			calls = append(calls, a)
		case jujubebatch.CancelRun:
			cancelled = append(cancelled, a.Run)
		case jujubebatch.AppendEntry:
			if a.Entry.Unscored != nil {
				drafts = append(drafts, a.Entry.Unscored)
			}
			if a.Entry.Result != nil {
				results = append(results, a.Entry.Result)
			}
		}
	}
	return calls, drafts, results, cancelled
}

func (w *world) act() (calls []jujubebatch.StartScoring, drafts, results []*jujubebatch.Result, cancelled []jujubebatch.RunID) {
	return sort(w.Tick(w.now))
}

// TestScoreBeforeResult lists a text with the score of a call that began after its last event, and writes it down before.
func TestScoreBeforeResult(t *testing.T) {
	w := newScoredWorld(t, 1, 1)
	w.accept(scoredSubmission("s", 1, "a"))
	run := tick[jujubebatch.StartRun](w)[0]
	assert.Assert(t, w.Event(w.now, run.Run, 1, "1", 1))
	calls, drafts, results, _ := w.act()
	assert.Equal(t, len(calls)+len(drafts)+len(results), 0)
	w.Ended(w.now, run.Run, jujubebatch.RunComplete)
	calls, drafts, results, _ = w.act()
	assert.Equal(t, len(results), 0)
	assert.Equal(t, drafts[0].Text, "1")
	assert.Equal(t, calls[0].Call.ID, model.RequestID("call-s-0"))
	w.ScoringEnded(w.now, calls[0].Run, jujubebatch.ScoringOutcome{Score: "stamp"})
	calls, drafts, results, _ = w.act()
	assert.Equal(t, len(calls)+len(drafts), 0)
	assert.Equal(t, results[0].Score, "stamp")
	assert.Equal(t, results[0].Text, "1")
	assert.Equal(t, results[0].State, jujubebatch.Completed)
}

// TestScoringLeavesRoom plays a burst: a step's last 200 texts complete within a second while half of the plain service is
// gone. Each of nine instances begins its part of three quarters of the remaining slots, and all texts are scored in time.
func TestScoringLeavesRoom(t *testing.T) {
	const plain, slots, instances = 7, 6, 9
	w := newScoredWorld(t, 2, plain)
	w.accept(scoredSubmission("s", 200/instances, "a"))
	assert.Equal(t, w.runAll(), 200/instances)
	w.SetLive(members("a", "b", "c", "d", "e", "f", "g", "h", "i"))
	inFlight := map[jujubebatch.RunID]time.Time{}
	scored, began := 0, w.now
	for scored < 200/instances {
		calls, _, results, _ := w.act()
		for _, call := range calls {
			inFlight[call.Run] = w.now.Add(200 * time.Millisecond)
		}
		scored += len(results)
		assert.Assert(t, len(inFlight)*instances <= plain*slots*3/4, "%d calls in flight", len(inFlight))
		w.now = w.now.Add(10 * time.Millisecond)
		for run, end := range inFlight {
			if !w.now.Before(end) {
				w.ScoringEnded(w.now, run, jujubebatch.ScoringOutcome{Score: "stamp"})
				delete(inFlight, run)
			}
		}
	}
	assert.Assert(t, w.now.Sub(began) < 2*time.Second, "scoring took %v", w.now.Sub(began))
}

// TestScoringRepeats makes a call without an answer again after a pause, and lists an item as errored only after as many of
// the servers' own failures as the larger number of attempts, each counted once however often its answer arrives.
func TestScoringRepeats(t *testing.T) {
	w := newScoredWorld(t, 1, 1)
	w.accept(scoredSubmission("s", 1, "a"))
	w.runAll()
	fail := func(stamps ...string) {
		t.Helper()
		calls, _, results, _ := w.act()
		assert.Equal(t, len(results), 0)
		assert.Equal(t, len(calls), 1)
		w.ScoringEnded(w.now, calls[0].Run, jujubebatch.ScoringOutcome{Failures: stamps})
		w.now = w.now.Add(2 * time.Second)
	}
	fail()
	fail()
	fail("1", "2", "2")
	fail("2", "3")
	fail()
	fail("4")
	_, _, results, _ := w.act()
	assert.Equal(t, results[0].State, jujubebatch.Errored)
	assert.Equal(t, results[0].Score, "")
}

// TestScoringPauses bounds how often a call that always fails is made, without holding back another item's call.
func TestScoringPauses(t *testing.T) {
	w := newScoredWorld(t, 1, 3)
	w.accept(scoredSubmission("s", 2, "a"))
	w.runAll()
	counts := map[jujubebatch.ItemID]int{}
	for range 1000 { // 10 s
		calls, _, _, _ := w.act()
		for _, call := range calls {
			counts[call.Item]++
			outcome := jujubebatch.ScoringOutcome{}
			if call.Item == "s-1" {
				outcome.Score = "stamp"
				assert.Assert(t, w.now.Sub(start) < 100*time.Millisecond)
			}
			w.ScoringEnded(w.now, call.Run, outcome)
		}
		w.now = w.now.Add(10 * time.Millisecond)
	}
	assert.Equal(t, counts["s-1"], 1)
	assert.Assert(t, counts["s-0"] > 5 && counts["s-0"] < 20, "%d calls", counts["s-0"])
}

// TestScoringOfLostInstance goes on with the text that a lost instance has written: without an engine, at one instance only,
// and with a call of its own.
func TestScoringOfLostInstance(t *testing.T) {
	var entries []jujubebatch.Entry
	first := newScoredWorld(t, 1, 1)
	first.accept(scoredSubmission("s", 1, "a"))
	first.runAll()
	for _, action := range first.Tick(first.now) {
		if a, ok := action.(jujubebatch.AppendEntry); ok {
			entries = append(entries, a.Entry)
		}
	}
	assert.Equal(t, len(entries), 1)
	entries[0].Unscored.Data = jujubebatch.Pointer{Offset: 7, Count: 1, Size: 9}
	entries[0].Unscored.Text = "" // it isn't part of the record
	entries[0].Unscored.By = "d"  // a keeper, which isn't the instance that accepted the submission

	calls := 0
	for _, id := range []model.InstanceID{"b", "c"} {
		w := newScoredWorld(t, 1, 1)
		w.Batches = jujubebatch.New(id, jujubebatch.DefaultSettings())
		w.SetDesired(scoredRoutes())
		w.PutEngine(plainServer(0))
		w.putEngine(0, 1, 1)
		w.SetLive(members("b", "c", "d"))
		w.accept(scoredSubmission("s", 1, "a"))
		w.Apply(w.now, &jujubebatch.Entry{Unscored: entries[0].Unscored})
		found, _, _, _ := w.act()
		assert.Equal(t, len(found), 0, "while its writer lives")
		w.SetLive(members("b", "c"))
		w.now = w.now.Add(10 * time.Millisecond)
		actions := w.Tick(w.now)
		for _, action := range actions {
			_, ran := action.(jujubebatch.StartRun)
			assert.Assert(t, !ran)
		}
		found, drafts, _, _ := sort(actions)
		assert.Equal(t, len(drafts), 0)
		calls += len(found)
		for _, call := range found {
			w.ScoringEnded(w.now, call.Run, jujubebatch.ScoringOutcome{Score: "own"})
			_, _, results, _ := w.act()
			assert.Equal(t, results[0].Score, "own")
			assert.Equal(t, results[0].Data.Offset, int64(7))
			assert.Equal(t, results[0].By, model.InstanceID("d"))
		}
	}
	assert.Equal(t, calls, 1)
}

// TestScoreStaysWithItsText keeps text and score of one instance together when two finish an item: another instance's text
// that is read while the own call runs doesn't take its place.
func TestScoreStaysWithItsText(t *testing.T) {
	w := newScoredWorld(t, 1, 1)
	w.accept(scoredSubmission("s", 1, "a"))
	w.runAll()
	calls, _, _, _ := w.act()
	w.Apply(w.now, &jujubebatch.Entry{Unscored: &jujubebatch.Result{
		Submission: "s", Item: "s-0", By: "b", Data: jujubebatch.Pointer{Offset: 7, Count: 1}, Versions: []model.WeightVersion{2},
	}})
	w.ScoringEnded(w.now, calls[0].Run, jujubebatch.ScoringOutcome{Score: "own"})
	_, _, results, _ := w.act()
	assert.Equal(t, results[0].Text, "1\n2")
	assert.Equal(t, results[0].Data.Count, 0)
	assert.DeepEqual(t, results[0].Versions, []model.WeightVersion{1})
}

// TestNoScoringAfterEnd ends the calls of a submission with it, and begins none afterwards or before the log has been read.
func TestNoScoringAfterEnd(t *testing.T) {
	w := newScoredWorld(t, 1, 1)
	w.accept(scoredSubmission("s", 2, "a"))
	w.runAll()
	w.SetBehind(true)
	calls, _, _, _ := w.act()
	assert.Equal(t, len(calls), 0)
	w.SetBehind(false)
	calls, _, _, _ = w.act()
	assert.Equal(t, len(calls), 2)
	w.Apply(w.now, &jujubebatch.Entry{End: &jujubebatch.End{Submission: "s"}})
	_, _, _, cancelled := w.act()
	assert.DeepEqual(t, cancelled, []jujubebatch.RunID{calls[0].Run, calls[1].Run})
	w.ScoringEnded(w.now, calls[0].Run, jujubebatch.ScoringOutcome{Score: "late"})
	w.now = w.now.Add(time.Second)
	calls, _, results, _ := w.act()
	assert.Equal(t, len(calls)+len(results), 0)
}

// TestCarriedTextIsScoredAgain scores the whole text of an item that comes again in a later submission by that submission's
// own call, without an engine.
func TestCarriedTextIsScoredAgain(t *testing.T) {
	for name, isScored := range map[string]bool{"unscored": false, "scored but not listed": true} {
		t.Run(name, func(t *testing.T) {
			w := newScoredWorld(t, 1, 1)
			w.accept(scoredSubmission("s", 1, "a"))
			w.runAll()
			calls, _, _, _ := w.act()
			if isScored {
				w.ScoringEnded(w.now, calls[0].Run, jujubebatch.ScoringOutcome{Score: "of the first call"})
			}
			w.Apply(w.now, &jujubebatch.Entry{End: &jujubebatch.End{Submission: "s"}})
			w.Tick(w.now)
			again := scoredSubmission("s", 1, "a")
			again.ID = "later"
			again.Items[0].Scoring.ID = "second"
			w.accept(again)
			calls, drafts, results, _ := w.act()
			assert.Equal(t, len(results), 0)
			assert.Equal(t, calls[0].Call.ID, model.RequestID("second"))
			assert.Equal(t, drafts[0].Submission, jujubebatch.SubmissionID("later"))
			assert.Equal(t, drafts[0].Text, "1\n2")
			assert.Equal(t, drafts[0].Score, "")
		})
	}
}

// TestScoringRouteGone waits while the call has no route, goes to where the route leads later, and gives up with the item.
func TestScoringRouteGone(t *testing.T) {
	w := newScoredWorld(t, 1, 1)
	w.accept(scoredSubmission("s", 2, "a"))
	w.runAll()
	gone := oneRoute()
	gone.Version = 3
	w.SetDesired(gone)
	calls, drafts, results, _ := w.act()
	assert.Equal(t, len(calls)+len(results), 0)
	assert.Equal(t, len(drafts), 2)
	w.SetDesired(scoredRoutes())
	calls, _, _, _ = w.act()
	assert.Equal(t, len(calls), 2)
	w.ScoringEnded(w.now, calls[0].Run, jujubebatch.ScoringOutcome{Failures: []string{"1", "2", "3", "4"}})
	w.SetDesired(gone)
	w.ScoringEnded(w.now, calls[1].Run, jujubebatch.ScoringOutcome{Failures: []string{"1", "2", "3", "4"}})
	_, _, results, _ = w.act()
	assert.Equal(t, len(results), 1, "attempts aren't known without a route")
	w.now = start.Add(40*time.Second + 10*time.Millisecond)
	_, _, results, _ = w.act()
	assert.Equal(t, results[0].State, jujubebatch.Errored)
}

// TestFullQueueKeepsScore queues a result again that found the queue full, without another call.
func TestFullQueueKeepsScore(t *testing.T) {
	w := newScoredWorld(t, 1, 1)
	w.accept(scoredSubmission("s", 1, "a"))
	w.runAll()
	calls, _, _, _ := w.act()
	w.ScoringEnded(w.now, calls[0].Run, jujubebatch.ScoringOutcome{Score: "stamp"})
	_, _, results, _ := w.act()
	w.Unlist(jujubebatch.Entry{Result: results[0]})
	calls, _, results, _ = w.act()
	assert.Equal(t, len(calls), 0)
	_, _, later, _ := w.act()
	assert.Equal(t, append(results, later...)[0].Score, "stamp")
}

// TestCarriedTextHasItsVersions names the versions of the listed text alone when an item comes again whose earlier text was
// too old, or is known from the log only.
func TestCarriedTextHasItsVersions(t *testing.T) {
	for name, c := range map[string]struct {
		own bool
		min model.WeightVersion
	}{
		"too old": {own: true, min: 2},
		"log":     {min: 1},
	} {
		t.Run(name, func(t *testing.T) {
			w := newScoredWorld(t, 1, 1)
			w.accept(scoredSubmission("s", 1, "a"))
			if c.own {
				w.runAll()
			} else {
				w.Apply(w.now, &jujubebatch.Entry{Unscored: &jujubebatch.Result{
					Submission: "s", Item: "s-0", By: "b", Data: jujubebatch.Pointer{Offset: 7, Count: 1}, Versions: []model.WeightVersion{1},
				}})
			}
			w.Tick(w.now)
			w.Apply(w.now, &jujubebatch.Entry{End: &jujubebatch.End{Submission: "s"}})
			w.putEngine(0, 1, 2)
			w.now = w.now.Add(time.Second)
			again := scoredSubmission("s", 1, "a")
			again.ID, again.MinVersion = "later", c.min
			w.accept(again)
			run := tick[jujubebatch.StartRun](w)[0]
			assert.Equal(t, run.After, 0)
			assert.Assert(t, w.Event(w.now, run.Run, 1, "new", 2))
			w.Ended(w.now, run.Run, jujubebatch.RunComplete)
			_, drafts, _, _ := w.act()
			assert.DeepEqual(t, drafts[0].Versions, []model.WeightVersion{2})
			assert.Equal(t, drafts[0].Text, "new")
		})
	}
}
