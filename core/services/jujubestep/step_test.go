package jujubestep_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeerror"
	"jujubepier.example/core/services/jujubestep"
)

var (
	start = time.Unix(1e9, 0)
	key   = model.PartKey{Trainer: "t", Step: 1}
)

func newPart(attempt int64, groups, samples int) model.StepPart {
	part := model.StepPart{Key: key, Attempt: attempt, Version: 5, MaxTokens: 100, Timeout: model.Duration(time.Minute)}
	for g := range groups {
		part.Groups = append(part.Groups, model.GroupRequest{Group: g, Prompt: fmt.Sprint("p", g), Samples: samples})
	}
	return part
}

func newSteps(t testing.TB, parts ...model.StepPart) *jujubestep.Steps {
	steps := jujubestep.New(jujubestep.Settings{MaxSamples: 8192, MaxParts: 2, MaxStarting: 8192})
	steps.SetLimits(limits(""))
	for _, part := range parts {
		_, err := steps.Submit(start, part)
		assert.NilError(t, err)
	}
	return steps
}

// pick returns the actions of one type.
func pick[A jujubestep.Action](actions []jujubestep.Action) []A {
	var picked []A
	for _, action := range actions {
		if a, ok := action.(A); ok {
			picked = append(picked, a)
		}
	}
	return picked
}

func begin(t testing.TB, steps *jujubestep.Steps) []jujubestep.StartStream {
	starts := pick[jujubestep.StartStream](steps.Tick(start))
	assert.Assert(t, len(starts) > 0)
	for _, s := range starts {
		steps.StreamStarted(start, s.Stream, "e1")
	}
	return starts
}

func finish(steps *jujubestep.Steps, now time.Time, id model.StreamID, version model.WeightVersion) {
	steps.Progress(now, id, 0, 50, version)
	steps.Ended(now, id, jujubestep.StreamEnd{Kind: jujubestep.EndFinished, Tokens: 50})
}

// Guards against parts that can't be served and against refusals that say "not run" of work that ran.
func TestSubmitRefusals(t *testing.T) {
	cases := map[string]struct {
		change func(p *model.StepPart)
		code   string
		ran    model.Ran
	}{
		"same content":      {func(*model.StepPart) {}, "", ""},
		"other content":     {func(p *model.StepPart) { p.Groups[0].Prompt = "x" }, jujubeerror.CodeConflict, model.RanNo},
		"lower attempt":     {func(p *model.StepPart) { p.Attempt = 2 }, jujubeerror.CodeStaleAttempt, model.RanUnknown},
		"attempt zero":      {func(p *model.StepPart) { p.Attempt = 0 }, jujubeerror.CodeBadRequest, model.RanNo},
		"unknown trainer":   {func(p *model.StepPart) { p.Key.Trainer = "u" }, jujubeerror.CodeUnknownTrainer, model.RanNo},
		"slash in trainer":  {func(p *model.StepPart) { p.Key.Trainer = "t/1" }, jujubeerror.CodeBadRequest, model.RanNo},
		"deadline past":     {func(p *model.StepPart) { p.Attempt, p.Timeout = 4, -1 }, jujubeerror.CodeDeadline, model.RanNo},
		"group twice":       {func(p *model.StepPart) { p.Groups[1].Group = 0 }, jujubeerror.CodeBadRequest, model.RanNo},
		"no samples":        {func(p *model.StepPart) { p.Groups[1].Samples = 0 }, jujubeerror.CodeBadRequest, model.RanNo},
		"negative samples":  {func(p *model.StepPart) { p.Groups[1].Samples = -1 }, jujubeerror.CodeBadRequest, model.RanNo},
		"huge samples":      {func(p *model.StepPart) { p.Groups[1].Samples = 1<<63 - 1 }, jujubeerror.CodeTooLarge, model.RanNo},
		"huge tokens":       {func(p *model.StepPart) { p.MaxTokens = 1 << 40 }, jujubeerror.CodeTooLarge, model.RanNo},
		"no groups":         {func(p *model.StepPart) { p.Groups = nil }, jujubeerror.CodeBadRequest, model.RanNo},
		"no room":           {func(p *model.StepPart) { p.Key.Step, p.Groups[0].Samples = 2, 8190 }, jujubeerror.CodeOverloaded, model.RanNo},
		"room by replacing": {func(p *model.StepPart) { p.Attempt, p.Groups[0].Samples = 4, 8190 }, "", ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			steps := newSteps(t, newPart(3, 2, 2))
			part := newPart(3, 2, 2)
			c.change(&part)
			_, err := steps.Submit(start, part)
			refused, _ := jujubeerror.IsErrRefused(err)
			assert.Equal(t, refused.Code, c.code)
			assert.Equal(t, refused.Ran, c.ran)
		})
	}
}

// Guards against confirming groups the trainer doesn't have, and against answers of an attempt that was replaced.
func TestPullRefusals(t *testing.T) {
	steps := newSteps(t, newPart(2, 3, 1))
	steps.ResumeDone(start, key)
	for _, s := range begin(t, steps)[:2] {
		finish(steps, start, s.Stream, 5)
	}
	check := func(now time.Time, attempt int64, cursor int, code string) {
		t.Helper()
		_, err := steps.Pull(now, model.Pull{Key: key, Attempt: attempt, Cursor: cursor, Version: 5})
		refused, _ := jujubeerror.IsErrRefused(err)
		assert.Equal(t, refused.Code, code)
	}
	check(start, 2, 1, jujubeerror.CodeCursorAhead)
	check(start, 2, 0, "")
	check(start, 2, 2, "")
	check(start, 2, 1, jujubeerror.CodeStaleAttempt)
	check(start, 2, -1, jujubeerror.CodeStaleAttempt)
	check(start, 1, 2, jujubeerror.CodeStaleAttempt)
	check(start, 3, 2, jujubeerror.CodeUnknownPart)
	check(start.Add(time.Minute), 2, 2, jujubeerror.CodeDeadline)
	steps.Tick(start.Add(2 * time.Minute))
	check(start.Add(2*time.Minute), 2, 2, jujubeerror.CodeUnknownPart)
}

// Guards against delivering or keeping samples whose labels are wrong or too old.
func TestFaultyStreamsAreDiscarded(t *testing.T) {
	cases := map[string]struct {
		report func(s *jujubestep.Steps, id model.StreamID)
		cause  jujubestep.Cause
	}{
		"no version":        {func(s *jujubestep.Steps, id model.StreamID) { s.Progress(start, id, 0, 5, 0) }, jujubestep.CauseUnlabelled},
		"gap":               {func(s *jujubestep.Steps, id model.StreamID) { s.Progress(start, id, 1, 5, 5) }, jujubestep.CauseLabelGap},
		"gap at the end":    {func(s *jujubestep.Steps, id model.StreamID) { s.Ended(start, id, end(9)) }, jujubestep.CauseLabelGap},
		"overlap":           {func(s *jujubestep.Steps, id model.StreamID) { s.Progress(start, id, 4, 6, 5) }, jujubestep.CauseLabelOverlap},
		"other version":     {func(s *jujubestep.Steps, id model.StreamID) { s.Progress(start, id, 0, 4, 6) }, jujubestep.CauseLabelOverlap},
		"old weights":       {func(s *jujubestep.Steps, id model.StreamID) { s.Progress(start, id, 5, 8, 2) }, jujubestep.CauseStale},
		"trainer advanced":  {func(s *jujubestep.Steps, _ model.StreamID) { s.SetTrainerVersion(start, "t", 8) }, jujubestep.CauseStale},
		"bound was lowered": {func(s *jujubestep.Steps, _ model.StreamID) { s.SetTrainerVersion(start, "t", 7); lower(s) }, jujubestep.CauseStale},
		"finished, too old": {func(s *jujubestep.Steps, id model.StreamID) {
			s.Ended(start, id, end(5))
			s.SetTrainerVersion(start, "t", 8)
		}, jujubestep.CauseStale},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			steps := newSteps(t, newPart(1, 1, 1))
			id := begin(t, steps)[0].Stream
			steps.Progress(start, id, 0, 5, 5)
			steps.Progress(start, id, 0, 5, 5) // a repeated chunk has no effect
			if name == "no version" || name == "gap" {
				steps = newSteps(t, newPart(1, 1, 1))
				id = begin(t, steps)[0].Stream
			}
			c.report(steps, id)
			actions := steps.Tick(start.Add(time.Second))
			assert.Equal(t, pick[jujubestep.Discarded](actions)[0].Cause, c.cause)
			assert.Equal(t, pick[jujubestep.ForgetStream](actions)[0].Stream, id)
			assert.Assert(t, pick[jujubestep.StartStream](actions)[0].Stream != id)
		})
	}
}

func end(tokens int) jujubestep.StreamEnd {
	return jujubestep.StreamEnd{Kind: jujubestep.EndFinished, Tokens: tokens}
}

func lower(steps *jujubestep.Steps) {
	lowered := limits("")
	lowered.Trainers["t"] = model.TrainerLimits{Model: "m", StalenessBound: 1}
	steps.SetLimits(lowered)
}

// Guards against second runs of many samples, of groups that lack much, and of answers that are only long.
func TestSecondRuns(t *testing.T) {
	steps := newSteps(t, newPart(1, 10, 4))
	starts := begin(t, steps)
	slow := map[int]bool{0: true, 4: true, 8: true, 12: true, 13: true, 16: true}
	for i, s := range starts {
		if !slow[i] {
			finish(steps, start.Add(5*time.Second), s.Stream, 5)
		}
	}
	steps.Progress(start.Add(6*time.Second), starts[0].Stream, 0, 60, 5) // long, at the usual rate
	assert.Equal(t, len(steps.Tick(start.Add(4*time.Second))), 0)
	runs := pick[jujubestep.StartStream](steps.Tick(start.Add(6 * time.Second)))
	assert.Equal(t, len(runs), 2) // 5% of 40 samples
	assert.Equal(t, runs[0].Group, 1)
	assert.Equal(t, runs[1].Group, 2)
	assert.DeepEqual(t, runs[0].Avoid, []model.EndpointID{"e1"})
	finish(steps, start.Add(9*time.Second), runs[0].Stream, 5)
	cancels := pick[jujubestep.CancelStream](steps.Tick(start.Add(9 * time.Second)))
	assert.Equal(t, cancels[0].Stream, starts[4].Stream)
	assert.Equal(t, cancels[0].Cause, jujubestep.CauseLoserOfSecondRun)
}

// Guards against answers to another request: a held stream is continued only for the same prompt and length limit, and
// a former owner doesn't cancel what the new owner continues.
func TestResumeNeedsTheSameContent(t *testing.T) {
	former := newSteps(t, newPart(1, 2, 1))
	starts := begin(t, former)
	part := newPart(2, 2, 1)
	part.Groups[1].Prompt = "other"
	steps := newSteps(t, part)
	assert.Equal(t, len(steps.Tick(start)), 0) // waits for what engines hold
	steps.Resume(start, []model.EngineStream{{Stream: starts[0].Stream}, {Stream: starts[1].Stream}}, "e1")
	actions := steps.Tick(start)
	resumed := pick[jujubestep.StartStream](actions)
	assert.Equal(t, len(resumed), 1)
	assert.Equal(t, resumed[0].Stream, starts[0].Stream)
	assert.Assert(t, resumed[0].Resume)
	assert.Equal(t, pick[jujubestep.CancelStream](actions)[0].Stream, starts[1].Stream)
	former.Superseded(start, key, 2)
	for _, cancel := range pick[jujubestep.CancelStream](former.Tick(start)) {
		assert.Assert(t, cancel.Detach)
	}
}

// Guards against stream ids that two owners of the same attempt start both.
func TestOwnersStartDifferentStreams(t *testing.T) {
	var ids []model.StreamID
	for _, owner := range []string{"a", "b"} {
		steps := jujubestep.New(jujubestep.Settings{Owner: owner})
		steps.SetLimits(limits(""))
		_, err := steps.Submit(start, newPart(1, 1, 1))
		assert.NilError(t, err)
		ids = append(ids, begin(t, steps)[0].Stream)
	}
	assert.Assert(t, ids[0] != ids[1])
}

// Guards against retries before the time the endpoint gave, and against blaming a group for one refusal.
func TestRetryAfterIsRespected(t *testing.T) {
	steps := newSteps(t, newPart(1, 1, 1))
	id := begin(t, steps)[0].Stream
	steps.Ended(start, id, jujubestep.StreamEnd{Kind: jujubestep.EndRefused, Code: jujubeerror.CodeOverloaded, RetryAfter: 3 * time.Second})
	assert.Equal(t, len(pick[jujubestep.StartStream](steps.Tick(start.Add(2*time.Second)))), 0)
	again := pick[jujubestep.StartStream](steps.Tick(start.Add(3 * time.Second)))
	assert.Equal(t, len(again), 1)
	steps.Ended(start, again[0].Stream, jujubestep.StreamEnd{Kind: jujubestep.EndRefused, Code: jujubeerror.CodeQuarantined})
	answer, err := steps.Pull(start, model.Pull{Key: key, Attempt: 1, Version: 5})
	assert.NilError(t, err)
	assert.Equal(t, answer.Remaining, 0)
	assert.DeepEqual(t, answer.Failed, []model.FailedGroup{{Group: 0, Code: jujubeerror.CodeQuarantined}})
}

// Guards against samples that the trainer's next version makes too old because they were started on old weights, and
// against waiting for new weights that no sample needs.
func TestInsistVersion(t *testing.T) {
	steps := jujubestep.New(jujubestep.Settings{})
	steps.SetLimits(limits(""))
	_, err := steps.Submit(start, newPart(1, 1, 1))
	assert.NilError(t, err)
	version := model.WeightVersion(5)
	next := func(overlaps bool) bool {
		starts := begin(t, steps)
		insists := starts[0].InsistVersion
		if overlaps {
			version++
			steps.SetTrainerVersion(start, key.Trainer, version)
		}
		finish(steps, start, starts[0].Stream, version)
		current := starts[0].Part
		for cursor := range 2 {
			_, err := steps.Pull(start, model.Pull{Key: current, Attempt: 1, Cursor: cursor, Version: version})
			assert.NilError(t, err)
		}
		if !overlaps {
			version++
		}
		part := newPart(1, 1, 1)
		part.Key.Step, part.Version = current.Step+1, version
		_, err := steps.Submit(start, part)
		assert.NilError(t, err)
		return insists
	}
	assert.Assert(t, next(false), "nothing is known of the trainer")
	assert.Assert(t, !next(true), "its versions come between its steps")
	for i := range 3 {
		assert.Assert(t, next(false), "a version came while samples were made, %d steps ago", i)
	}
	assert.Assert(t, !next(false))
}
