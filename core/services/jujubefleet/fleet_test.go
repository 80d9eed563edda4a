package jujubefleet_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubefleet"
)

var start = time.Unix(1_700_000_000, 0)

// newFleet returns a fleet of engines that have reported the models at version 1.
func newFleet(engines int, models ...model.ModelName) *jujubefleet.Fleet {
	f := jujubefleet.New("self", jujubefleet.DefaultSettings())
	for i := range engines {
		id := model.EndpointID(fmt.Sprintf("engine-%02d", i))
		versions := map[model.ModelName]model.WeightVersion{}
		for _, name := range models {
			versions[name] = 1
		}
		f.PutEngine(jujubefleet.Engine{ID: id, Incarnation: 1, Models: models, Versions: versions})
		f.ApplyReport(start, jujubefleet.Report{Engine: id, Incarnation: 1, Versions: versions})
	}
	return f
}

// TestBusyEndsWithVersion guards against a rollout that stops: an engine reported that it was busy, and its new version then
// became known from a run instead of from its next report. This happens when steps start while their version is being
// loaded.
func TestBusyEndsWithVersion(t *testing.T) {
	f := newFleet(5, "m")
	f.SetTargetVersion("m", 2)
	orders := f.Plan(start, 7)
	assert.Equal(t, len(orders), 1)
	first := orders[0]
	f.HandleOutcome(start, first, jujubefleet.Started)
	now := start.Add(time.Second)
	f.ApplyReport(now, jujubefleet.Report{Engine: first.Engine, Incarnation: 1, Accepted: 1, Busy: true, Versions: map[model.ModelName]model.WeightVersion{"m": 1}})
	assert.Equal(t, len(f.Plan(now, 7)), 0, "one load at a time with five engines")
	f.SetVersion(first.Engine, "m", 2)
	next := f.Plan(now, 7)
	assert.Equal(t, len(next), 1)
	assert.Assert(t, next[0].Engine != first.Engine)
}

// TestServingEnginesBetweenVersions guards against a model with fewer than two serving engines. As on the sites, each of
// three models announces a version every 4 s, and 11 engines load in 0.9 s, or longer when more than two load at the same
// time. A step accepts engines with its version or the one before.
func TestServingEnginesBetweenVersions(t *testing.T) {
	models := []model.ModelName{"a", "b", "c"}
	f := newFleet(11, models...)
	versions := map[model.EndpointID]map[model.ModelName]model.WeightVersion{}
	type load struct {
		order jujubefleet.Order
		ends  time.Time
	}
	var loads []load
	accepted := map[model.EndpointID]int64{}
	newest := map[model.ModelName]model.WeightVersion{"a": 1, "b": 1, "c": 1}
	minServing := 11
	for tick := range 600 {
		now := start.Add(time.Duration(tick) * 50 * time.Millisecond)
		for i, name := range models {
			if tick%80 == i*25 {
				newest[name]++
				f.SetTargetVersion(name, newest[name])
			}
		}
		for i := 0; i < len(loads); i++ {
			if l := loads[i]; !now.Before(l.ends) {
				loads = append(loads[:i], loads[i+1:]...)
				i--
				if versions[l.order.Engine] == nil {
					versions[l.order.Engine] = map[model.ModelName]model.WeightVersion{}
				}
				versions[l.order.Engine][l.order.Model] = l.order.Version
				f.SetVersion(l.order.Engine, l.order.Model, l.order.Version)
			}
		}
		for _, order := range f.Plan(now, 7) {
			assert.Equal(t, order.Expected, accepted[order.Engine])
			accepted[order.Engine]++
			f.HandleOutcome(now, order, jujubefleet.Started)
			// Three concurrent loads complete 117 loads in the time in which two complete 100 (himdan-roll, trouble-1).
			duration := 900 * time.Millisecond
			if len(loads) >= 2 {
				duration = 1150 * time.Millisecond
			}
			loads = append(loads, load{order, now.Add(duration)})
		}
		assert.Assert(t, len(loads) <= 3, "concurrent loads")
		if tick < 200 {
			continue
		}
		for _, name := range models {
			serving := 0
			for i := range 11 {
				if versions[model.EndpointID(fmt.Sprintf("engine-%02d", i))][name] >= newest[name]-1 {
					serving++
				}
			}
			minServing = min(minServing, serving)
		}
	}
	assert.Assert(t, minServing >= 2, "a model had %d engines for its step", minServing)
}

// TestLateOrder guards against an order that takes effect twice: an order without a response is repeated only with the same
// expected number of accepted orders, so that the first one is refused if it arrives late.
func TestLateOrder(t *testing.T) {
	f := newFleet(1, "m")
	f.SetTargetVersion("m", 2)
	order := f.Plan(start, 7)[0]
	f.HandleOutcome(start, order, jujubefleet.Unknown)
	assert.Equal(t, len(f.Plan(start, 7)), 0)
	now := start.Add(time.Second)
	assert.Equal(t, len(f.EnginesToPoll(now)), 1)
	f.ApplyReport(now, jujubefleet.Report{Engine: order.Engine, Incarnation: 1, Versions: map[model.ModelName]model.WeightVersion{"m": 1}})
	repeated := f.Plan(now, 7)
	assert.Equal(t, len(repeated), 1)
	assert.Equal(t, repeated[0].Expected, order.Expected)
}

// TestHandOver checks that a new leader sends orders at once, except to the engines that the former leader has ordered
// within the lease time. This happens when the leader is killed while versions are being loaded.
func TestHandOver(t *testing.T) {
	f := newFleet(10, "m")
	f.SetTargetVersion("m", 3)
	f.RecordHolder(start, "engine-00", "other")
	f.RecordHolder(start, "engine-01", "self")
	ordered := map[model.EndpointID]bool{}
	now := start.Add(time.Second)
	for range 10 {
		for _, order := range f.Plan(now, 8) {
			ordered[order.Engine] = true
			f.HandleOutcome(now, order, jujubefleet.Holds)
		}
	}
	assert.Assert(t, !ordered["engine-00"])
	assert.Assert(t, ordered["engine-01"])
	orders := f.Plan(start.Add(3*time.Second), 8)
	assert.Equal(t, len(orders), 1)
	assert.Equal(t, orders[0].Engine, model.EndpointID("engine-00"))
}

// TestReadsInPortions checks that the engines of the largest sites are polled in limited batches, and all within two
// seconds. This happens when a new leader has no state of any of 1,000 engines.
func TestReadsInPortions(t *testing.T) {
	f := jujubefleet.New("self", jujubefleet.DefaultSettings())
	for i := range 1000 {
		f.PutEngine(jujubefleet.Engine{ID: model.EndpointID(fmt.Sprint("engine-", i)), Incarnation: 1, Models: []model.ModelName{"m"}})
	}
	polled := map[model.EndpointID]bool{}
	for round := range 50 {
		now := start.Add(time.Duration(round) * 40 * time.Millisecond)
		due := f.EnginesToPoll(now)
		assert.Assert(t, len(due) <= 64)
		for _, e := range due {
			polled[e.ID] = true
			f.ApplyReport(now, jujubefleet.Report{Engine: e.ID, Incarnation: 1})
		}
	}
	assert.Equal(t, len(polled), 1000)
}
