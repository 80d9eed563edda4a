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

// actionsOfType returns the actions of one type.
func actionsOfType[A jujubestep.Action](actions []jujubestep.Action) []A {
	var matching []A
	for _, action := range actions {
		if a, ok := action.(A); ok {
			matching = append(matching, a)
		}
	}
	return matching
}

func startStreams(t testing.TB, steps *jujubestep.Steps) []jujubestep.StartStream {
	starts := actionsOfType[jujubestep.StartStream](steps.Tick(start))
	assert.Assert(t, len(starts) > 0)
	for _, s := range starts {
		steps.HandleStreamStart(start, s.Stream, "e1")
	}
	return starts
}

func finishStream(steps *jujubestep.Steps, now time.Time, id model.StreamID, version model.WeightVersion) {
	steps.HandleStreamProgress(now, id, 0, 50, version)
	steps.HandleStreamEnd(now, id, jujubestep.StreamEnd{Kind: jujubestep.EndFinished, Tokens: 50})
}

// TestSubmitRefusals guards against accepting parts that can't be served, and against refusals that report "not run" for
// work that ran.
func TestSubmitRefusals(t *testing.T) {
	cases := map[string]struct {
		modify func(p *model.StepPart)
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
			c.modify(&part)
			_, err := steps.Submit(start, part)
			refused, _ := jujubeerror.IsErrRefused(err)
			assert.Equal(t, refused.Code, c.code)
			assert.Equal(t, refused.Ran, c.ran)
		})
	}
}

// TestPullRefusals guards against confirming groups that the trainer doesn't have, and against responding to pulls
// of a superseded attempt.
func TestPullRefusals(t *testing.T) {
	steps := newSteps(t, newPart(2, 3, 1))
	steps.ResumeDone(start, key)
	for _, s := range startStreams(t, steps)[:2] {
		finishStream(steps, start, s.Stream, 5)
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

// TestFaultyStreamsAreDiscarded guards against delivering or keeping samples whose labels are wrong or too old.
func TestFaultyStreamsAreDiscarded(t *testing.T) {
	cases := map[string]struct {
		report func(s *jujubestep.Steps, id model.StreamID)
		cause  jujubestep.Cause
	}{
		"no version":        {func(s *jujubestep.Steps, id model.StreamID) { s.HandleStreamProgress(start, id, 0, 5, 0) }, jujubestep.CauseUnlabelled},
		"gap":               {func(s *jujubestep.Steps, id model.StreamID) { s.HandleStreamProgress(start, id, 1, 5, 5) }, jujubestep.CauseLabelGap},
		"gap at the end":    {func(s *jujubestep.Steps, id model.StreamID) { s.HandleStreamEnd(start, id, finishedEnd(9)) }, jujubestep.CauseLabelGap},
		"overlap":           {func(s *jujubestep.Steps, id model.StreamID) { s.HandleStreamProgress(start, id, 4, 6, 5) }, jujubestep.CauseLabelOverlap},
		"other version":     {func(s *jujubestep.Steps, id model.StreamID) { s.HandleStreamProgress(start, id, 0, 4, 6) }, jujubestep.CauseLabelOverlap},
		"old weights":       {func(s *jujubestep.Steps, id model.StreamID) { s.HandleStreamProgress(start, id, 5, 8, 2) }, jujubestep.CauseStale},
		"trainer advanced":  {func(s *jujubestep.Steps, _ model.StreamID) { s.SetTrainerVersion(start, "t", 8) }, jujubestep.CauseStale},
		"bound was lowered": {func(s *jujubestep.Steps, _ model.StreamID) { s.SetTrainerVersion(start, "t", 7); lowerBound(s) }, jujubestep.CauseStale},
		"finished, too old": {func(s *jujubestep.Steps, id model.StreamID) {
			s.HandleStreamEnd(start, id, finishedEnd(5))
			s.SetTrainerVersion(start, "t", 8)
		}, jujubestep.CauseStale},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			steps := newSteps(t, newPart(1, 1, 1))
			id := startStreams(t, steps)[0].Stream
			steps.HandleStreamProgress(start, id, 0, 5, 5)
			steps.HandleStreamProgress(start, id, 0, 5, 5) // a repeated chunk has no effect
			if name == "no version" || name == "gap" {
				steps = newSteps(t, newPart(1, 1, 1))
				id = startStreams(t, steps)[0].Stream
			}
			c.report(steps, id)
			actions := steps.Tick(start.Add(time.Second))
			assert.Equal(t, actionsOfType[jujubestep.ReportDiscarded](actions)[0].Cause, c.cause)
			assert.Equal(t, actionsOfType[jujubestep.ForgetStream](actions)[0].Stream, id)
			assert.Assert(t, actionsOfType[jujubestep.StartStream](actions)[0].Stream != id)
		})
	}
}

func finishedEnd(tokens int) jujubestep.StreamEnd {
	return jujubestep.StreamEnd{Kind: jujubestep.EndFinished, Tokens: tokens}
}

func lowerBound(steps *jujubestep.Steps) {
	lowered := limits("")
	lowered.Trainers["t"] = model.TrainerLimits{Model: "m", StalenessBound: 1}
	steps.SetLimits(lowered)
}

// TestHedgedRuns guards against hedged runs of too many samples, of groups with many unfinished samples, and of texts that are
// merely long.
func TestHedgedRuns(t *testing.T) {
	steps := newSteps(t, newPart(1, 10, 4))
	starts := startStreams(t, steps)
	slow := map[int]bool{0: true, 4: true, 8: true, 12: true, 13: true, 16: true}
	for i, s := range starts {
		if !slow[i] {
			finishStream(steps, start.Add(5*time.Second), s.Stream, 5)
		}
	}
	steps.HandleStreamProgress(start.Add(6*time.Second), starts[0].Stream, 0, 60, 5) // long, but at the usual rate
	assert.Equal(t, len(steps.Tick(start.Add(4*time.Second))), 0)
	hedgedRuns := actionsOfType[jujubestep.StartStream](steps.Tick(start.Add(6 * time.Second)))
	assert.Equal(t, len(hedgedRuns), 2) // 5% of 40 samples
	assert.Equal(t, hedgedRuns[0].Group, 1)
	assert.Equal(t, hedgedRuns[1].Group, 2)
	assert.DeepEqual(t, hedgedRuns[0].Avoid, []model.EndpointID{"e1"})
	finishStream(steps, start.Add(9*time.Second), hedgedRuns[0].Stream, 5)
	cancels := actionsOfType[jujubestep.CancelStream](steps.Tick(start.Add(9 * time.Second)))
	assert.Equal(t, cancels[0].Stream, starts[4].Stream)
	assert.Equal(t, cancels[0].Cause, jujubestep.CauseLostHedge)
}

// TestResumeNeedsTheSameContent guards against resuming a stream of another request: a held stream is resumed only for the
// same prompt and length limit. Also guards against a former owner that cancels what the new owner has resumed.
func TestResumeNeedsTheSameContent(t *testing.T) {
	former := newSteps(t, newPart(1, 2, 1))
	starts := startStreams(t, former)
	part := newPart(2, 2, 1)
	part.Groups[1].Prompt = "other"
	steps := newSteps(t, part)
	assert.Equal(t, len(steps.Tick(start)), 0) // waits until engines have reported the streams they hold
	steps.Resume(start, []model.EngineStream{{Stream: starts[0].Stream}, {Stream: starts[1].Stream}}, "e1")
	actions := steps.Tick(start)
	resumed := actionsOfType[jujubestep.StartStream](actions)
	assert.Equal(t, len(resumed), 1)
	assert.Equal(t, resumed[0].Stream, starts[0].Stream)
	assert.Assert(t, resumed[0].Resume)
	assert.Equal(t, actionsOfType[jujubestep.CancelStream](actions)[0].Stream, starts[1].Stream)
	former.SupersedePart(start, key, 2)
	for _, cancel := range actionsOfType[jujubestep.CancelStream](former.Tick(start)) {
		assert.Assert(t, cancel.Detach)
	}
}

// TestOwnersStartDifferentStreams guards against two owners of the same attempt that start the same stream id.
func TestOwnersStartDifferentStreams(t *testing.T) {
	var ids []model.StreamID
	for _, owner := range []string{"a", "b"} {
		steps := jujubestep.New(jujubestep.Settings{Owner: owner})
		steps.SetLimits(limits(""))
		_, err := steps.Submit(start, newPart(1, 1, 1))
		assert.NilError(t, err)
		ids = append(ids, startStreams(t, steps)[0].Stream)
	}
	assert.Assert(t, ids[0] != ids[1])
}

// TestRetryAfterIsRespected guards against retries before the time that the endpoint requested, and against failing a
// group because of one refusal.
func TestRetryAfterIsRespected(t *testing.T) {
	steps := newSteps(t, newPart(1, 1, 1))
	id := startStreams(t, steps)[0].Stream
	steps.HandleStreamEnd(start, id, jujubestep.StreamEnd{Kind: jujubestep.EndRefused, Code: jujubeerror.CodeOverloaded, RetryAfter: 3 * time.Second})
	assert.Equal(t, len(actionsOfType[jujubestep.StartStream](steps.Tick(start.Add(2*time.Second)))), 0)
	retried := actionsOfType[jujubestep.StartStream](steps.Tick(start.Add(3 * time.Second)))
	assert.Equal(t, len(retried), 1)
	steps.HandleStreamEnd(start, retried[0].Stream, jujubestep.StreamEnd{Kind: jujubestep.EndRefused, Code: jujubeerror.CodeQuarantined})
	delivery, err := steps.Pull(start, model.Pull{Key: key, Attempt: 1, Version: 5})
	assert.NilError(t, err)
	assert.Equal(t, delivery.Remaining, 0)
	assert.DeepEqual(t, delivery.Failed, []model.FailedGroup{{Group: 0, Code: jujubeerror.CodeQuarantined}})
}

// TestRequirePreferred guards against starting samples on old weights when the trainer's next version will make them too old, and
// against waiting for new weights that no sample needs.
func TestRequirePreferred(t *testing.T) {
	steps := jujubestep.New(jujubestep.Settings{})
	steps.SetLimits(limits(""))
	_, err := steps.Submit(start, newPart(1, 1, 1))
	assert.NilError(t, err)
	version := model.WeightVersion(5)
	runStep := func(overlaps bool) bool {
		starts := startStreams(t, steps)
		insists := starts[0].RequirePreferred
		if overlaps {
			version++
			steps.SetTrainerVersion(start, key.Trainer, version)
		}
		finishStream(steps, start, starts[0].Stream, version)
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
	assert.Assert(t, runStep(false), "the trainer has no history")
	assert.Assert(t, !runStep(true), "the versions arrive between the steps")
	for i := range 3 {
		assert.Assert(t, runStep(false), "a version arrived while samples were generated, %d steps ago", i)
	}
	assert.Assert(t, !runStep(false))
}
