package jujubeprompt_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubeprompt"
)

var start = time.Unix(1_700_000_000, 0)

// TestNoWaitBeyondWhatIsSaved checks that no request waits, or is slowed down, longer for a kept part than the part saves. If the
// estimate of what a server keeps is wrong, the error is at most one prefill of the prompt.
func TestNoWaitBeyondWhatIsSaved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rates := jujubeprompt.DefaultRates()
		rates.PrefillTime = time.Duration(rapid.IntRange(400, 6400).Draw(t, "ns a token"))
		rates.Slowdown = rapid.Float64Range(0.006, 0.1).Draw(t, "slowdown")
		request := jujubeprompt.Request{PromptTokens: rapid.IntRange(0, 4000).Draw(t, "tokens"), RunTime: time.Duration(rapid.IntRange(1, 8000).Draw(t, "ms")) * time.Millisecond}
		var candidates []jujubeprompt.Candidate
		var trulyKept []int
		for range rapid.IntRange(1, 12).Draw(t, "servers") {
			candidates = append(candidates, jujubeprompt.Candidate{
				Load: rapid.IntRange(0, 10).Draw(t, "load"), Slots: rapid.IntRange(1, 12).Draw(t, "slots"), Kept: rapid.IntRange(0, request.PromptTokens).Draw(t, "kept"),
			})
			trulyKept = append(trulyKept, rapid.IntRange(0, request.PromptTokens).Draw(t, "truly kept"))
		}
		delay := func(i int) time.Duration {
			cost := rates.Cost(candidates[i], request)
			return cost.Wait + cost.Slowdown
		}
		chosen := jujubeprompt.Choose(jujubeprompt.LeastCost{}, rates, candidates, request)
		for other := range candidates {
			extra := delay(chosen) - delay(other)
			if saved := rates.Prefill(candidates[chosen].Kept - candidates[other].Kept); extra > saved {
				t.Fatalf("%v longer than at %+v for %v at %+v", extra, candidates[other], saved, candidates[chosen])
			}
			if saved := rates.Prefill(trulyKept[chosen] - trulyKept[other]); extra > max(0, saved)+rates.Prefill(request.PromptTokens) {
				t.Fatalf("%v longer for %v that were truly saved", extra, saved)
			}
		}
	})
}

// TestGroupsDontUnbalance checks that keeping groups together changes the number of requests at no server, compared with placement by
// load: a request goes to a server with more load only if the requests that follow fill the others in its place.
func TestGroupsDontUnbalance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var initial, groups []int
		for range rapid.IntRange(1, 8).Draw(t, "servers") {
			initial = append(initial, rapid.IntRange(0, 8).Draw(t, "load"))
		}
		free := 0
		for _, load := range initial {
			free += 8 - load
		}
		for range rapid.IntRange(0, free).Draw(t, "requests") {
			groups = append(groups, rapid.IntRange(0, 5).Draw(t, "group"))
		}
		runTime := time.Duration(rapid.IntRange(200, 6000).Draw(t, "ms")) * time.Millisecond
		balanced, _ := placeAll(jujubeprompt.LoadShare{}, initial, groups, runTime)
		loads, _ := placeAll(jujubeprompt.LeastCost{}, initial, groups, runTime)
		slices.Sort(balanced)
		slices.Sort(loads)
		assert.DeepEqual(t, loads, balanced)
	})
}

// placeAll places requests of groups one after another on servers with 8 slots, and returns the loads and the number of tokens that
// were kept.
func placeAll[P jujubeprompt.Policy](policy P, initial, groups []int, runTime time.Duration) (loads []int, kept int) {
	loads = slices.Clone(initial)
	estimates := make([]*jujubeprompt.Memory, len(loads))
	for i := range estimates {
		estimates[i] = jujubeprompt.NewMemory(jujubeprompt.MemorySettings{})
	}
	for i, group := range groups {
		prompt := jujubeprompt.Prompt{{ID: jujubeprompt.PartID(group), Tokens: 1000}, {ID: jujubeprompt.PartID(100 + i), Tokens: 16}}
		var candidates []jujubeprompt.Candidate
		var ids []int
		for id, load := range loads {
			if load < 8 {
				candidates = append(candidates, jujubeprompt.Candidate{Load: load, Slots: 8, Kept: estimates[id].Kept(start, "m", prompt)})
				ids = append(ids, id)
			}
		}
		request := jujubeprompt.Request{PromptTokens: prompt.Tokens(), RunTime: runTime, Following: slices.Repeat([]time.Duration{runTime}, len(groups)-i-1)}
		id := ids[jujubeprompt.Choose(policy, jujubeprompt.DefaultRates(), candidates, request)]
		kept += estimates[id].Send(start, "m", prompt, 1000).Kept
		loads[id]++
	}
	return loads, kept
}

// TestNoMoreIsAssumedThanKept checks that an estimate that knows all sends, loads of weights and restarts never assumes that a server keeps
// more than it does. An overestimate attracts requests without saving anything.
func TestNoMoreIsAssumedThanKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		estimate := jujubeprompt.NewMemory(jujubeprompt.MemorySettings{MaxParts: 64})
		type running struct {
			use    *jujubeprompt.Use
			prompt jujubeprompt.Prompt
			output int
		}
		truth := &trueMemory{capacity: 5000, pinned: map[jujubeprompt.PartID]int{}}
		estimate.SetCapacity(truth.capacity)
		var open []running
		now, version := start, model.WeightVersion(1)
		drawPrompt := func(t *rapid.T) jujubeprompt.Prompt {
			shared := jujubeprompt.PartID(rapid.IntRange(1, 6).Draw(t, "shared"))
			return jujubeprompt.Prompt{{ID: shared, Tokens: 1000 + 100*int(shared)}, {ID: 100 + shared*10 + jujubeprompt.PartID(rapid.IntRange(0, 3).Draw(t, "own")), Tokens: 16}}
		}
		t.Repeat(map[string]func(*rapid.T){
			"send": func(t *rapid.T) {
				r := running{prompt: drawPrompt(t), output: rapid.IntRange(0, 2000).Draw(t, "output")}
				truth.run(1, r.prompt, r.output)
				r.use = estimate.Send(now, "m", r.prompt, r.output)
				r.use.Confirm()
				open = append(open, r)
			},
			"unsent": func(t *rapid.T) { estimate.Send(now, "m", drawPrompt(t), 100).End(now) },
			"end": func(*rapid.T) {
				if len(open) == 0 {
					return
				}
				r := open[0]
				open = open[1:]
				truth.run(-1, r.prompt, r.output)
				r.use.End(now)
			},
			"load": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "rarely") > 0 {
					return
				}
				truth.parts = nil
				version++
				estimate.SetVersion("m", version)
			},
			"restart": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "rarely") > 0 {
					return
				}
				truth.parts = nil
				clear(truth.pinned)
				estimate.Reset()
				for _, r := range open {
					r.use.End(now) // is noticed late
				}
				open, truth.outputTokens = nil, 0
			},
			"": func(t *rapid.T) {
				now = now.Add(time.Millisecond)
				for shared := range jujubeprompt.PartID(6) {
					prompt := jujubeprompt.Prompt{{ID: shared + 1, Tokens: 1100 + 100*int(shared)}}
					if assumed, kept := estimate.Kept(now, "m", prompt), truth.kept(prompt); assumed > kept {
						t.Fatalf("%d tokens of part %d assumed, %d kept", assumed, shared+1, kept)
					}
				}
			},
		})
	})
}
