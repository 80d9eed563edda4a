package jujubepath_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubepath"
)

// TestThroughPeers plays a store that turns one instance away: it goes through another one, leaves that one when it can't
// help either, and is direct again after the first probe that succeeds.
func TestThroughPeers(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	p := jujubepath.New(jujubepath.Settings{ProbePeriod: 500 * time.Millisecond, PeerPause: time.Second})
	live := []model.InstanceID{"b", "c"}
	assert.Assert(t, p.Direct())
	assert.Assert(t, p.NoteDirect(now, false))
	assert.Assert(t, !p.NoteDirect(now, false))
	assert.Assert(t, !p.Direct() && !p.ProbeDue(now))
	first, ok := p.Choose(now, live)
	assert.Assert(t, ok)
	p.NotePeer(now, first, true)
	again, _ := p.Choose(now, live)
	assert.Equal(t, again, first)
	p.NotePeer(now, first, false)
	second, ok := p.Choose(now, live)
	assert.Assert(t, ok && second != first)
	p.NotePeer(now, second, false)
	_, ok = p.Choose(now, live)
	assert.Assert(t, !ok, "the store is down for all")
	_, ok = p.Choose(now.Add(time.Second), live)
	assert.Assert(t, ok)
	assert.Assert(t, p.ProbeDue(now.Add(500*time.Millisecond)))
	assert.Assert(t, p.NoteDirect(now.Add(600*time.Millisecond), true))
	assert.Assert(t, p.Direct())
}
