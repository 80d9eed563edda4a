package jujubebench_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubepier.example/load/services/jujubebench"
	"jujubepier.example/load/services/jujubetrainer"
	"jujubepier.example/standin/services/jujubeengine"
)

// A bound that is too high would hide idle time.
func TestLowerBound(t *testing.T) {
	engine := jujubeengine.Settings{Slots: 11, TokensPerSecond: 100, BatchSlowdown: 0.1, TimeScale: 1}
	for _, test := range []struct {
		name    string
		tokens  int
		longest int
		scale   float64
		want    time.Duration
	}{
		{name: "the capacity bounds: 2 engines * 11 slots * 50 tokens a second", tokens: 2200, longest: 100, scale: 1, want: 2 * time.Second},
		{name: "the longest sample bounds at the rate of a stream alone", tokens: 1100, longest: 300, scale: 1, want: 3 * time.Second},
		{name: "the time scale shortens the bound", tokens: 2200, longest: 100, scale: 10, want: 200 * time.Millisecond},
		{name: "nothing delivered", scale: 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			engine.TimeScale = test.scale
			got := jujubebench.LowerBound(jujubetrainer.StepResult{Tokens: test.tokens, Longest: test.longest}, 2, engine)
			assert.Equal(t, got, test.want)
		})
	}
}

// An unknown name must end the measurement before the first run: a plan without faults would look like a good result.
func TestMeasureUnknownNames(t *testing.T) {
	const document = "Models:\n  m:\n    Engines: 1\n    MaxInFlightPerEndpoint: 1\n    MaxSwapping: 1\n    MinServing: 1\n" +
		"    SwapTimeout: 1s\nTrainers:\n  t:\n    Model: m\n    Share: 100%\n    StalenessBound: 1\n    MaxInFlight: 1\n" +
		"    StepDeadline: 1m\n"
	for _, options := range []jujubebench.Options{
		{Document: document, Policies: []string{"Random"}, Faults: []string{"some"}, Trainers: 1, Repeat: 1},
		{Document: document, Policies: []string{"Random"}, Faults: []string{"none"}, Trainers: 2, Repeat: 1},
	} {
		_, err := jujubebench.Measure(t.Context(), options, func(jujubebench.Run) { t.Error("a run started") })
		assert.Assert(t, err != nil)
	}
}
