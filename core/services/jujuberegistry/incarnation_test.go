package jujuberegistry_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujuberegistry"
)

// TestClockOfEndpointStepsBack guards against a restart that is ignored when the endpoint's clock was set back: it has to be
// recognised at its second entry or first response, while late entries of earlier processes are ignored.
func TestClockOfEndpointStepsBack(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	b := jujuberegistry.NewIncarnationTracker()
	entry := func(startTime model.Incarnation) model.Incarnation {
		incarnation, _ := b.ObserveEntry(now, "e", startTime)
		return incarnation
	}
	first := entry(5000)
	assert.Equal(t, entry(3000), model.Incarnation(0), "a late entry, or a new start")
	second := entry(3000)
	assert.Assert(t, second > first)
	assert.Equal(t, entry(5000), model.Incarnation(0), "a late entry of the previous process")
	assert.Equal(t, entry(3000), second)
	third := entry(6000)
	assert.Assert(t, third > second)
	assert.Equal(t, entry(2000), model.Incarnation(0))
	assert.Equal(t, entry(6000), third, "the current process continues")
	assert.Equal(t, entry(2000), model.Incarnation(0))
	fourth, ok := b.ObserveResponse(now, "e", 2500)
	assert.Assert(t, ok && fourth > third, "a response can't be from an earlier process")
	assert.Equal(t, entry(2500), fourth)
	_, ok = b.ObserveResponse(now, "other", 1)
	assert.Assert(t, !ok)
}

// TestBirthsUnderJumpingClocks guards against a start that isn't recognised by its second entry, and against an earlier
// process that counts after it. The endpoint restarts repeatedly with a jumping clock, while single late entries of its
// earlier processes are interleaved.
func TestBirthsUnderJumpingClocks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_700_000_000, 0)
		b := jujuberegistry.NewIncarnationTracker()
		var starts []model.Incarnation
		var highest model.Incarnation
		for range rapid.IntRange(1, 8).Draw(t, "starts") {
			startTime := model.Incarnation(rapid.Int64Range(1, 1_000_000).Draw(t, "born"))
			for _, earlier := range starts {
				if earlier == startTime {
					return // two starts in the same millisecond can't be distinguished
				}
			}
			starts = append(starts, startTime)
			for heartbeat := range rapid.IntRange(2, 5).Draw(t, "beats") {
				incarnation, ok := b.ObserveEntry(now, "e", startTime)
				if heartbeat > 0 && !ok {
					t.Fatalf("heartbeat %d of start %d isn't recognised", heartbeat, len(starts))
				}
				if ok && incarnation < highest {
					t.Fatalf("incarnation %d after %d", incarnation, highest)
				}
				highest = max(highest, incarnation)
				if heartbeat > 0 && len(starts) > 1 && rapid.Bool().Draw(t, "late") {
					late := starts[rapid.IntRange(0, len(starts)-2).Draw(t, "which")]
					if _, ok := b.ObserveEntry(now, "e", late); ok {
						t.Fatalf("a late entry of an earlier process counts")
					}
				}
			}
		}
	})
}

// TestOwnEntriesUndoForeignStarts guards against a start that another writer's entries bring for good: the endpoint's own entries, or one
// response if a single entry has brought the start, make its own start the current one again.
func TestOwnEntriesUndoForeignStarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_700_000_000, 0)
		b := jujuberegistry.NewIncarnationTracker()
		own := model.Incarnation(rapid.Int64Range(1, 1000).Draw(t, "own"))
		var latest model.Incarnation
		for range rapid.IntRange(1, 3).Draw(t, "own entries") {
			latest, _ = b.ObserveEntry(now, "e", own)
		}
		for range rapid.IntRange(1, 4).Draw(t, "attempts") {
			entries := rapid.IntRange(1, 3).Draw(t, "foreign entries")
			foreign := model.Incarnation(rapid.Int64Range(1001, 2000).Draw(t, "foreign"))
			for range entries {
				b.ObserveEntry(now, "e", foreign)
			}
			if entries == 1 && rapid.Bool().Draw(t, "response") {
				if _, ok := b.ObserveResponse(now, "e", own); !ok {
					t.Fatal("a response doesn't undo a start that one entry has brought")
				}
			}
			ok := false
			var incarnation model.Incarnation
			for range 3 {
				incarnation, ok = b.ObserveEntry(now, "e", own)
			}
			if !ok || incarnation < latest || !b.IsCertain("e") {
				t.Fatalf("incarnation %d, %t after %d entries of another writer", incarnation, ok, entries)
			}
			latest = incarnation
		}
	})
}
