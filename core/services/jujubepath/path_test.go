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
	paths := jujubepath.NewPaths[string]("a", jujubepath.Settings{ProbeInterval: 500 * time.Millisecond, PeerRetryDelay: time.Second})
	p := paths.Of("log")
	live := []model.InstanceID{"b", "c"}
	assert.Assert(t, p.IsDirect())
	assert.Assert(t, paths.RecordDirect(now, "log", false))
	assert.Assert(t, !paths.RecordDirect(now, "log", false))
	_, isDue := paths.ProbeDue(now)
	assert.Assert(t, !p.IsDirect() && !isDue)
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
	part, isDue := paths.ProbeDue(now.Add(500 * time.Millisecond))
	assert.Assert(t, isDue && part == "log")
	assert.Assert(t, paths.RecordDirect(now.Add(600*time.Millisecond), "log", true))
	assert.Assert(t, p.IsDirect())
}

// TestFailedPeerIsLeft guards against calls that go again through a peer whose appends fail while its reads succeed.
func TestFailedPeerIsLeft(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	p := jujubepath.New("a", jujubepath.DefaultSettings())
	live := []model.InstanceID{"b", "c"}
	for _, want := range []model.InstanceID{"b", "c", "b"} {
		peer, ok := p.ChoosePeer(now, live)
		assert.Assert(t, ok && peer == want, "%s", peer)
		p.RecordPeer(now, peer, false)
		p.RecordPeer(now, peer, true)
	}
}

// TestLostPartLeavesOthersDirect guards against calls to all parts of a store that change to peers and back while only some parts
// are lost, and against probes that are as many as the lost parts or that never reach one of them.
func TestLostPartLeavesOthersDirect(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	settings := jujubepath.DefaultSettings()
	paths := jujubepath.NewPaths[string]("a", settings)
	probes := map[string]int{}
	for elapsed := time.Duration(0); elapsed < 6*time.Second; elapsed += 50 * time.Millisecond {
		at := now.Add(elapsed)
		paths.RecordDirect(at, "sound", true)
		for _, lost := range []string{"x", "y", "z"} {
			if paths.Of(lost).IsDirect() {
				paths.RecordDirect(at, lost, false)
			}
		}
		if part, ok := paths.ProbeDue(at); ok {
			probes[part]++
			paths.RecordDirect(at, part, false)
		}
		assert.DeepEqual(t, paths.IndirectParts(), []string{"x", "y", "z"})
	}
	total := probes["x"] + probes["y"] + probes["z"]
	assert.Assert(t, total <= int(6*time.Second/settings.ProbeInterval)+1, "%v", probes)
	assert.Assert(t, min(probes["x"], probes["y"], probes["z"]) >= total/4, "%v", probes)

	// The store returns: the first success makes the probes of the others due at once.
	at := now.Add(7 * time.Second)
	for range 3 {
		part, ok := paths.ProbeDue(at)
		assert.Assert(t, ok)
		paths.RecordDirect(at, part, true)
	}
	assert.Equal(t, len(paths.IndirectParts()), 0)
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
		p.RecordDirect(false)
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
	p := jujubepath.NewPaths[string]("a", jujubepath.DefaultSettings())
	assert.Assert(t, !p.ShouldRetryDirect(now, "log"), "no call has succeeded yet")
	p.RecordDirect(now, "log", true)
	assert.Assert(t, p.ShouldRetryDirect(now.Add(400*time.Millisecond), "log"))
	assert.Assert(t, !p.ShouldRetryDirect(now.Add(600*time.Millisecond), "log"))
	p.RecordDirect(now.Add(600*time.Millisecond), "log", false)
	assert.Assert(t, !p.ShouldRetryDirect(now.Add(600*time.Millisecond), "log"))
}
