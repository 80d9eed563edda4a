package jujubeduty_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubepier.example/core/services/jujubeduty"
	"jujubepier.example/core/services/jujubelease"
)

// TestYield guards against a holder that keeps the lease although its link to the API is cut, and against holders that change all the
// time while the API is down for all.
func TestYield(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	g := jujubeduty.NewGate("a", 1, dutySettings)
	call := func(seconds int, outcome jujubeduty.Outcome) {
		assert.Assert(t, g.TryBegin(at(seconds)))
		g.End(at(seconds), 1, outcome, false)
	}
	yields := func(seconds int, hasOthers bool) bool {
		yielding, _ := g.IsYielding(at(seconds), hasOthers)
		return yielding
	}
	call(0, jujubeduty.Unsent)
	call(4, jujubeduty.Throttled)
	call(5, jujubeduty.Unknown)
	assert.Assert(t, !yields(7, true), "the API responded after 4 s")
	call(10, jujubeduty.Unsent)
	assert.Assert(t, !yields(11, false), "nobody else can")
	assert.Assert(t, yields(11, true))
	assert.Assert(t, yields(25, true) && !yields(26, true))
	call(30, jujubeduty.Unsent)
	assert.Assert(t, !yields(70, true), "twice in a minute")
	assert.Assert(t, yields(71, true))
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
