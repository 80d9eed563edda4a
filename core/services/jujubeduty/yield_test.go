package jujubeduty_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubepier.example/core/services/jujubeduty"
	"jujubepier.example/core/services/jujubelease"
)

// TestYield guards against a holder that keeps the lease although it can't connect to the API, against one that takes its own withdrawn
// calls for that, and against holders that change all the time.
func TestYield(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	g := jujubeduty.NewGate("a", 1, dutySettings)
	call := func(seconds int, outcome jujubeduty.Outcome) {
		assert.Assert(t, g.TryBegin(at(seconds)))
		g.End(at(seconds), 1, outcome, false)
	}
	call(0, jujubeduty.Withdrawn)
	assert.Assert(t, !g.ShouldProbe(at(4)))
	call(5, jujubeduty.Unsent)
	call(7, jujubeduty.Unknown)
	assert.Assert(t, !g.ShouldProbe(at(9)), "there was a connection after 7 s")
	call(10, jujubeduty.Unsent)
	call(11, jujubeduty.Withdrawn)
	assert.Assert(t, !g.ShouldProbe(at(12)) && g.ShouldProbe(at(13)) && !g.ShouldProbe(at(14)) && g.ShouldProbe(at(15)))
	assert.Assert(t, !g.IsYielding(at(15)))
	g.Yield(at(15))
	assert.Assert(t, g.IsYielding(at(29)) && !g.IsYielding(at(30)))
	call(40, jujubeduty.Unsent)
	assert.Assert(t, !g.ShouldProbe(at(74)), "twice in a minute")
	assert.Assert(t, g.ShouldProbe(at(75)))
}

// TestGateReasons guards against calls with a refused token, of a leader that doesn't hold the lease, and above the rate limit.
func TestGateReasons(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	g := jujubeduty.NewGate("a", 1, dutySettings)
	held := jujubelease.State{Holder: "a", Incarnation: 1, Fence: 4, Held: true, Expires: now.Add(time.Second)}
	degraded := held
	degraded.Held, degraded.Degraded = false, true
	g.ObserveLease(now, held)
	assert.Equal(t, g.Decide(now, 0, held), jujubeduty.Decision{Reason: jujubeduty.Allowed, Token: 5})
	assert.Equal(t, g.Decide(now, 0, degraded).Reason, jujubeduty.NotHolder)
	assert.Assert(t, g.TryBegin(now) && !g.TryBegin(now.Add(24*time.Millisecond)) && g.TryBegin(now.Add(25*time.Millisecond)))
	g.End(now, 5, jujubeduty.Fenced, true)
	assert.Equal(t, g.Decide(now, 0, held).Reason, jujubeduty.Refused)
	held.Fence = 9
	g.ObserveLease(now, held)
	assert.Equal(t, g.Decide(now, 0, held).Reason, jujubeduty.HandingOver, "another holder has acted since")
}
