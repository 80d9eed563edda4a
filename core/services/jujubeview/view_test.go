package jujubeview_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"jujubepier.example/core/modules/jujubeclock"
	"jujubepier.example/core/services/jujubeview"
)

const (
	bound = 3 * time.Second
	// never is the time that at returns as zero.
	never = -time.Hour
)

func at(d time.Duration) jujubeclock.Instant { return jujubeclock.Instant(time.Hour).Add(d) }

// TestCheck guards against work that is sent from a view which is too old, and against instances that idle while nothing can be
// written to the log.
func TestCheck(t *testing.T) {
	for name, c := range map[string]struct {
		requestedAt, vouchedAt, now time.Duration
		gate                        jujubeview.Gate
		want                        jujubeview.Verdict
	}{
		"recent":                             {0, never, 2500 * time.Millisecond, jujubeview.Gate{Bound: bound}, jujubeview.Current},
		"old":                                {0, never, 2501 * time.Millisecond, jujubeview.Gate{Bound: bound}, jujubeview.Outdated},
		"old without a bound":                {0, never, time.Minute, jujubeview.Gate{}, jujubeview.Current},
		"nobody knows more":                  {0, 57500 * time.Millisecond, time.Minute, jujubeview.Gate{Bound: bound}, jujubeview.StoreAway},
		"nobody knew more a while ago":       {0, 57499 * time.Millisecond, time.Minute, jujubeview.Gate{Bound: bound}, jujubeview.Outdated},
		"recent, and nobody knew more":       {0, -time.Second, 2500 * time.Millisecond, jujubeview.Gate{Bound: bound}, jujubeview.Current},
		"never read, and nobody knows more":  {never, 7 * time.Second, 8 * time.Second, jujubeview.Gate{Bound: bound}, jujubeview.Outdated},
		"never read, shortly after the boot": {never, never, never + time.Second, jujubeview.Gate{Bound: bound}, jujubeview.Outdated},
	} {
		t.Run(name, func(t *testing.T) {
			view := jujubeview.View{RequestedAt: at(c.requestedAt), VouchedAt: at(c.vouchedAt)}
			assert.Equal(t, c.gate.Check(at(c.now), view), c.want)
			if remaining := c.gate.ValidFor(at(c.now), view); c.want.Allows() && c.gate.Bound > 0 {
				assert.Equal(t, c.gate.Check(at(c.now+remaining+1), view), jujubeview.Outdated)
				assert.Assert(t, remaining == 1 || c.gate.Check(at(c.now+remaining), view).Allows())
			}
		})
	}
}

// TestNoWorkLongAfterARecord guards against work that is sent against a record which was acknowledged longer ago than the bound, with
// any delays of the reads, while the store is not away.
func TestNoWorkLongAfterARecord(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gate := jujubeview.Gate{Bound: time.Duration(rapid.Int64Range(int64(time.Second), int64(10*time.Second)).Draw(t, "bound"))}
		draw := func(label string) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(12*time.Second)).Draw(t, label))
		}
		now, ackedAt := time.Duration(0), draw("acked")
		view := jujubeview.View{}
		for range rapid.IntRange(1, 8).Draw(t, "reads") {
			requestedAt := now
			now += draw("response")
			view.RequestedAt = max(view.RequestedAt, at(requestedAt))
			now += draw("delay")
			isKnown := view.RequestedAt >= at(ackedAt)
			if !isKnown && gate.Check(at(now), view).Allows() && now > ackedAt+gate.MaxAge() {
				t.Fatalf("sent %s after the record with a bound of %s", now-ackedAt, gate.Bound)
			}
		}
	})
}
