package jujuberegistry_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujuberegistry"
)

// TestClockOfEndpointStepsBack follows an endpoint that starts again under its id with its clock set back, from its second
// entry or its first answer on, and passes over late entries of earlier processes.
func TestClockOfEndpointStepsBack(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	b := jujuberegistry.NewBirths()
	entry := func(born model.Incarnation) model.Incarnation {
		incarnation, _ := b.NoteEntry(now, "e", born)
		return incarnation
	}
	first := entry(5000)
	assert.Equal(t, entry(3000), model.Incarnation(0), "a late entry, or a new start")
	second := entry(3000)
	assert.Assert(t, second > first)
	assert.Equal(t, entry(5000), model.Incarnation(0), "late, of the process before")
	assert.Equal(t, entry(3000), second)
	third := entry(6000)
	assert.Assert(t, third > second)
	assert.Equal(t, entry(2000), model.Incarnation(0))
	assert.Equal(t, entry(6000), third, "the present process goes on")
	assert.Equal(t, entry(2000), model.Incarnation(0))
	fourth, ok := b.NoteAnswer(now, "e", 2500)
	assert.Assert(t, ok && fourth > third, "an answer can't be of an earlier process")
	assert.Equal(t, entry(2500), fourth)
	_, ok = b.NoteAnswer(now, "other", 1)
	assert.Assert(t, !ok)
}

// TestBirthsUnderJumpingClocks starts an endpoint again and again with clocks that jump, while single late entries of its
// earlier processes are mixed in: each process is known from its second entry on at the latest, and no earlier one counts
// after it.
func TestBirthsUnderJumpingClocks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_700_000_000, 0)
		b := jujuberegistry.NewBirths()
		var starts []model.Incarnation
		var highest model.Incarnation
		for range rapid.IntRange(1, 8).Draw(t, "starts") {
			born := model.Incarnation(rapid.Int64Range(1, 1_000_000).Draw(t, "born"))
			for _, earlier := range starts {
				if earlier == born {
					return // a start in the very millisecond of another one can't be told from it
				}
			}
			starts = append(starts, born)
			for beat := range rapid.IntRange(2, 5).Draw(t, "beats") {
				incarnation, ok := b.NoteEntry(now, "e", born)
				if beat > 0 && !ok {
					t.Fatalf("beat %d of start %d isn't known", beat, len(starts))
				}
				if ok && incarnation < highest {
					t.Fatalf("incarnation %d after %d", incarnation, highest)
				}
				highest = max(highest, incarnation)
				if beat > 0 && len(starts) > 1 && rapid.Bool().Draw(t, "late") {
					late := starts[rapid.IntRange(0, len(starts)-2).Draw(t, "which")]
					if _, ok := b.NoteEntry(now, "e", late); ok {
						t.Fatalf("a late entry of an earlier process counts")
					}
				}
			}
		}
	})
}
