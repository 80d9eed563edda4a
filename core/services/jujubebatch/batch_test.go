package jujubebatch_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubebatch"
)

// TestNoStartBeforeLogIsRead guards against running items of an ended submission: an instance that restarts reads the submission
// before the end record that follows it. This happens when all instances lose power while submissions end.
func TestNoStartBeforeLogIsRead(t *testing.T) {
	ts := newTestScheduler(t, 2)
	ts.SetLagging(true)
	ts.accept(newSubmission("s1", 4, "a"))
	assert.Equal(t, len(tick[jujubebatch.StartRun](ts)), 0)
	ts.Apply(ts.now, &jujubebatch.Entry{End: &jujubebatch.End{Submission: "s1"}})
	ts.SetLagging(false)
	assert.Equal(t, len(tick[jujubebatch.StartRun](ts)), 0)
	ts.accept(newSubmission("s2", 4, "a"))
	assert.Equal(t, len(tick[jujubebatch.StartRun](ts)), 4)
}

// TestSubmissionTwice checks that only the first record of a submission counts if two instances accept it concurrently.
func TestSubmissionTwice(t *testing.T) {
	ts := newTestScheduler(t, 2)
	assert.Assert(t, ts.accept(newSubmission("s", 2, "a")))
	assert.Assert(t, !ts.accept(newSubmission("s", 2, "b")))
	assert.Equal(t, len(tick[jujubebatch.StartRun](ts)), 2)
}

// TestFirstResultCounts checks that each item has one result, in log order, regardless of late and repeated records.
func TestFirstResultCounts(t *testing.T) {
	ts := newTestScheduler(t, 1)
	ts.accept(newSubmission("s", 2, "a"))
	result := func(item, text string) *jujubebatch.Entry {
		return &jujubebatch.Entry{Result: &jujubebatch.Result{Submission: "s", Item: jujubebatch.ItemID(item), State: jujubebatch.Completed, Text: text}}
	}
	assert.Assert(t, ts.Apply(ts.now, result("s-1", "first")))
	assert.Assert(t, !ts.Apply(ts.now, result("s-1", "second")))
	assert.Assert(t, !ts.Apply(ts.now, result("foreign", "x")))
	assert.Assert(t, ts.Apply(ts.now, result("s-0", "third")))
	page, ok := ts.ReadResults("s", 0, 1000)
	assert.Assert(t, ok)
	assert.Equal(t, page.Total, 2)
	assert.Equal(t, len(page.Results), 2)
	assert.Equal(t, page.Results[0].Text, "first")
	assert.Equal(t, page.Results[1].Text, "third")
}

// TestResumeAfterBreak checks that an item whose connection broke resumes after the last event and has a single text.
func TestResumeAfterBreak(t *testing.T) {
	ts := newTestScheduler(t, 2)
	ts.accept(newSubmission("s", 1, "a"))
	first := tick[jujubebatch.StartRun](ts)[0]
	assert.Assert(t, ts.HandleRunAccepted(ts.now, first.Run, 1))
	assert.Assert(t, ts.HandleRunEvent(ts.now, first.Run, 1, "one", 1))
	assert.Assert(t, ts.HandleRunEvent(ts.now, first.Run, 2, "two", 1))
	ts.HandleRunEnd(ts.now, first.Run, jujubebatch.RunBroken)
	ts.now = ts.now.Add(time.Second)
	second := tick[jujubebatch.StartRun](ts)[0]
	assert.Equal(t, second.After, 2)
	assert.Assert(t, !ts.HandleRunEvent(ts.now, first.Run, 3, "late", 1), "the first run is over")
	assert.Assert(t, !ts.HandleRunEvent(ts.now, second.Run, 2, "again", 1), "a repeated event is refused")
	assert.Assert(t, ts.HandleRunEvent(ts.now, second.Run, 3, "three", 2))
	ts.HandleRunEnd(ts.now, second.Run, jujubebatch.RunComplete)
	appended := tick[jujubebatch.AppendEntry](ts)
	assert.Equal(t, len(appended), 1)
	assert.Equal(t, appended[0].Entry.Result.Text, "one\ntwo\nthree")
	assert.DeepEqual(t, appended[0].Entry.Result.Versions, []model.WeightVersion{1, 2})
}

// TestItemsOfLostInstance checks that the items of a lost instance are resumed from their checkpoints. An item for which
// another live instance still writes checkpoints isn't run a second time.
func TestItemsOfLostInstance(t *testing.T) {
	ts := newTestScheduler(t, 4)
	ts.SetLiveMembers(members("a", "b", "c"))
	ts.accept(newSubmission("s", 6, "b"))
	assert.Equal(t, len(tick[jujubebatch.StartRun](ts)), 0)
	for item, by := range map[jujubebatch.ItemID]model.InstanceID{"s-1": "b", "s-2": "c"} {
		progress := &jujubebatch.Progress{Submission: "s", Item: item, Count: 2, Versions: []model.WeightVersion{1}, SoftwareVersion: "v1", By: by}
		ts.Apply(ts.now, &jujubebatch.Entry{Progress: progress})
	}
	ts.SetLiveMembers([]jujubebatch.Member{{ID: "a", Ready: true}, {ID: "c"}})
	assert.Equal(t, len(tick[jujubebatch.StartRun](ts)), 2, "a is assigned three of the six items, and c already runs one of those")
	ts.SetLiveMembers(members("a"))
	var resumed jujubebatch.StartRun
	started := tick[jujubebatch.StartRun](ts)
	assert.Equal(t, len(started), 4)
	for _, run := range started {
		assert.Equal(t, run.Progress != nil, run.Item == "s-1" || run.Item == "s-2", "%s", run.Item)
		if run.Item == "s-1" {
			resumed = run
		}
	}
	after, ok := ts.RestoreProgress(resumed.Run, []string{"x", "y"})
	assert.Assert(t, ok)
	assert.Equal(t, after, 2)
	assert.Assert(t, ts.HandleRunEvent(ts.now, resumed.Run, 3, "z", 1))
}

// TestErrored checks that an item is errored after as many failures as the route has attempts, and not earlier.
func TestErrored(t *testing.T) {
	ts := newTestScheduler(t, 3)
	ts.accept(newSubmission("s", 1, "a"))
	for range 2 {
		run := tick[jujubebatch.StartRun](ts)[0]
		ts.HandleRunEnd(ts.now, run.Run, jujubebatch.RunFailed)
		ts.now = ts.now.Add(time.Second)
	}
	run := tick[jujubebatch.StartRun](ts)[0]
	assert.Equal(t, len(tick[jujubebatch.AppendEntry](ts)), 0)
	ts.HandleRunEnd(ts.now, run.Run, jujubebatch.RunFailed)
	appended := tick[jujubebatch.AppendEntry](ts)
	assert.Equal(t, len(appended), 1)
	assert.Equal(t, appended[0].Entry.Result.State, jujubebatch.Errored)
	assert.Equal(t, len(tick[jujubebatch.StartRun](ts)), 0)
}

// TestCodec checks that a large entry is split into records and joined again, and that the last record without the
// preceding ones is refused.
func TestCodec(t *testing.T) {
	entry := jujubebatch.Entry{Submission: newSubmission("s", 50, "a")}
	codec := jujubebatch.NewCodec()
	records, err := codec.EncodeEntry(entry, 128)
	assert.NilError(t, err)
	assert.Assert(t, len(records) > 2)
	var decoder jujubebatch.Decoder
	for i, record := range records {
		got, err := decoder.Add(codec, record)
		assert.NilError(t, err)
		assert.Equal(t, got != nil, i == len(records)-1)
	}
	_, err = decoder.Add(codec, records[len(records)-1])
	assert.ErrorType(t, err, jujubebatch.ErrRecord{})
}

// TestLongestItemsFirst checks that the items with the longest expected texts are started first if fewer items can be
// assigned than there are. This happens when a step requires a new version and few engines have its weights.
func TestLongestItemsFirst(t *testing.T) {
	ts := newTestScheduler(t, 1)
	s := newSubmission("s", 30, "a")
	for i := range s.Items {
		s.Items[i].ExpectedTokens = 100 * (i % 10)
	}
	ts.accept(s)
	started := tick[jujubebatch.StartRun](ts)
	assert.Equal(t, len(started), 15) // 12 slots times queueFactor
	for _, run := range started {
		var index int
		_, err := fmt.Sscanf(string(run.Item), "s-%d", &index)
		assert.NilError(t, err)
		assert.Assert(t, index%10 >= 5, "%s", run.Item)
	}
}

// sendEvents feeds events to a run, the first one immediately and the others at the given interval.
func (ts *testScheduler) sendEvents(run jujubebatch.RunID, from, count int, interval time.Duration) {
	ts.t.Helper()
	for i := range count {
		if i > 0 {
			ts.now = ts.now.Add(interval)
		}
		assert.Assert(ts.t, ts.HandleRunEvent(ts.now, run, from+i, "x", 1))
	}
}

// recordBaselines makes the scheduler measure each engine's usual event interval, its baseline, by an item of 20 events on
// each; the last engine is slower.
func (ts *testScheduler) recordBaselines(engines int) {
	ts.t.Helper()
	ts.accept(newSubmission("timed", engines, "a"))
	runs := tick[jujubebatch.StartRun](ts)
	assert.Equal(ts.t, len(runs), engines)
	for _, run := range runs {
		interval := 50 * time.Millisecond
		if run.Engine == model.EndpointID(fmt.Sprintf("e%d", engines-1)) {
			interval = 65 * time.Millisecond
		}
		ts.sendEvents(run.Run, 1, 20, interval)
		ts.HandleRunEnd(ts.now, run.Run, jujubebatch.RunComplete)
	}
	ts.Tick(ts.now)
}

// TestSlowHardwareLast checks that, without placement by expected finish, faster engines are filled first and that no item is queued
// while an engine has a free slot. This matters for a step whose items could each run on most engines, as it lasts as long as its
// longest item.
func TestSlowHardwareLast(t *testing.T) {
	settings := jujubebatch.DefaultSettings()
	settings.UnevenEngines = false
	ts := newTestSchedulerWith(t, 4, settings)
	ts.recordBaselines(4)
	s := newSubmission("s", 40, "a")
	for i := range s.Items {
		s.Items[i].ExpectedTokens = 100 * i
	}
	ts.accept(s)
	onSlowerEngine := 0
	for _, run := range tick[jujubebatch.StartRun](ts) {
		var index int
		_, err := fmt.Sscanf(string(run.Item), "s-%d", &index)
		assert.NilError(t, err)
		if run.Engine == "e3" {
			onSlowerEngine++
			assert.Assert(t, index < 4, "item %d is among the longest and runs on the slower engine", index)
		}
	}
	assert.Equal(t, onSlowerEngine, 4)
}

// TestLongRunMovesToFasterEngine checks that a run that turns out to be long is resumed, with its text, on a faster
// engine once that has a free slot. This happens with an item whose estimate was far too low and for which its step
// waits.
func TestLongRunMovesToFasterEngine(t *testing.T) {
	ts := newTestScheduler(t, 4)
	ts.recordBaselines(4)
	ts.accept(newSubmission("s", 37, "a"))
	var long jujubebatch.StartRun
	others := map[jujubebatch.RunID]bool{}
	for _, run := range tick[jujubebatch.StartRun](ts) {
		if run.Engine == "e3" {
			long = run
		} else {
			others[run.Run] = true
		}
	}
	assert.Equal(t, len(others), 36)
	ts.sendEvents(long.Run, 1, 40, 65*time.Millisecond)
	for run := range others {
		assert.Assert(t, ts.HandleRunEvent(ts.now, run, 1, "x", 1))
	}
	assert.Equal(t, len(tick[jujubebatch.CancelRun](ts)), 0, "the other engines have no free slot")
	for run := range others {
		ts.HandleRunEnd(ts.now, run, jujubebatch.RunComplete)
	}
	moved := tick[jujubebatch.StartRun](ts)
	assert.Equal(t, len(moved), 1)
	assert.Equal(t, moved[0].Item, long.Item)
	assert.Assert(t, moved[0].Engine != "e3")
	assert.Equal(t, moved[0].After, 40)
	assert.Assert(t, !ts.HandleRunEvent(ts.now, long.Run, 41, "late", 1), "the first run is over")
}

// TestSilentEngine checks that all runs on an engine that emits no events are cancelled and that it is avoided for longer
// each time, but that a run may stay queued while others get events. This happens when an engine stops responding in the
// middle of a step.
func TestSilentEngine(t *testing.T) {
	ts := newTestScheduler(t, 1)
	ts.accept(newSubmission("s", 13, "a"))
	runs := tick[jujubebatch.StartRun](ts)
	assert.Equal(t, len(runs), 13)
	for number := 1; number <= 28; number++ {
		ts.now = ts.now.Add(50 * time.Millisecond)
		for _, run := range runs[:12] {
			assert.Assert(t, ts.HandleRunEvent(ts.now, run.Run, number, "x", 1))
		}
		assert.Equal(t, len(tick[jujubebatch.CancelRun](ts)), 0, "the last run is queued at the engine")
	}
	ts.now = ts.now.Add(650 * time.Millisecond)
	ts.HandleRunEnd(ts.now, runs[12].Run, jujubebatch.RunRefused)
	assert.Equal(t, len(tick[jujubebatch.CancelRun](ts)), 0)
	ts.now = ts.now.Add(100 * time.Millisecond)
	assert.Equal(t, len(tick[jujubebatch.CancelRun](ts)), 12)
	for _, backoff := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 4 * time.Second} {
		ts.now = ts.now.Add(backoff - 10*time.Millisecond)
		assert.Equal(t, len(tick[jujubebatch.StartRun](ts)), 0, "%v", backoff)
		ts.now = ts.now.Add(20 * time.Millisecond)
		assert.Assert(t, len(tick[jujubebatch.StartRun](ts)) > 0, "%v", backoff)
		ts.now = ts.now.Add(750 * time.Millisecond)
		assert.Assert(t, len(tick[jujubebatch.CancelRun](ts)) > 0, "%v", backoff)
	}
}

// TestPrefersEnginesNoOtherModelNeeds checks that items are assigned first to engines that no other model's next step needs.
// This matters when the steps of two models begin within half a second and engines have several models.
func TestPrefersEnginesNoOtherModelNeeds(t *testing.T) {
	ts := newTestScheduler(t, 4)
	for i := range 2 {
		ts.PutEngine(jujubebatch.Engine{
			ID: model.EndpointID(fmt.Sprintf("e%d", i)), Incarnation: 1, Service: "s", Slots: 12, SoftwareVersion: "v1",
			Versions: map[model.ModelName]model.WeightVersion{"m": 1, "other": 2},
		})
	}
	other := newSubmission("other", 1, "b")
	other.Model = "other"
	ts.SetLiveMembers(members("a", "b"))
	ts.accept(other)
	ts.SetLiveMembers(members("a"))
	ts.accept(newSubmission("s", 30, "a"))
	counts := map[model.EndpointID]int{}
	for _, run := range tick[jujubebatch.StartRun](ts) {
		if run.Submission == "s" {
			counts[run.Engine]++
		}
	}
	assert.Equal(t, counts["e2"]+counts["e3"], 24)
	assert.Equal(t, counts["e0"]+counts["e1"], 6)
}

// TestSubmissionRetention checks that an ended submission stays readable for EndedRetention, and that one that nobody ends is
// deleted before its records expire.
func TestSubmissionRetention(t *testing.T) {
	ts := newTestScheduler(t, 1)
	ts.accept(newSubmission("ended", 1, "a"))
	ts.Apply(ts.now, &jujubebatch.Entry{End: &jujubebatch.End{Submission: "ended"}})
	ts.now = ts.now.Add(10 * time.Second)
	ts.accept(newSubmission("open", 1, "a"))
	check := func(after time.Duration, ended, open bool) {
		t.Helper()
		ts.now = start.Add(after)
		ts.Tick(ts.now)
		known, _ := ts.SubmissionStatus("ended")
		assert.Equal(t, known, ended)
		known, _ = ts.SubmissionStatus("open")
		assert.Equal(t, known, open)
	}
	check(120*time.Second, true, true)
	oldest, ok := ts.OldestRetained()
	assert.Assert(t, ok && oldest.Equal(start))
	check(140*time.Second, false, true)
	oldest, ok = ts.OldestRetained()
	assert.Assert(t, ok && oldest.Equal(start.Add(10*time.Second)))
	check(300*time.Second, false, false)
	_, ok = ts.OldestRetained()
	assert.Assert(t, !ok)
	assert.Equal(t, ts.RunsInFlight(), 0)
}
