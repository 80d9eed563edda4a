package jujubenode_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeerror"
	"jujubepier.example/core/services/jujubebatch"
	"jujubepier.example/entry/services/jujubenode"
)

// maxAppendDelay bounds how long after a call without a response the store may execute it.
const maxAppendDelay = 6 * time.Second

// playAttempts submits a submission until it is accepted or the caller gives up; one with EndAt is accepted before, and ended in that way. It
// returns what went wrong: a call that was refused at each attempt has had an effect, or an accepted one hasn't, or results are missing.
func (r *endsRun) playAttempts(s plannedSubmission) string {
	submit := func(ctx context.Context, node *jujubenode.Node) error {
		return node.Submit(ctx, route, newSubmission(string(s.ID), s.Items))
	}
	call := submit
	if s.EndAt > 0 {
		if !r.try(func(ctx context.Context) error { return submit(ctx, r.node(s.By)) }) {
			return string(s.ID) + " isn't accepted"
		}
		r.sleepUntil(s.EndAt)
		call = func(ctx context.Context, node *jujubenode.Node) error { return node.EndSubmission(ctx, s.ID) }
	}
	refused, isDone := 0, false
	for i := 0; i < s.Attempts && !isDone; i++ {
		ctx, cancel := context.WithTimeout(r.t.Context(), 4*time.Second)
		err := call(ctx, r.node((s.By+i)%r.Machines))
		cancel()
		isDone = err == nil
		if refusal, ok := jujubeerror.IsErrRefused(err); ok && refusal.Ran == model.RanNo {
			refused++
			time.Sleep(refusal.RetryAfter)
		}
	}
	r.sleepUntil(faultsTo + maxAppendDelay)
	var hasEffect bool
	if !r.try(func(ctx context.Context) error {
		page, err := r.node(s.By).ReadResults(ctx, s.ID, 0, 0)
		if hasEffect = err == nil && (s.EndAt == 0 || page.Ended); errors.As(err, new(jujubenode.ErrUnknownSubmission)) && s.EndAt == 0 {
			return nil
		}
		if err == nil && !page.Ended && len(page.Results) < page.Total {
			return errors.New("results are missing")
		}
		return err
	}) {
		return string(s.ID) + " can't be read to its end"
	}
	switch {
	case hasEffect && refused == s.Attempts:
		return fmt.Sprintf("%s was refused %d times and has had an effect", s.ID, refused)
	case !hasEffect && isDone:
		return string(s.ID) + " was accepted and has had no effect"
	}
	return ""
}

// TestRefusedCallsHaveNoEffect guards against submissions and ends that callers take for not done, as the store refused the direct append,
// while the append through another instance, whose response was lost, has taken effect or still will.
func TestRefusedCallsHaveNoEffect(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := endsCase{Machines: rapid.IntRange(2, 5).Draw(rt, "machines"), DirectReaders: rapid.IntRange(1, 5).Draw(rt, "direct readers")}
		for outage := range rapid.IntRange(1, 3).Draw(rt, "outages") {
			from := 4*time.Second + time.Duration(outage)*5*time.Second
			for i := range c.Machines {
				name := fmt.Sprintf("outage %d at %d", outage, i)
				kind := rapid.SampledFrom([]faultKind{storeRefuses, appendsSilent, appendsLate, appendsHang, storeHangs, down, ""}).Draw(rt, name)
				if kind == "" {
					continue
				}
				f := fault{Machine: model.InstanceID(fmt.Sprint("i", i)), Kind: kind, From: from, To: from + drawTime(rt, name+" for", 200*time.Millisecond, 2*time.Second)}
				if kind == appendsLate {
					f.Delay = drawTime(rt, name+" delay", 500*time.Millisecond, maxAppendDelay)
				}
				c.Faults = append(c.Faults, f)
			}
			for i := range rapid.IntRange(1, 4).Draw(rt, "submissions") {
				name := fmt.Sprintf("s%d-%d", outage, i)
				at := from + drawTime(rt, name, -100*time.Millisecond, 700*time.Millisecond)
				planned := plannedSubmission{
					ID: jujubebatch.SubmissionID(name), At: at, By: rapid.IntRange(0, c.Machines-1).Draw(rt, name+" by"), Items: 2,
					Attempts: rapid.IntRange(1, 2).Draw(rt, name+" attempts"),
				}
				if rapid.Bool().Draw(rt, name+" is ended") {
					planned.At, planned.EndAt = from-time.Second, at
				}
				c.Submissions = append(c.Submissions, planned)
			}
		}
		var violations []string
		synctest.Test(t, func(t *testing.T) { violations = newEndsRun(t, c).run() })
		if len(violations) > 0 {
			rt.Fatalf("%d violations, the first ones: %q", len(violations), violations[:min(3, len(violations))])
		}
	})
}

// TestLostAppendAnswer guards against submissions that are refused as not run although their append got no response, against callers that are
// told that the outcome is unknown while it can be found out before their deadline, and against ones that wait for a store that refuses all.
func TestLostAppendAnswer(t *testing.T) {
	const ms, from = time.Millisecond, 3 * time.Second
	const sentAfter = 600 * ms // reads in progress when the faults begin have ended
	everywhere := func(kind faultKind) fault { return fault{Kind: kind, From: from, To: from + 10*time.Second} }
	late := everywhere(appendsLate)
	late.Delay = maxAppendDelay
	at := func(id model.InstanceID, f fault) fault { f.Machine = id; return f }
	for name, c := range map[string]struct {
		faults []fault
		// deadline is the caller's, after the submission was sent; within is the time in which it gets the response.
		deadline, within time.Duration
		ran              model.Ran
		// leaves is true if the caller, or the instance, leaves at the deadline.
		leaves bool
	}{
		"the record is read":       {[]fault{everywhere(appendsSilent)}, 10 * time.Second, 100 * ms, model.RanYes, false},
		"a repetition succeeds":    {[]fault{at("i0", everywhere(storeRefuses)), at("i1", everywhere(appendsHang))}, 10 * time.Second, 1000 * ms, model.RanYes, false},
		"it takes effect later":    {[]fault{late}, 10 * time.Second, 3100 * ms, model.RanUnknown, false},
		"the caller's deadline":    {[]fault{everywhere(appendsHang)}, 1000 * ms, 1000 * ms, model.RanUnknown, false},
		"the caller leaves":        {[]fault{everywhere(appendsHang)}, 300 * ms, 300 * ms, model.RanUnknown, true},
		"all attempts are refused": {[]fault{everywhere(storeRefuses)}, 10 * time.Second, 100 * ms, model.RanNo, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newEndsRun(t, endsCase{Machines: 3, DirectReaders: 3, Faults: c.faults})
				defer r.cluster.network.close()
				for i := range r.Machines {
					r.start(i)
					defer r.stop(i)
				}
				r.sleepUntil(from + sentAfter)
				ctx, cancel := context.WithTimeout(t.Context(), c.deadline)
				if c.leaves {
					ctx, cancel = context.WithCancel(t.Context())
					time.AfterFunc(c.deadline, cancel)
				}
				defer cancel()
				err := r.node(0).Submit(ctx, route, newSubmission("s", 3))
				assert.Check(t, time.Since(r.cluster.network.start) <= from+sentAfter+c.within, "%s", time.Since(r.cluster.network.start))
				refused, _ := jujubeerror.IsErrRefused(err)
				if err == nil {
					refused.Ran = model.RanYes
				}
				assert.Check(t, refused.Ran == c.ran, "%v", err)
				r.sleepUntil(from + 12*time.Second)
				assert.NilError(t, r.node(1).Submit(t.Context(), route, newSubmission("s", 3)))
				assert.Equal(t, len(readAll(t, r.node(2), "s")), 3) // accepted once
			})
		})
	}
}
