package jujubebatch_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubebatch"
)

// putSoftware adds or updates an engine of a software version.
func (ts *testScheduler) putSoftware(i int, incarnation model.Incarnation, software model.SoftwareVersion) {
	ts.PutEngine(softwareEngine(model.EndpointID(fmt.Sprintf("e%d", i)), incarnation, software))
}

func softwareEngine(id model.EndpointID, incarnation model.Incarnation, software model.SoftwareVersion) jujubebatch.Engine {
	return jujubebatch.Engine{
		ID: id, Incarnation: incarnation, Service: "s", Slots: 2, SoftwareVersion: software,
		Versions: map[model.ModelName]model.WeightVersion{"m": 1},
	}
}

// breakAfter starts the only item and breaks its run after some events.
func (ts *testScheduler) breakAfter(events int) jujubebatch.StartRun {
	ts.t.Helper()
	starts := tick[jujubebatch.StartRun](ts)
	assert.Equal(ts.t, len(starts), 1)
	assert.Assert(ts.t, ts.HandleRunAccepted(ts.now, starts[0].Run, 1))
	for number := starts[0].After + 1; number <= starts[0].After+events; number++ {
		assert.Assert(ts.t, ts.HandleRunEvent(ts.now, starts[0].Run, number, "data", 1))
	}
	ts.HandleRunEnd(ts.now, starts[0].Run, jujubebatch.RunBroken)
	ts.now = ts.now.Add(100 * time.Millisecond)
	return starts[0]
}

// TestTextStaysAtSoftwareVersion guards against a text that another software version continues: a run breaks while engines of
// two versions serve, and the engine of the other version has more room. This is the load of a release during crashes.
func TestTextStaysAtSoftwareVersion(t *testing.T) {
	ts := newTestScheduler(t, 0)
	ts.putSoftware(0, 1, "v1")
	ts.accept(newSubmission("s", 1, "a"))
	ts.breakAfter(5)
	ts.putSoftware(1, 1, "v2")
	ts.putSoftware(2, 1, "v2")
	ts.putSoftware(3, 1, "v1")
	starts := tick[jujubebatch.StartRun](ts)
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Engine, model.EndpointID("e3"))
	assert.Equal(t, starts[0].After, 5)
}

// TestTextOfGoneSoftwareVersionStartsAnew guards against an item that waits for a software version that no engine has any more,
// and against its text being continued by another one.
func TestTextOfGoneSoftwareVersionStartsAnew(t *testing.T) {
	ts := newTestScheduler(t, 0)
	ts.putSoftware(0, 1, "v1")
	ts.accept(newSubmission("s", 1, "a"))
	ts.breakAfter(5)
	ts.RemoveEngine("e0")
	ts.putSoftware(1, 1, "v2")
	starts := tick[jujubebatch.StartRun](ts)
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].After, 0)
	assert.Equal(t, starts[0].TextSoftware, model.SoftwareVersion(""))
}

// TestWaitForSoftwareVersionIsBounded guards against an item that waits on while the only engine of its text's version fails,
// although another engine has room.
func TestWaitForSoftwareVersionIsBounded(t *testing.T) {
	ts := newTestScheduler(t, 0)
	ts.putSoftware(0, 1, "v1")
	ts.accept(newSubmission("s", 1, "a"))
	ts.breakAfter(60)
	ts.putSoftware(1, 1, "v2")
	assert.Equal(t, len(tick[jujubebatch.StartRun](ts)), 0, "the engine of the text's version may be back soon")
	for range 40 {
		ts.now = ts.now.Add(50 * time.Millisecond)
		ts.RemoveEngine("e0")
		ts.putSoftware(0, 1, "v1")
		ts.MarkLoading("e0", "m", ts.now.Add(time.Second))
		if starts := tick[jujubebatch.StartRun](ts); len(starts) > 0 {
			assert.Equal(t, starts[0].Engine, model.EndpointID("e1"))
			assert.Equal(t, starts[0].After, 0)
			return
		}
	}
	t.Fatal("the item still waits after two seconds")
}

// TestTextOfUnknownSoftwareVersionStartsAnew guards against continuing a text whose software version isn't known: from an engine
// that didn't report one, or from a checkpoint that an earlier version of the service wrote. That a single version serves now
// doesn't prove which one began the text.
func TestTextOfUnknownSoftwareVersionStartsAnew(t *testing.T) {
	t.Run("engine", func(t *testing.T) {
		ts := newTestScheduler(t, 0)
		ts.putSoftware(0, 1, "")
		ts.accept(newSubmission("s", 1, "a"))
		ts.breakAfter(5)
		ts.putSoftware(1, 1, "v1")
		ts.putSoftware(2, 1, "")
		starts := tick[jujubebatch.StartRun](ts)
		assert.Equal(t, len(starts), 1)
		assert.Equal(t, starts[0].After, 0)
	})
	t.Run("checkpoint", func(t *testing.T) {
		ts := newTestScheduler(t, 0)
		ts.putSoftware(0, 1, "v1")
		ts.accept(newSubmission("s", 1, "a"))
		ts.Apply(ts.now, progress("", 5))
		starts := tick[jujubebatch.StartRun](ts)
		assert.Equal(t, len(starts), 1)
		assert.Assert(t, starts[0].Progress == nil)
	})
}

func progress(software model.SoftwareVersion, events int) *jujubebatch.Entry {
	return &jujubebatch.Entry{Progress: &jujubebatch.Progress{
		Submission: "s", Item: "s-0", Count: events, Events: make([]string, events), Versions: []model.WeightVersion{1}, By: "z",
		SoftwareVersion: software,
	}}
}

// TestCheckpointStaysAtSoftwareVersion guards against a text that goes on at another software version after all instances were
// lost: the only trace of what began it is its checkpoint in the log.
func TestCheckpointStaysAtSoftwareVersion(t *testing.T) {
	for _, test := range []struct {
		name    string
		engines []model.SoftwareVersion
		engine  model.EndpointID
		resumes bool
	}{
		{"both versions serve", []model.SoftwareVersion{"v2", "v2", "v1"}, "e2", true},
		{"the version has left", []model.SoftwareVersion{"v2"}, "e0", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			ts := newTestScheduler(t, 0)
			for i, software := range test.engines {
				ts.putSoftware(i, 1, software)
			}
			ts.SetLagging(true)
			ts.accept(newSubmission("s", 1, "a"))
			ts.Apply(ts.now, progress("v1", 5))
			ts.SetLagging(false)
			starts := tick[jujubebatch.StartRun](ts)
			assert.Equal(t, len(starts), 1)
			assert.Equal(t, starts[0].Engine, test.engine)
			assert.Equal(t, starts[0].Progress != nil, test.resumes)
		})
	}
}

// TestCheckpointOfLaterSoftwareVersionCounts guards against an item that starts anew again and again: the checkpoint of its new
// text is shorter than the earlier one, whose version has left.
func TestCheckpointOfLaterSoftwareVersionCounts(t *testing.T) {
	ts := newTestScheduler(t, 0)
	ts.putSoftware(0, 1, "v2")
	ts.SetLagging(true)
	ts.accept(newSubmission("s", 1, "a"))
	ts.Apply(ts.now, progress("v1", 9))
	ts.Apply(ts.now, progress("v2", 5))
	ts.SetLagging(false)
	starts := tick[jujubebatch.StartRun](ts)
	assert.Equal(t, len(starts), 1)
	assert.Assert(t, starts[0].Progress != nil)
	after, ok := ts.RestoreProgress(starts[0].Run, make([]string, 5))
	assert.Assert(t, ok)
	assert.Equal(t, after, 5)
}

// TestOfferedTextKeepsSoftwareVersion guards against a text that changes its software version when its item is handed to the
// gateway of another engine, which has an earlier text of the item.
func TestOfferedTextKeepsSoftwareVersion(t *testing.T) {
	for _, test := range []struct {
		name            string
		offered, engine model.SoftwareVersion
		resumes         bool
	}{
		{"text of the engine's version", "v2", "v2", true},
		{"text of another version", "v1", "v2", false},
		{"text of an unknown version", "", "v2", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			ts := newTestScheduler(t, 0)
			ts.putSoftware(0, 1, test.engine)
			ts.SetLiveMembers(members("a", "b"))
			ts.accept(newSubmission("s", 1, "b"))
			ts.Apply(ts.now, progress("v1", 3))
			offer := jujubebatch.Offer{
				Submission: "s", Item: "s-0", Engine: "e0", Events: []string{"1", "2"}, Versions: []model.WeightVersion{1},
				SoftwareVersion: test.offered,
			}
			assert.Assert(t, ts.AcceptOffer(ts.now, offer))
			starts := tick[jujubebatch.StartRun](ts)
			assert.Equal(t, len(starts), 1)
			assert.Assert(t, starts[0].Progress == nil)
			assert.Equal(t, starts[0].After == 2, test.resumes, "after %d", starts[0].After)
		})
	}
}

// TestReusedTextKeepsSoftwareVersion guards against a text that a later submission of the same item continues at another
// software version.
func TestReusedTextKeepsSoftwareVersion(t *testing.T) {
	ts := newTestScheduler(t, 0)
	ts.putSoftware(0, 1, "v1")
	ts.accept(newSubmission("s", 1, "a"))
	ts.breakAfter(5)
	ts.Apply(ts.now, &jujubebatch.Entry{End: &jujubebatch.End{Submission: "s"}})
	again := newSubmission("s", 1, "a")
	again.ID = "s2"
	ts.putSoftware(1, 1, "v2")
	ts.putSoftware(2, 1, "v1")
	ts.accept(again)
	starts := tick[jujubebatch.StartRun](ts)
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Engine, model.EndpointID("e2"))
	assert.Equal(t, starts[0].After, 5)
}

// TestRestartWithOtherSoftwareDropsTexts guards against an engine that starts again under its id with another software version:
// the texts of the runs on it may have parts of both.
func TestRestartWithOtherSoftwareDropsTexts(t *testing.T) {
	ts := newTestScheduler(t, 0)
	ts.putSoftware(0, 1, "v1")
	ts.accept(newSubmission("s", 1, "a"))
	first := tick[jujubebatch.StartRun](ts)[0]
	assert.Assert(t, ts.HandleRunEvent(ts.now, first.Run, 1, "data", 1))
	ts.putSoftware(0, 2, "v2")
	ts.putSoftware(1, 1, "v1")
	ts.now = ts.now.Add(100 * time.Millisecond)
	starts := tick[jujubebatch.StartRun](ts)
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].After, 0)
}

// TestUnconfirmedTextStartsAnew guards against a text joined from two software versions: an engine starts again under its id with
// another version, and its run breaks off before the new entry has been read, so that the text counts as one of the earlier version.
func TestUnconfirmedTextStartsAnew(t *testing.T) {
	for name, test := range map[string]struct {
		// readAfter is how long after the run's connection was opened the registry was last read.
		readAfter time.Duration
		cancelled bool
		after     int
	}{
		"read before":                 {-time.Second, false, 0},
		"read before, then cancelled": {-time.Second, true, 0},
		"read since":                  {time.Second, false, 5},
		"read since, then cancelled":  {time.Second, true, 5},
	} {
		t.Run(name, func(t *testing.T) {
			ts := newTestScheduler(t, 0)
			ts.putSoftware(0, 1, "v1")
			ts.accept(newSubmission("s", 1, "a"))
			starts := tick[jujubebatch.StartRun](ts)
			assert.Equal(t, len(starts), 1)
			run := starts[0].Run
			ts.HandleRunConnected(run, ts.now)
			assert.Assert(t, ts.HandleRunAccepted(ts.now, run, 1))
			for number := 1; number <= 5; number++ {
				assert.Assert(t, ts.HandleRunEvent(ts.now, run, number, "data", 1))
			}
			ts.SetRegistryRead(ts.now.Add(test.readAfter))
			for _, action := range ts.Checkpoint(ts.now) {
				entry, ok := action.(jujubebatch.AppendEntry)
				assert.Assert(t, !ok || entry.Entry.Progress == nil || test.after > 0, "an unconfirmed text is recorded")
			}
			if test.cancelled {
				ts.putSoftware(0, 2, "v1") // it has started again
			} else {
				ts.HandleRunEnd(ts.now, run, jujubebatch.RunBroken)
			}
			ts.now = ts.now.Add(100 * time.Millisecond)
			ts.putSoftware(1, 1, "v1")
			starts = tick[jujubebatch.StartRun](ts)
			assert.Equal(t, len(starts), 1)
			assert.Equal(t, starts[0].After, test.after)
		})
	}
}
