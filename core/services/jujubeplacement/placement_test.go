package jujubeplacement_test

import (
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"jujubepier.example/core/services/jujubeplacement"
)

// TestMain sets a fixed seed, so that failures are reproducible; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261206", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func engine(interval, load int) jujubeplacement.Engine {
	return jujubeplacement.Engine{Slots: 8, Load: load, MaxLoad: 10, Interval: time.Duration(interval) * time.Millisecond}
}

// TestByFinish guards against short items that fill the fast engines, against long ones in the free slots of slow engines, and against
// slots that stay free while an item waits.
func TestByFinish(t *testing.T) {
	competing := engine(27, 0)
	competing.CompetingModels = 1
	for name, test := range map[string]struct {
		events, step float64
		engines      []jujubeplacement.Engine
		want         int
		reason       jujubeplacement.Reason
	}{
		"short item":                  {10, 100, []jujubeplacement.Engine{engine(27, 0), engine(59, 0), engine(120, 0)}, 2, jujubeplacement.InTime},
		"not in time on the slowest":  {18, 100, []jujubeplacement.Engine{engine(27, 0), engine(59, 0), engine(120, 0)}, 1, jujubeplacement.InTime},
		"long item":                   {90, 100, []jujubeplacement.Engine{engine(120, 0), engine(59, 0), engine(27, 7)}, 2, jujubeplacement.EarliestFinish},
		"only fast engines are free":  {10, 100, []jujubeplacement.Engine{engine(27, 3), engine(59, 8), engine(120, 10)}, 0, jujubeplacement.InTime},
		"only slow engines are free":  {10, 12, []jujubeplacement.Engine{engine(120, 0), engine(120, 10)}, 0, jujubeplacement.EarliestFinish},
		"queue of a fast engine":      {90, 100, []jujubeplacement.Engine{engine(59, 0), engine(27, 8)}, 1, jujubeplacement.QueuedFaster},
		"short item doesn't queue":    {3, 100, []jujubeplacement.Engine{engine(59, 0), engine(27, 8)}, 0, jujubeplacement.InTime},
		"all full":                    {90, 100, []jujubeplacement.Engine{engine(59, 8), engine(27, 9), engine(27, 10)}, 1, jujubeplacement.QueuedOnly},
		"needed by another model":     {90, 100, []jujubeplacement.Engine{competing, engine(28, 4)}, 1, jujubeplacement.EarliestFinish},
		"slower than the competition": {90, 100, []jujubeplacement.Engine{competing, engine(59, 0)}, 0, jujubeplacement.EarliestFinish},
		"same length as the step":     {16, 16, []jujubeplacement.Engine{engine(59, 0), engine(27, 2)}, 1, jujubeplacement.EarliestFinish},
	} {
		item := jujubeplacement.Item{Events: test.events, StepEvents: test.step, MeanEvents: 16}
		choice, ok := jujubeplacement.ByFinish{}.Choose(item, test.engines)
		assert.Assert(t, ok, name)
		assert.Equal(t, choice.Index, test.want, name)
		assert.Equal(t, choice.Reason, test.reason, name)
	}
}

// TestShouldMove guards against runs that stay on a slow engine while the step waits for them, and against moves that gain nothing.
func TestShouldMove(t *testing.T) {
	for name, test := range map[string]struct {
		events, step float64
		here, there  jujubeplacement.Engine
		want         bool
	}{
		"long run":             {60, 60, engine(59, 3), engine(27, 7), true},
		"nearly done":          {3, 3, engine(59, 3), engine(27, 0), false},
		"no free slot":         {60, 60, engine(59, 3), engine(27, 8), false},
		"hardly faster":        {60, 60, engine(59, 3), engine(55, 0), false},
		"ends before its step": {15, 90, engine(59, 3), engine(27, 0), false},
		"queued behind two":    {40, 40, engine(27, 9), engine(27, 0), true},
		"queued behind one":    {16, 40, engine(27, 8), engine(27, 0), false},
		"queued for long":      {40, 40, engine(120, 9), engine(59, 0), true},
	} {
		item := jujubeplacement.Item{Events: test.events, StepEvents: test.step, MeanEvents: 16}
		assert.Equal(t, jujubeplacement.ShouldMove(item, test.here, test.there), test.want, name)
	}
}

// TestChoiceIsWorkConserving guards against an item that waits while an engine has room, against a place in a queue that is no better than
// a free slot, and against different choices from the same inputs.
func TestChoiceIsWorkConserving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engines := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) jujubeplacement.Engine {
			slots := rapid.IntRange(1, 12).Draw(t, "slots")
			return jujubeplacement.Engine{
				Slots: slots, MaxLoad: slots + slots/4, Load: rapid.IntRange(0, slots+slots/4+1).Draw(t, "load"),
				Interval: time.Duration(rapid.IntRange(1, 500).Draw(t, "interval")) * time.Millisecond, CompetingModels: rapid.IntRange(0, 3).Draw(t, "competing"),
			}
		}), 0, 12).Draw(t, "engines")
		item := jujubeplacement.Item{
			Events: rapid.Float64Range(1, 200).Draw(t, "events"), StepEvents: rapid.Float64Range(0, 200).Draw(t, "step"), MeanEvents: 16,
		}
		hasRoom := slices.ContainsFunc(engines, func(e jujubeplacement.Engine) bool { return e.Load < e.MaxLoad })
		choice, ok := jujubeplacement.ByFinish{}.Choose(item, slices.Clone(engines))
		again, _ := jujubeplacement.ByFinish{}.Choose(item, engines)
		assert.Equal(t, ok, hasRoom)
		if !ok {
			return
		}
		assert.Equal(t, choice, again)
		chosen := engines[choice.Index]
		assert.Assert(t, chosen.Load < chosen.MaxLoad)
		assert.Equal(t, choice.Finish, chosen.Finish(item))
		for _, e := range engines {
			if chosen.Load >= chosen.Slots && e.Load < min(e.Slots, e.MaxLoad) {
				assert.Assert(t, choice.Finish < e.Finish(item), "a free slot ends earlier than the place in the queue")
			}
		}
	})
}

// TestSurplus guards against surplus groups that a step needs: carried ones, too many of the others, or shorter ones than it waits for.
func TestSurplus(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		groups := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) jujubeplacement.Group {
			state := rapid.IntRange(0, 5).Draw(t, "state")
			return jujubeplacement.Group{
				IsWhole: state == 0, HasFailed: state == 1, IsCarried: rapid.IntRange(0, 4).Draw(t, "carried") == 0,
				Remaining: time.Duration(rapid.IntRange(0, 9).Draw(t, "remaining")) * time.Second,
			}
		}), 0, 20).Draw(t, "groups")
		required := rapid.IntRange(0, 22).Draw(t, "required")
		surplus := jujubeplacement.Surplus(groups, required)
		usable, shortest, longest := 0, time.Hour, time.Duration(0)
		for i, g := range groups {
			assert.Assert(t, !surplus[i] || !g.IsCarried && !g.IsWhole)
			if !surplus[i] && !g.HasFailed {
				usable++
			}
			if g.HasFailed || g.IsWhole || g.IsCarried {
				continue
			}
			if surplus[i] {
				shortest = min(shortest, g.Remaining)
			} else {
				longest = max(longest, g.Remaining)
			}
		}
		failed := 0
		for _, g := range groups {
			if g.HasFailed {
				failed++
			}
		}
		assert.Assert(t, usable >= min(required, len(groups)-failed), "the step can't end without surplus groups")
		assert.Assert(t, longest <= shortest, "a needed group takes longer than a surplus one")
		if required == 0 {
			assert.Assert(t, !slices.Contains(surplus, true))
		}
	})
}

// TestNext guards against a model that gets nothing while others have all slots: whatever the slacks, a model with waiting items falls
// below a quarter of an equal share only if there are too few slots to be assigned.
func TestNext(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(8, 200).Draw(t, "slots")
		claims := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) jujubeplacement.Claim[int] {
			return jujubeplacement.Claim[int]{
				Model: rapid.IntRange(0, 4).Draw(t, "model"), IsWaiting: true,
				Slack: time.Duration(rapid.IntRange(-5, 9).Draw(t, "slack")) * time.Second,
			}
		}), 1, 6).Draw(t, "claims")
		held := map[int]int{}
		for _, c := range claims {
			held[c.Model] = 0
		}
		for range slots {
			i := jujubeplacement.Next(claims, slots)
			assert.Equal(t, i, jujubeplacement.Next(slices.Clone(claims), slots))
			claims[i].Held++
			held[claims[i].Model]++
		}
		for name, count := range held {
			assert.Assert(t, 4*count >= slots/len(held), "model %d has %d of %d slots", name, count, slots)
		}
	})
	claims := []jujubeplacement.Claim[string]{{Model: "a", Held: 90, IsWaiting: true, Slack: time.Second}, {Model: "b", Held: 50, IsWaiting: true, Slack: 3 * time.Second}}
	assert.Equal(t, jujubeplacement.Next(claims, 200), 0, "above the minimum, the least slack counts")
	claims[1].Held = 20
	assert.Equal(t, jujubeplacement.Next(claims, 200), 1, "below it, the share counts")
	claims[0].IsWaiting, claims[1].IsWaiting = false, false
	assert.Equal(t, jujubeplacement.Next(claims, 200), -1)
}

// TestLengths guards against estimates that ignore what has been observed: the tokens per event, and that an item which has exceeded its
// estimate is probably a long one.
func TestLengths(t *testing.T) {
	var l jujubeplacement.Lengths
	assert.Equal(t, l.Expected(0), 16.0)
	assert.Equal(t, l.Expected(400), 10.0)
	assert.Equal(t, l.Remaining(400, 4), 6.0)
	assert.Equal(t, l.Remaining(400, 20), 10.0, "without observations, half of what it has")
	for i := range 240 {
		events := 10
		if i%12 == 0 {
			events = 90
		}
		hint := events * 20
		if i%5 == 0 {
			hint *= 6 // far off
		}
		l.Observe(hint, events)
	}
	assert.Equal(t, l.Expected(400), 20.0)
	assert.Assert(t, l.Mean() > 16 && l.Mean() < 17)
	assert.Equal(t, l.Remaining(200, 12), 78.0, "all that were longer than 12 had 90")
	assert.Equal(t, l.Remaining(200, 200), 100.0)
	for range 300 {
		l.Observe(50, 5)
	}
	assert.Equal(t, l.Expected(0), 5.0, "old samples are replaced")
}
