package jujubebench_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubepier.example/load/services/jujubebench"
	"jujubepier.example/load/services/jujubetrainer"
	"jujubepier.example/standin/services/jujubeengine"
)

// TestLowerBound guards against a lower bound that is too high: it would make idle time of the trainers look unavoidable.
func TestLowerBound(t *testing.T) {
	engine := jujubeengine.Settings{Slots: 11, TokensPerSecond: 100, BatchSlowdown: 0.1, TimeScale: 1}
	for _, test := range []struct {
		name    string
		tokens  int
		longest int
		scale   float64
		want    time.Duration
	}{
		{name: "limited by the capacity: 2 engines * 11 slots * 50 tokens/s", tokens: 2200, longest: 100, scale: 1, want: 2 * time.Second},
		{name: "limited by the longest sample at the rate of a single stream", tokens: 1100, longest: 300, scale: 1, want: 3 * time.Second},
		{name: "a higher time scale shortens the bound", tokens: 2200, longest: 100, scale: 10, want: 200 * time.Millisecond},
		{name: "no samples delivered", scale: 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			engine.TimeScale = test.scale
			got := jujubebench.LowerBound(jujubetrainer.StepResult{Tokens: test.tokens, MaxSampleTokens: test.longest}, 2, engine)
			assert.Equal(t, got, test.want)
		})
	}
}

// TestMeasureUnknownNames guards against invalid options that are noticed only after runs have started or not at all: an
// unknown fault plan that runs without faults would look like a good result.
func TestMeasureUnknownNames(t *testing.T) {
	const document = "Models:\n  m:\n    Engines: 1\n    MaxInFlightPerEndpoint: 1\n    MaxSwapping: 1\n    MinServing: 1\n" +
		"    SwapTimeout: 1s\nTrainers:\n  t:\n    Model: m\n    Share: 100%\n    StalenessBound: 1\n    MaxInFlight: 1\n" +
		"    StepDeadline: 1m\n"
	for _, options := range []jujubebench.Options{
		{Document: document, Policies: []string{"Random"}, Faults: []string{"some"}, Trainers: 1, Repetitions: 1},
		{Document: document, Policies: []string{"Random"}, Faults: []string{"none"}, Trainers: 2, Repetitions: 1},
	} {
		_, err := jujubebench.Measure(t.Context(), options, func(jujubebench.Run) { t.Error("a run started") })
		assert.Assert(t, err != nil)
	}
}
