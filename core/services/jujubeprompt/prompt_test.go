package jujubeprompt_test

import (
	"encoding/json"
	"math/rand"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubepier.example/core/services/jujubeprompt"
)

// TestPromptText guards against texts from callers that are taken for something else, or that take much memory, and against records
// that can't be read again.
func TestPromptText(t *testing.T) {
	for text, count := range map[string]int{
		"": 0, "9c2e41:300,5d07b8:240": 2, "9c2e41:300, 5d07b8:240": 2, strings.Repeat("f", 16) + ":1": 1, strings.Repeat("F", 40) + ":1": 1,
		"x:1": -1, "1": -1, "1:": -1, ":1": -1, "1:-1": -1, "1:1.5": -1, "1:99999999": -1, "1:1,": -1,
		strings.Repeat("x", 40) + ":1": -1, strings.Repeat("1:1,", 32) + "1:1": -1,
	} {
		var prompt jujubeprompt.Prompt
		err := prompt.UnmarshalText([]byte(text))
		if assert.Check(t, (err != nil) == (count < 0), "%q: %v", text, err); count < 0 {
			assert.ErrorType(t, err, jujubeprompt.ErrPrompt{})
		}
		assert.Equal(t, len(prompt), max(0, count), "%q", text)
		data, err := json.Marshal(prompt)
		assert.NilError(t, err)
		var again jujubeprompt.Prompt
		assert.NilError(t, json.Unmarshal(data, &again))
		assert.DeepEqual(t, again, prompt)
	}
}

// TestRatesAreEstimated checks that the rates follow what the servers do, and stay near the defaults when the samples say nothing.
func TestRatesAreEstimated(t *testing.T) {
	random := rand.New(rand.NewSource(1))
	var estimator jujubeprompt.Estimator
	assert.Equal(t, estimator.Rates(0), jujubeprompt.DefaultRates())
	for range 4000 {
		others := random.Intn(8)
		estimator.ObserveInterval(1+0.05*float64(others)+0.1*random.NormFloat64(), others)
		tokens := 16 + 1000*random.Intn(2)
		estimator.ObserveFirstEvent(5*time.Millisecond+time.Duration(tokens)*3*time.Microsecond+time.Duration(random.NormFloat64()*float64(time.Millisecond)), tokens)
		estimator.ObserveRun(400, 10)
		estimator.ObserveRequest(2000)
	}
	rates := estimator.Rates(100 * time.Millisecond)
	assert.Assert(t, rates.Slowdown > 0.04 && rates.Slowdown < 0.06, "%v", rates.Slowdown)
	assert.Assert(t, rates.PrefillTime > 2500 && rates.PrefillTime < 3500, "%v", rates.PrefillTime)
	assert.Equal(t, rates.RunTime(800).Round(time.Millisecond), 2*time.Second)
	assert.Equal(t, rates.OutputTokens, 400)
	assert.Equal(t, rates.RequestTokens, 2000)
	for range 4000 {
		estimator.ObserveInterval(100*random.NormFloat64(), random.Intn(8))
		estimator.ObserveFirstEvent(time.Hour, 16)
	}
	rates = estimator.Rates(0)
	assert.Assert(t, rates.Slowdown >= jujubeprompt.DefaultSlowdown/4 && rates.Slowdown <= 4*jujubeprompt.DefaultSlowdown)
	assert.Assert(t, rates.PrefillTime >= jujubeprompt.DefaultPrefillTime/4 && rates.PrefillTime <= 4*jujubeprompt.DefaultPrefillTime)
}

// TestKeptIsAPrefix guards against parts that count as kept although prefill can't skip them, because an earlier part is missing, and
// against parts that are tracked for ever.
func TestKeptIsAPrefix(t *testing.T) {
	estimate := jujubeprompt.NewMemory(jujubeprompt.MemorySettings{MaxAge: time.Second})
	prompt := jujubeprompt.Prompt{{ID: 1, Tokens: 100}, {ID: 2, Tokens: 50}, {ID: 3, Tokens: 10}}
	for _, part := range prompt {
		estimate.Store(start, "m", part)
	}
	assert.Equal(t, estimate.Kept(start, "m", prompt), 160)
	assert.Equal(t, estimate.Kept(start, "other", prompt), 0)
	estimate.Evict("m", 2)
	assert.Equal(t, estimate.Kept(start, "m", prompt), 100)
	// A request that doesn't reach the server is no use of its prompt.
	estimate.SetCapacity(260)
	estimate.Store(start.Add(time.Millisecond), "m", prompt[1])
	estimate.Send(start.Add(2*time.Millisecond), "m", prompt[:1], 0).End(start.Add(3 * time.Millisecond))
	estimate.Store(start.Add(4*time.Millisecond), "m", jujubeprompt.Part{ID: 5, Tokens: 150})
	assert.Equal(t, estimate.Kept(start, "m", prompt), 0)
	assert.Equal(t, estimate.Kept(start, "m", prompt[1:2]), 50)
	estimate.Store(start.Add(2*time.Second), "m", jujubeprompt.Part{ID: 4, Tokens: 1})
	assert.Equal(t, estimate.Count(), 1)
}
