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

// TestThroughPeers guards against an instance that the store rejects and that doesn't switch to a peer, stays with a peer whose
// calls fail, or doesn't return to direct calls after the first successful probe.
func TestThroughPeers(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	p := jujubepath.New("a", jujubepath.Settings{ProbeInterval: 500 * time.Millisecond, PeerRetryDelay: time.Second})
	live := []model.InstanceID{"b", "c"}
	assert.Assert(t, p.IsDirect())
	assert.Assert(t, p.RecordDirect(now, false))
	assert.Assert(t, !p.RecordDirect(now, false))
	assert.Assert(t, !p.IsDirect() && !p.ProbeDue(now))
	first, ok := p.ChoosePeer(now, live)
	assert.Assert(t, ok)
	p.RecordPeer(now, first, true)
	again, _ := p.ChoosePeer(now, live)
	assert.Equal(t, again, first)
	p.RecordPeer(now, first, false)
	second, ok := p.ChoosePeer(now, live)
	assert.Assert(t, ok && second != first)
	p.RecordPeer(now, second, false)
	_, ok = p.ChoosePeer(now, live)
	assert.Assert(t, !ok, "all peers are paused while the store is unavailable to all")
	_, ok = p.ChoosePeer(now.Add(time.Second), live)
	assert.Assert(t, ok)
	assert.Assert(t, p.ProbeDue(now.Add(500*time.Millisecond)))
	assert.Assert(t, p.RecordDirect(now.Add(600*time.Millisecond), true))
	assert.Assert(t, p.IsDirect())
}

// TestHelpersAreSpread guards against one peer that gets the calls of many instances. The store rejects half of sixty instances
// at the same time, which would all choose the first peer by name; no peer may be chosen by more than two.
func TestHelpersAreSpread(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	var all []model.InstanceID
	for i := range 60 {
		all = append(all, model.InstanceID(fmt.Sprintf("i%02d", i)))
	}
	callers := map[model.InstanceID]int{}
	for i := 0; i < len(all); i += 2 {
		p := jujubepath.New(all[i], jujubepath.DefaultSettings())
		p.RecordDirect(now, false)
		id, ok := p.ChoosePeer(now, slices.Delete(slices.Clone(all), i, i+1))
		assert.Assert(t, ok)
		callers[id]++
	}
	for id, count := range callers {
		assert.Assert(t, count <= 2, "%s was chosen by %d", id, count)
	}
}

// TestBusyStore guards against calls through peers while the store is only busy. Refusals for too many calls are retried directly
// while other direct calls succeed, as a peer would only use more of the same rate; without a success, the store is assumed to
// reject this instance.
func TestBusyStore(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	p := jujubepath.New("a", jujubepath.DefaultSettings())
	assert.Assert(t, !p.ShouldRetryDirect(now), "no call has succeeded yet")
	p.RecordDirect(now, true)
	assert.Assert(t, p.ShouldRetryDirect(now.Add(400*time.Millisecond)))
	assert.Assert(t, !p.ShouldRetryDirect(now.Add(600*time.Millisecond)))
	p.RecordDirect(now.Add(600*time.Millisecond), false)
	assert.Assert(t, !p.ShouldRetryDirect(now.Add(600*time.Millisecond)))
}
