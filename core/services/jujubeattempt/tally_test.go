package jujubeattempt_test

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubeattempt"
)

// TestOutcome guards against calls that are taken for not run although one of their attempts may have had an effect, in whatever order the
// outcomes arrive.
func TestOutcome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		outcomes := rapid.SliceOfN(rapid.SampledFrom([]model.Ran{model.RanNo, model.RanYes, model.RanUnknown, ""}), 0, 5).Draw(t, "outcomes")
		var tally jujubeattempt.Tally
		for range outcomes {
			tally.Begin()
		}
		for _, ran := range outcomes {
			if ran != "" { // no outcome yet
				tally.End(ran)
			}
		}
		want := model.RanUnknown
		switch {
		case slices.Contains(outcomes, model.RanYes):
			want = model.RanYes
		case !slices.ContainsFunc(outcomes, func(ran model.Ran) bool { return ran != model.RanNo }):
			want = model.RanNo
		}
		if got := tally.Outcome(); got != want {
			t.Fatalf("%v: %s, want %s", outcomes, got, want)
		}
	})
}
