package jujubebatch_test

import (
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubepier.example/core/services/jujubebatch"
	"jujubepier.example/core/services/jujubeplacement"
)

// leastLoad selects the engine with the smallest share of its slots in use.
type leastLoad struct{}

func (leastLoad) Choose(_ jujubeplacement.Item, engines []jujubeplacement.Engine) (jujubeplacement.Choice, bool) {
	least := -1
	for i, e := range engines {
		if e.Load < e.MaxLoad && (least < 0 || e.Load*engines[least].Slots < engines[least].Load*e.Slots) {
			least = i
		}
	}
	return jujubeplacement.Choice{Index: least}, least >= 0
}

// randomEngine selects any engine with a free slot, or else any with room.
type randomEngine struct{ source *rand.Rand }

func (r randomEngine) Choose(_ jujubeplacement.Item, engines []jujubeplacement.Engine) (jujubeplacement.Choice, bool) {
	for _, isFree := range []bool{true, false} {
		var found []int
		for i, e := range engines {
			if e.Load < e.MaxLoad && (!isFree || e.Load < e.Slots) {
				found = append(found, i)
			}
		}
		if len(found) > 0 {
			return jujubeplacement.Choice{Index: found[r.source.Intn(len(found))]}, true
		}
	}
	return jujubeplacement.Choice{}, false
}

func mean(values []time.Duration) time.Duration {
	var sum time.Duration
	for _, v := range values {
		sum += v
	}
	return (sum / time.Duration(len(values))).Round(time.Millisecond)
}

// TestUnevenEngines guards against steps that last as long as a long item on a slow engine: with the engines and items of a heavy day,
// steps have to end earlier than with the ranking by classes, the least load and random engines.
func TestUnevenEngines(t *testing.T) {
	for _, instances := range []int{1, 7} {
		t.Run(fmt.Sprintf("%dInstances", instances), func(t *testing.T) { comparePolicies(t, instances) })
	}
}

func comparePolicies(t *testing.T, instances int) {
	const seeds, steps = 3, 2
	byName := map[string]func(*jujubebatch.Settings, int64){
		"ByFinish":  func(*jujubebatch.Settings, int64) {},
		"ByClass":   func(s *jujubebatch.Settings, _ int64) { s.UnevenEngines = false },
		"LeastLoad": func(s *jujubebatch.Settings, _ int64) { s.Placement = leastLoad{} },
		"Random":    func(s *jujubebatch.Settings, seed int64) { s.Placement = randomEngine{rand.New(rand.NewSource(seed))} },
	}
	took := map[string][]time.Duration{}
	for seed := range int64(seeds) {
		for _, name := range slices.Sorted(maps.Keys(byName)) {
			settings := jujubebatch.DefaultSettings()
			byName[name](&settings, seed)
			sim := newSimulation(t, seed, instances, settings)
			sim.run(steps)
			took[name] = append(took[name], mean(sim.took))
			t.Logf("seed %d, %s: mean %v, longest %v, %d moves of %d items", seed, name, mean(sim.took), slices.Max(sim.took), sim.moves, len(sim.lengths))
		}
		assert.Assert(t, took["ByFinish"][seed] <= took["ByClass"][seed], "seed %d", seed)
	}
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		t.Logf("%s: mean %v", name, mean(took[name]))
		assert.Assert(t, name == "ByFinish" || mean(took["ByFinish"]) < mean(took[name]), name)
	}
}
