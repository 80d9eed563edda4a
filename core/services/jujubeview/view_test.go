package jujubeview_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"jujubepier.example/core/modules/jujubeclock"
	"jujubepier.example/core/services/jujubeview"
)

const bound = 3 * time.Second

func at(d time.Duration) jujubeclock.Instant { return jujubeclock.Instant(time.Hour).Add(d) }

// TestCheck guards against work that is sent from a view which is too old, and against instances that idle while nothing can be
// written to the log.
func TestCheck(t *testing.T) {
	confirmed := func(times ...time.Duration) jujubeview.Outage {
		var w jujubeview.Witnesses
		for _, d := range times {
			w.Confirm(at(d), "b", 1)
		}
		return w.Outage()
	}
	for name, c := range map[string]struct {
		requestedAt, now time.Duration
		outage           jujubeview.Outage
		gate             jujubeview.Gate
		want             jujubeview.Verdict
	}{
		"recent":                             {0, 2500 * time.Millisecond, jujubeview.Outage{}, jujubeview.Gate{Bound: bound}, jujubeview.Current},
		"old":                                {0, 2501 * time.Millisecond, jujubeview.Outage{}, jujubeview.Gate{Bound: bound}, jujubeview.Outdated},
		"old without a bound":                {0, time.Minute, jujubeview.Outage{}, jujubeview.Gate{}, jujubeview.Current},
		"the store is away":                  {0, 8 * time.Second, confirmed(3*time.Second, 5*time.Second, 7*time.Second), jujubeview.Gate{Bound: bound}, jujubeview.StoreAway},
		"the store was away":                 {0, 10 * time.Second, confirmed(3*time.Second, 5*time.Second, 7*time.Second), jujubeview.Gate{Bound: bound}, jujubeview.Outdated},
		"not read before the outage":         {0, 8 * time.Second, confirmed(7 * time.Second), jujubeview.Gate{Bound: bound}, jujubeview.Outdated},
		"a second outage without a read":     {0, 12 * time.Second, confirmed(3*time.Second, 11*time.Second), jujubeview.Gate{Bound: bound}, jujubeview.Outdated},
		"never read, and the store is away":  {-time.Hour, 8 * time.Second, confirmed(7 * time.Second), jujubeview.Gate{Bound: bound}, jujubeview.Outdated},
		"never read, shortly after the boot": {-time.Hour, -time.Hour + time.Second, jujubeview.Outage{}, jujubeview.Gate{Bound: bound}, jujubeview.Outdated},
	} {
		t.Run(name, func(t *testing.T) {
			view := jujubeview.View{RequestedAt: at(c.requestedAt), Outage: c.outage}
			assert.Equal(t, c.gate.Check(at(c.now), view), c.want)
			if remaining := c.gate.ValidFor(at(c.now), view); c.want.Allows() && c.gate.Bound > 0 {
				assert.Equal(t, c.gate.Check(at(c.now+remaining+1), view), jujubeview.Outdated)
				assert.Assert(t, remaining == 1 || c.gate.Check(at(c.now+remaining), view).Allows())
			}
		})
	}
}

// TestFewWitnesses guards against an instance that takes the store for away because one or two others are as slow as it is.
func TestFewWitnesses(t *testing.T) {
	var w jujubeview.Witnesses
	isConfirmed := func() bool { return w.Outage().ConfirmedAt != 0 }
	w.Confirm(at(0), "b", 8)
	w.Confirm(at(time.Second), "b", 8)
	w.Confirm(at(time.Second), "c", 8)
	assert.Assert(t, !isConfirmed())
	w.Withdraw("b")
	w.Confirm(at(1500*time.Millisecond), "d", 8)
	assert.Assert(t, !isConfirmed())
	w.Confirm(at(4*time.Second), "b", 8)
	assert.Assert(t, !isConfirmed(), "the other two are too old")
	w.Confirm(at(4*time.Second), "c", 8)
	w.Confirm(at(5*time.Second), "d", 8)
	assert.Equal(t, w.Outage(), jujubeview.Outage{Since: at(5 * time.Second), ConfirmedAt: at(5 * time.Second)})
	var few jujubeview.Witnesses
	few.Confirm(at(0), "b", 2)
	assert.Equal(t, few.Outage(), jujubeview.Outage{})
	few.Confirm(at(0), "c", 2)
	assert.Equal(t, few.Outage().ConfirmedAt, at(0))
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
