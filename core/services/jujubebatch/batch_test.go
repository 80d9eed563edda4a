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

var start = time.Unix(1_700_000_000, 0)

// world is one instance's scheduler with engines of one model.
type world struct {
	t   *testing.T
	now time.Time
	*jujubebatch.Batches
}

func newWorld(t *testing.T, engines int) *world {
	w := &world{t: t, now: start, Batches: jujubebatch.New("a", jujubebatch.DefaultSettings())}
	w.SetLive(members("a"))
	w.SetDesired(oneRoute())
	for i := range engines {
		w.putEngine(i, 1, 1)
	}
	return w
}

// oneRoute returns a desired state with the route of all submissions here.
func oneRoute() *jujubedesired.State {
	return &jujubedesired.State{
		Version: 1,
		Routes: []jujubedesired.Route{{
			Host: "h", PathPrefix: "/p/", Kind: jujubedesired.Rollout, MaxAttempts: 3, Retention: 40 * time.Second,
			Targets: []jujubedesired.Target{{Service: "s", Weight: 1}},
		}},
	}
}

func (w *world) putEngine(i int, incarnation model.Incarnation, version model.WeightVersion) {
	w.PutEngine(jujubebatch.Engine{
		ID: model.EndpointID(fmt.Sprintf("e%d", i)), Incarnation: incarnation, Service: "s", Slots: 12,
		Versions: map[model.ModelName]model.WeightVersion{"m": version},
	})
}

// members returns ready instances of one data centre.
func members(ids ...model.InstanceID) []jujubebatch.Member {
	var all []jujubebatch.Member
	for _, id := range ids {
		all = append(all, jujubebatch.Member{ID: id, Ready: true})
	}
	return all
}

// submission returns one that an instance has accepted.
func submission(id string, items int, by model.InstanceID) *jujubebatch.Submission {
	s := &jujubebatch.Submission{ID: jujubebatch.SubmissionID(id), Host: "h", Path: "/p/x", Model: "m", MinVersion: 1, By: by}
	for i := range items {
		s.Items = append(s.Items, jujubebatch.Item{ID: jujubebatch.ItemID(fmt.Sprintf("%s-%d", id, i)), Path: "/p/i"})
	}
	return s
}

func (w *world) accept(s *jujubebatch.Submission) bool {
	return w.Apply(w.now, &jujubebatch.Entry{Submission: s})
}

// tick returns the actions of one kind.
func tick[A jujubebatch.Action](w *world) []A {
	var found []A
	for _, action := range w.Tick(w.now) {
		if one, ok := action.(A); ok {
			found = append(found, one)
		}
	}
	return found
}

// TestNoStartBehindLog guards against items that run after their submission's end: an instance that starts again reads
// the submission before the end that follows it. Load pattern: all instances lose power while submissions end.
func TestNoStartBehindLog(t *testing.T) {
	w := newWorld(t, 2)
	w.SetBehind(true)
	w.accept(submission("s1", 4, "a"))
	assert.Equal(t, len(tick[jujubebatch.StartRun](w)), 0)
	w.Apply(w.now, &jujubebatch.Entry{End: &jujubebatch.End{Submission: "s1"}})
	w.SetBehind(false)
	assert.Equal(t, len(tick[jujubebatch.StartRun](w)), 0)
	w.accept(submission("s2", 4, "a"))
	assert.Equal(t, len(tick[jujubebatch.StartRun](w)), 4)
}

// TestSubmissionTwice accepts the same submission at two instances at once: the first record counts.
func TestSubmissionTwice(t *testing.T) {
	w := newWorld(t, 2)
	assert.Assert(t, w.accept(submission("s", 2, "a")))
	assert.Assert(t, !w.accept(submission("s", 2, "b")))
	assert.Equal(t, len(tick[jujubebatch.StartRun](w)), 2)
}

// TestFirstResultCounts lists each item once, whatever late and repeated records follow, in the order of the log.
func TestFirstResultCounts(t *testing.T) {
	w := newWorld(t, 1)
	w.accept(submission("s", 2, "a"))
	result := func(item, text string) *jujubebatch.Entry {
		return &jujubebatch.Entry{Result: &jujubebatch.Result{Submission: "s", Item: jujubebatch.ItemID(item), State: jujubebatch.Completed, Text: text}}
	}
	assert.Assert(t, w.Apply(w.now, result("s-1", "first")))
	assert.Assert(t, !w.Apply(w.now, result("s-1", "second")))
	assert.Assert(t, !w.Apply(w.now, result("foreign", "x")))
	assert.Assert(t, w.Apply(w.now, result("s-0", "third")))
	page, ok := w.Read("s", 0, 1000)
	assert.Assert(t, ok)
	assert.Equal(t, page.Total, 2)
	assert.Equal(t, len(page.Results), 2)
	assert.Equal(t, page.Results[0].Text, "first")
	assert.Equal(t, page.Results[1].Text, "third")
}

// TestResumeAfterBreak goes on after the last event when a connection breaks, and lists one text.
func TestResumeAfterBreak(t *testing.T) {
	w := newWorld(t, 2)
	w.accept(submission("s", 1, "a"))
	first := tick[jujubebatch.StartRun](w)[0]
	assert.Assert(t, w.Accepted(w.now, first.Run, 1))
	assert.Assert(t, w.Event(w.now, first.Run, 1, "one", 1))
	assert.Assert(t, w.Event(w.now, first.Run, 2, "two", 1))
	w.Ended(w.now, first.Run, jujubebatch.RunBroken)
	w.now = w.now.Add(time.Second)
	second := tick[jujubebatch.StartRun](w)[0]
	assert.Equal(t, second.After, 2)
	assert.Assert(t, !w.Event(w.now, first.Run, 3, "late", 1), "the first run is over")
	assert.Assert(t, !w.Event(w.now, second.Run, 2, "again", 1), "an event that is known breaks the run off")
	assert.Assert(t, w.Event(w.now, second.Run, 3, "three", 2))
	w.Ended(w.now, second.Run, jujubebatch.RunComplete)
	appended := tick[jujubebatch.AppendEntry](w)
	assert.Equal(t, len(appended), 1)
	assert.Equal(t, appended[0].Entry.Result.Text, "one\ntwo\nthree")
	assert.DeepEqual(t, appended[0].Entry.Result.Versions, []model.WeightVersion{1, 2})
}

// TestItemsOfLostInstance sees to the items that a lost instance accepted, with what was written of them. One that an
// instance that is there still writes progress of isn't run twice.
func TestItemsOfLostInstance(t *testing.T) {
	w := newWorld(t, 4)
	w.SetLive(members("a", "b", "c"))
	w.accept(submission("s", 6, "b"))
	assert.Equal(t, len(tick[jujubebatch.StartRun](w)), 0)
	for item, by := range map[jujubebatch.ItemID]model.InstanceID{"s-1": "b", "s-2": "c"} {
		progress := &jujubebatch.Progress{Submission: "s", Item: item, Count: 2, Versions: []model.WeightVersion{1}, By: by}
		w.Apply(w.now, &jujubebatch.Entry{Progress: progress})
	}
	w.SetLive([]jujubebatch.Member{{ID: "a", Ready: true}, {ID: "c"}})
	assert.Equal(t, len(tick[jujubebatch.StartRun](w)), 2, "each second item, but not the one that runs elsewhere")
	w.SetLive(members("a"))
	var resumed jujubebatch.StartRun
	taken := tick[jujubebatch.StartRun](w)
	assert.Equal(t, len(taken), 4)
	for _, run := range taken {
		assert.Equal(t, run.Progress != nil, run.Item == "s-1" || run.Item == "s-2", "%s", run.Item)
		if run.Item == "s-1" {
			resumed = run
		}
	}
	after, ok := w.Restore(resumed.Run, []string{"x", "y"})
	assert.Assert(t, ok)
	assert.Equal(t, after, 2)
	assert.Assert(t, w.Event(w.now, resumed.Run, 3, "z", 1))
}

// TestErrored lists an item as errored only for a rejection, for as many failures as the route has attempts, or once it
// may be given up.
func TestErrored(t *testing.T) {
	w := newWorld(t, 3)
	w.accept(submission("s", 1, "a"))
	for range 2 {
		run := tick[jujubebatch.StartRun](w)[0]
		w.Ended(w.now, run.Run, jujubebatch.RunFailed)
		w.now = w.now.Add(time.Second)
	}
	run := tick[jujubebatch.StartRun](w)[0]
	assert.Equal(t, len(tick[jujubebatch.AppendEntry](w)), 0)
	w.Ended(w.now, run.Run, jujubebatch.RunFailed)
	appended := tick[jujubebatch.AppendEntry](w)
	assert.Equal(t, len(appended), 1)
	assert.Equal(t, appended[0].Entry.Result.State, jujubebatch.Errored)
	assert.Equal(t, len(tick[jujubebatch.StartRun](w)), 0)
}

// TestCodec cuts a large entry into records and joins them again; records without their beginning are passed over.
func TestCodec(t *testing.T) {
	entry := jujubebatch.Entry{Submission: submission("s", 50, "a")}
	records, err := jujubebatch.EncodeEntry(entry, 128)
	assert.NilError(t, err)
	assert.Assert(t, len(records) > 2)
	var decoder jujubebatch.Decoder
	for i, record := range records {
		got, err := decoder.Add(record)
		assert.NilError(t, err)
		assert.Equal(t, got != nil, i == len(records)-1)
	}
	_, err = decoder.Add(records[len(records)-1])
	assert.ErrorType(t, err, jujubebatch.ErrRecord{})
}

// TestLongestItemsFirst starts the items first that will take longest, when the engines have room for some only. Load
// pattern: a step comes with a new version, and few engines have its weights.
func TestLongestItemsFirst(t *testing.T) {
	w := newWorld(t, 1)
	s := submission("s", 30, "a")
	for i := range s.Items {
		s.Items[i].ExpectedTokens = 100 * (i % 10)
	}
	w.accept(s)
	started := tick[jujubebatch.StartRun](w)
	assert.Equal(t, len(started), 15)
	for _, run := range started {
		var index int
		_, err := fmt.Sscanf(string(run.Item), "s-%d", &index)
		assert.NilError(t, err)
		assert.Assert(t, index%10 >= 5, "%s", run.Item)
	}
}

// stream plays a run's events with a pause between them, the first one at once.
func (w *world) stream(run jujubebatch.RunID, from, count int, gap time.Duration) {
	w.t.Helper()
	for i := range count {
		if i > 0 {
			w.now = w.now.Add(gap)
		}
		assert.Assert(w.t, w.Event(w.now, run, from+i, "x", 1))
	}
}

// timeEngines runs an item of 20 events on each engine, the last one with weaker hardware.
func (w *world) timeEngines(engines int) {
	w.t.Helper()
	w.accept(submission("timed", engines, "a"))
	runs := tick[jujubebatch.StartRun](w)
	assert.Equal(w.t, len(runs), engines)
	for _, run := range runs {
		gap := 50 * time.Millisecond
		if run.Engine == model.EndpointID(fmt.Sprintf("e%d", engines-1)) {
			gap = 65 * time.Millisecond
		}
		w.stream(run.Run, 1, 20, gap)
		w.Ended(w.now, run.Run, jujubebatch.RunComplete)
	}
	w.Tick(w.now)
}

// TestWeakerHardwareLast fills the engines of the better hardware before the others and gives nobody a place in a queue
// while there are free slots. Load pattern: a step of which most engines could take each item, and which ends with its
// longest one.
func TestWeakerHardwareLast(t *testing.T) {
	w := newWorld(t, 4)
	w.timeEngines(4)
	s := submission("s", 40, "a")
	for i := range s.Items {
		s.Items[i].ExpectedTokens = 100 * i
	}
	w.accept(s)
	weak := 0
	for _, run := range tick[jujubebatch.StartRun](w) {
		var index int
		_, err := fmt.Sscanf(string(run.Item), "s-%d", &index)
		assert.NilError(t, err)
		if run.Engine == "e3" {
			weak++
			assert.Assert(t, index < 4, "item %d is among the longest and runs on weaker hardware", index)
		}
	}
	assert.Equal(t, weak, 4)
}

// TestLongRunLeavesWeakerHardware moves a run that turns out to be long, with its text, once an engine of the better
// hardware has room. Load pattern: an item whose estimate was far too low and which its step waits for.
func TestLongRunLeavesWeakerHardware(t *testing.T) {
	w := newWorld(t, 4)
	w.timeEngines(4)
	w.accept(submission("s", 37, "a"))
	var long jujubebatch.StartRun
	others := map[jujubebatch.RunID]bool{}
	for _, run := range tick[jujubebatch.StartRun](w) {
		if run.Engine == "e3" {
			long = run
		} else {
			others[run.Run] = true
		}
	}
	assert.Equal(t, len(others), 36)
	w.stream(long.Run, 1, 40, 65*time.Millisecond)
	for run := range others {
		assert.Assert(t, w.Event(w.now, run, 1, "x", 1))
	}
	assert.Equal(t, len(tick[jujubebatch.CancelRun](w)), 0, "the others have no room")
	for run := range others {
		w.Ended(w.now, run, jujubebatch.RunComplete)
	}
	moved := tick[jujubebatch.StartRun](w)
	assert.Equal(t, len(moved), 1)
	assert.Equal(t, moved[0].Item, long.Item)
	assert.Assert(t, moved[0].Engine != "e3")
	assert.Equal(t, moved[0].After, 40)
	assert.Assert(t, !w.Event(w.now, long.Run, 41, "late", 1), "the first run is over")
}

// TestSilentEngine ends all runs on an engine that makes no events any more, and keeps away from it for longer each time,
// but lets a run wait for its place while others get events. Load pattern: an engine goes dark in the middle of a step.
func TestSilentEngine(t *testing.T) {
	w := newWorld(t, 1)
	w.accept(submission("s", 13, "a"))
	runs := tick[jujubebatch.StartRun](w)
	assert.Equal(t, len(runs), 13)
	for number := 1; number <= 28; number++ {
		w.now = w.now.Add(50 * time.Millisecond)
		for _, run := range runs[:12] {
			assert.Assert(t, w.Event(w.now, run.Run, number, "x", 1))
		}
		assert.Equal(t, len(tick[jujubebatch.CancelRun](w)), 0, "the last one waits for its place")
	}
	w.now = w.now.Add(650 * time.Millisecond)
	w.Ended(w.now, runs[12].Run, jujubebatch.RunRefused)
	assert.Equal(t, len(tick[jujubebatch.CancelRun](w)), 0)
	w.now = w.now.Add(100 * time.Millisecond)
	assert.Equal(t, len(tick[jujubebatch.CancelRun](w)), 12)
	for _, pause := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 4 * time.Second} {
		w.now = w.now.Add(pause - 10*time.Millisecond)
		assert.Equal(t, len(tick[jujubebatch.StartRun](w)), 0, "%v", pause)
		w.now = w.now.Add(20 * time.Millisecond)
		assert.Assert(t, len(tick[jujubebatch.StartRun](w)) > 0, "%v", pause)
		w.now = w.now.Add(750 * time.Millisecond)
		assert.Assert(t, len(tick[jujubebatch.CancelRun](w)) > 0, "%v", pause)
	}
}

// TestSparesWantedEngines fills the engines that no other model's next step wants before the others. Load pattern: the steps
// of two models begin within half a second, and engines have several models.
func TestSparesWantedEngines(t *testing.T) {
	w := newWorld(t, 4)
	for i := range 2 {
		w.PutEngine(jujubebatch.Engine{
			ID: model.EndpointID(fmt.Sprintf("e%d", i)), Incarnation: 1, Service: "s", Slots: 12,
			Versions: map[model.ModelName]model.WeightVersion{"m": 1, "other": 2},
		})
	}
	other := submission("other", 1, "b")
	other.Model = "other"
	w.SetLive(members("a", "b"))
	w.accept(other)
	w.SetLive(members("a"))
	w.accept(submission("s", 30, "a"))
	counts := map[model.EndpointID]int{}
	for _, run := range tick[jujubebatch.StartRun](w) {
		if run.Submission == "s" {
			counts[run.Engine]++
		}
	}
	assert.Equal(t, counts["e2"]+counts["e3"], 24)
	assert.Equal(t, counts["e0"]+counts["e1"], 6)
}

// TestForgetting keeps an ended submission readable for a while and drops one that nobody ends before its records expire.
func TestForgetting(t *testing.T) {
	w := newWorld(t, 1)
	w.accept(submission("ended", 1, "a"))
	w.Apply(w.now, &jujubebatch.Entry{End: &jujubebatch.End{Submission: "ended"}})
	w.now = w.now.Add(10 * time.Second)
	w.accept(submission("open", 1, "a"))
	check := func(after time.Duration, ended, open bool) {
		t.Helper()
		w.now = start.Add(after)
		w.Tick(w.now)
		known, _ := w.Known("ended")
		assert.Equal(t, known, ended)
		known, _ = w.Known("open")
		assert.Equal(t, known, open)
	}
	check(120*time.Second, true, true)
	oldest, ok := w.OldestKept()
	assert.Assert(t, ok && oldest.Equal(start))
	check(140*time.Second, false, true)
	oldest, ok = w.OldestKept()
	assert.Assert(t, ok && oldest.Equal(start.Add(10*time.Second)))
	check(300*time.Second, false, false)
	_, ok = w.OldestKept()
	assert.Assert(t, !ok)
	assert.Equal(t, w.Runs(), 0)
}
