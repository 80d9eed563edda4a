package jujubefleet_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubefleet"
)

// countLoads lets a fleet load the versions of three models, each announced every 4 s, and returns the loads of each engine.
func countLoads(f *jujubefleet.Fleet, models []model.ModelName, versions int) map[model.EndpointID]int {
	counts := map[model.EndpointID]int{}
	type load struct {
		order jujubefleet.Order
		ends  time.Time
	}
	var loads []load
	for tick := range versions * 80 {
		now := start.Add(time.Duration(tick) * 50 * time.Millisecond)
		for i, name := range models {
			if tick%80 == i*25 {
				f.SetTargetVersion(name, model.WeightVersion(tick/80+2))
			}
		}
		for len(loads) > 0 && !now.Before(loads[0].ends) {
			f.SetVersion(loads[0].order.Engine, loads[0].order.Model, loads[0].order.Version)
			loads = loads[1:]
		}
		for _, order := range f.Plan(now, 7) {
			counts[order.Engine]++
			f.HandleOutcome(now, order, jujubefleet.Started)
			loads = append(loads, load{order, now.Add(time.Second)})
		}
	}
	return counts
}

// TestLateEnginesGetModels guards against engines that load no weights, and soon serve no step, because the others had been
// assigned all models when they appeared: an instance reads the engines' entries one after the other when it starts.
func TestLateEnginesGetModels(t *testing.T) {
	models := []model.ModelName{"a", "b", "c"}
	f := jujubefleet.New("self", jujubefleet.DefaultSettings())
	for i := range 11 {
		id := model.EndpointID(fmt.Sprintf("engine-%02d", i))
		versions := map[model.ModelName]model.WeightVersion{"a": 1, "b": 1, "c": 1}
		f.PutEngine(jujubefleet.Engine{ID: id, Incarnation: 1, Models: models, Versions: versions})
		f.ApplyReport(start, jujubefleet.Report{Engine: id, Incarnation: 1, Versions: versions})
		f.Plan(start, 7)
	}
	counts := countLoads(f, models, 8)
	for i := range 11 {
		id := model.EndpointID(fmt.Sprintf("engine-%02d", i))
		assert.Assert(t, counts[id] > 0, "%s: %v", id, counts)
	}
}

// TestLimitedEnginesLoadLess checks that engines that name a rate of requests, of which they serve fewer items than others, get
// fewer loads, so that the others serve each step.
func TestLimitedEnginesLoadLess(t *testing.T) {
	models := []model.ModelName{"a", "b", "c"}
	f := newFleet(11, models...)
	f.Plan(start, 7)
	for i := range 8 {
		f.SetLimited(model.EndpointID(fmt.Sprintf("engine-%02d", i)), true)
	}
	counts := countLoads(f, models, 12)
	limited, others := 0, 0
	for i := range 11 {
		count := counts[model.EndpointID(fmt.Sprintf("engine-%02d", i))]
		if i < 8 {
			limited += count
		} else {
			others += count
		}
	}
	assert.Assert(t, others*8 > 2*limited*3, "%d loads of eight limited engines, %d of three others", limited, others)
}

// TestUnsentOrderIsRepeated guards against an order that is assumed to be carried out, or an engine that is polled, although
// nothing was sent because the engine's rate was used up.
func TestUnsentOrderIsRepeated(t *testing.T) {
	f := newFleet(1, "m")
	f.SetTargetVersion("m", 2)
	orders := f.Plan(start, 7)
	assert.Equal(t, len(orders), 1)
	f.HandleOutcome(start, orders[0], jujubefleet.Unsent)
	assert.Equal(t, len(f.EnginesToPoll(start)), 0)
	assert.Equal(t, len(f.Plan(start, 7)), 0)
	again := f.Plan(start.Add(time.Second), 7)
	assert.Equal(t, len(again), 1)
	assert.Equal(t, again[0].Expected, orders[0].Expected)
}
