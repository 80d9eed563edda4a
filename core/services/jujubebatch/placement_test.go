package jujubebatch_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubebatch"
	"jujubepier.example/core/services/jujubeplacement"
)

// newGroupedSubmission returns a submission whose groups have items of the given estimates.
func newGroupedSubmission(id string, required, size int, tokens ...int) *jujubebatch.Submission {
	s := newSubmission(id, size*len(tokens), "a")
	s.GroupCount = required
	for i := range s.Items {
		s.Items[i].ExpectedTokens = tokens[i/size]
		s.Items[i].Group = jujubebatch.GroupID(fmt.Sprintf("%s-g%d", id, i/size))
		s.Items[i].ID = jujubebatch.ItemID(fmt.Sprintf("%s-%d", s.Items[i].Group, i%size))
	}
	return s
}

// countStarted counts the items that a tick starts, by group, and applies the results that it appends.
func countStarted(ts *testScheduler) (map[string]int, []jujubebatch.StartRun) {
	counts, runs := map[string]int{}, []jujubebatch.StartRun(nil)
	for _, action := range ts.Tick(ts.now) {
		switch a := action.(type) {
		case jujubebatch.StartRun:
			counts[string(a.Item)[:strings.LastIndex(string(a.Item), "-")]]++
			runs = append(runs, a)
		case jujubebatch.AppendEntry:
			ts.Apply(ts.now, &a.Entry)
		}
	}
	return counts, runs
}

func (ts *testScheduler) finish(runs []jujubebatch.StartRun) {
	for _, run := range runs {
		assert.Assert(ts.t, ts.HandleRunEvent(ts.now, run.Run, 1, "x", 1))
		ts.HandleRunEnd(ts.now, run.Run, jujubebatch.RunComplete)
	}
	ts.now = ts.now.Add(50 * time.Millisecond)
}

// TestSubmissionsShareSlots guards against a trainer that gets no slot while another one has more items than there are slots, and against
// the neglect of what is due first.
func TestSubmissionsShareSlots(t *testing.T) {
	for _, test := range []struct {
		age      time.Duration
		deadline time.Duration
		want     map[string]int
	}{
		// The other model has the minimum share, a quarter of six slots, rounded up.
		{2 * time.Second, 5 * time.Second, map[string]int{"a": 13, "b": 2}},
		{2 * time.Second, time.Second, map[string]int{"a": 2, "b": 13}},
	} {
		desired := testDesired()
		urgent := desired.Routes[0]
		urgent.PathPrefix, urgent.ResultDeadline = "/p/urgent/", test.deadline
		desired.Routes[0].ResultDeadline = 5 * time.Second
		desired.Routes = append(desired.Routes, urgent)
		ts := newTestScheduler(t, 0)
		ts.SetDesired(desired)
		ts.PutEngine(jujubebatch.Engine{
			ID: "e0", Incarnation: 1, Service: "s", Slots: 12, SoftwareVersion: "v1", Versions: map[model.ModelName]model.WeightVersion{"m": 1, "n": 1},
		})
		ts.SetLagging(true)
		ts.accept(newSubmission("a", 40, "a"))
		ts.now = ts.now.Add(test.age)
		other := newSubmission("b", 40, "a")
		other.Model, other.Path = "n", "/p/urgent/x"
		ts.accept(other)
		ts.SetLagging(false)
		counts, _ := countStarted(ts)
		assert.DeepEqual(t, counts, test.want)
	}
}

// TestQueuedRunMoves guards against a run that waits behind the others on its engine while another engine has a free slot.
func TestQueuedRunMoves(t *testing.T) {
	assert.Equal(t, moveQueuedRuns(newTestScheduler(t, 2)), 2, "the third gets the next slot of its own engine as early")
}

// TestOutdatedViewMovesNothing guards against a run that ends for a move and can't go on, as the view of the log is too old.
func TestOutdatedViewMovesNothing(t *testing.T) {
	ts, ticks := newTestScheduler(t, 2), 0
	ts.SetStartGate(func(jujubebatch.SubmissionID) bool { ticks++; return ticks == 1 })
	assert.Equal(t, moveQueuedRuns(ts), 0)
}

// moveQueuedRuns starts 30 runs on two engines of twelve slots, ends those that run on one of them, and returns how many of the queued
// ones move.
func moveQueuedRuns(ts *testScheduler) (moves int) {
	t := ts.t
	ts.accept(newSubmission("s", 30, "a"))
	runs := tick[jujubebatch.StartRun](ts)
	assert.Equal(t, len(runs), 30)
	running, other := map[model.EndpointID]int{}, []jujubebatch.StartRun{}
	for _, run := range runs {
		if running[run.Engine] == 12 {
			continue // queued at the engine
		}
		running[run.Engine]++
		assert.Assert(t, ts.HandleRunEvent(ts.now, run.Run, 1, "x", 1))
		if run.Engine == "e1" {
			other = append(other, run)
		}
	}
	ts.now = ts.now.Add(200 * time.Millisecond)
	for _, run := range other {
		ts.HandleRunEnd(ts.now, run.Run, jujubebatch.RunComplete)
	}
	for _, cancel := range tick[jujubebatch.CancelRun](ts) {
		assert.Equal(t, cancel.Move, jujubebatch.FreeSlot)
		moves++
	}
	return moves
}

// TestStartNamesExpectations guards against log lines that don't explain why an item has its engine.
func TestStartNamesExpectations(t *testing.T) {
	ts := newTestScheduler(t, 1)
	ts.accept(newGroupedSubmission("s", 1, 1, 800))
	run := tick[jujubebatch.StartRun](ts)[0]
	assert.Equal(t, run.ExpectedEvents, 20)
	assert.Equal(t, run.Placement, jujubeplacement.EarliestFinish)
	assert.Assert(t, run.ExpectedFinish > 900*time.Millisecond && run.ExpectedFinish < 1100*time.Millisecond, "%v", run.ExpectedFinish)
}

// TestMoveGoesToItsEngine guards against a run that is stopped for a faster engine and starts again on its own one, because other models
// need the faster one next.
func TestMoveGoesToItsEngine(t *testing.T) {
	ts := newTestScheduler(t, 4)
	ts.recordBaselines(4)
	versions := func() map[model.ModelName]model.WeightVersion {
		return map[model.ModelName]model.WeightVersion{"m": 1, "n": 2, "o": 2}
	}
	for i := range 3 {
		ts.PutEngine(jujubebatch.Engine{
			ID: model.EndpointID(fmt.Sprintf("e%d", i)), Incarnation: 1, Service: "s", Slots: 12, SoftwareVersion: "v1", Versions: versions(),
		})
	}
	for _, name := range []model.ModelName{"n", "o"} {
		other := newSubmission(string(name), 0, "a")
		other.Model = name
		ts.accept(other)
	}
	ts.accept(newSubmission("s", 1, "a"))
	run := tick[jujubebatch.StartRun](ts)[0]
	assert.Equal(t, run.Engine, model.EndpointID("e3"), "the others are needed by two models")
	ts.sendEvents(run.Run, 1, 60, 65*time.Millisecond)
	moved := tick[jujubebatch.StartRun](ts)
	assert.Equal(t, len(moved), 1)
	assert.Assert(t, moved[0].Engine != "e3")
	assert.Equal(t, moved[0].After, 60)
}
