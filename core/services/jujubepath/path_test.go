package jujubepath_test

import (
	"fmt"
	"slices"
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
	p := jujubepath.New("a", jujubepath.Settings{ProbePeriod: 500 * time.Millisecond, PeerPause: time.Second})
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

// TestHelpersAreSpread plays a store that turns away half of sixty instances at once: no helper is asked by more than two.
// Load pattern: a store that is cut from many instances, all of which would ask the first one by name.
func TestHelpersAreSpread(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	var all []model.InstanceID
	for i := range 60 {
		all = append(all, model.InstanceID(fmt.Sprintf("i%02d", i)))
	}
	asked := map[model.InstanceID]int{}
	for i := 0; i < len(all); i += 2 {
		p := jujubepath.New(all[i], jujubepath.DefaultSettings())
		p.NoteDirect(now, false)
		id, ok := p.Choose(now, slices.Delete(slices.Clone(all), i, i+1))
		assert.Assert(t, ok)
		asked[id]++
	}
	for id, count := range asked {
		assert.Assert(t, count <= 2, "%s was asked by %d", id, count)
	}
}

// TestBusyStore plays refusals for too many calls. While others succeed they are nobody's fault, and another instance would
// only spend more calls; when none succeeds, the store turns this instance away.
func TestBusyStore(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	p := jujubepath.New("a", jujubepath.DefaultSettings())
	assert.Assert(t, !p.Tolerates(now), "nothing has succeeded yet")
	p.NoteDirect(now, true)
	assert.Assert(t, p.Tolerates(now.Add(400*time.Millisecond)))
	assert.Assert(t, !p.Tolerates(now.Add(600*time.Millisecond)))
	p.NoteDirect(now.Add(600*time.Millisecond), false)
	assert.Assert(t, !p.Tolerates(now.Add(600*time.Millisecond)))
}
