package jujubefleet_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubefleet"
)

// simulatedEngines simulates engines that execute their orders, and a leader that receives their state from reports
// only.
type simulatedEngines struct {
	*jujubefleet.Fleet
	t *testing.T
	// fullSpeedLoads is how many engines can load at the same time in 0.9 s each. With half as many more, each load takes a
	// quarter longer.
	fullSpeedLoads int
	engines        int
	now            time.Time
	newest         map[model.ModelName]model.WeightVersion
	// versions are the versions that the engines have, ends the times at which their loads end.
	versions map[model.EndpointID]map[model.ModelName]model.WeightVersion
	accepted map[model.EndpointID]int64
	orders   map[model.EndpointID]jujubefleet.Order
	ends     map[model.EndpointID]time.Time
}

// reportLag is the age of an engine's report.
const reportLag = 100 * time.Millisecond

func newSimulatedEngines(t *testing.T, engines, fullSpeedLoads int, models ...model.ModelName) *simulatedEngines {
	s := &simulatedEngines{
		Fleet: newFleet(engines, models...), t: t, fullSpeedLoads: fullSpeedLoads, engines: engines, now: start,
		newest:   map[model.ModelName]model.WeightVersion{},
		versions: map[model.EndpointID]map[model.ModelName]model.WeightVersion{},
		accepted: map[model.EndpointID]int64{}, orders: map[model.EndpointID]jujubefleet.Order{}, ends: map[model.EndpointID]time.Time{},
	}
	for _, name := range models {
		s.newest[name] = 1
	}
	for i := range engines {
		versions := map[model.ModelName]model.WeightVersion{}
		for _, name := range models {
			versions[name] = 1
		}
		s.versions[model.EndpointID(fmt.Sprintf("engine-%02d", i))] = versions
	}
	return s
}

func (s *simulatedEngines) announce(name model.ModelName) {
	s.newest[name]++
	s.SetTargetVersion(name, s.newest[name])
}

// step advances the simulation by 40 ms, the leader's period.
func (s *simulatedEngines) step() {
	s.now = s.now.Add(40 * time.Millisecond)
	for id, order := range s.orders {
		if !s.now.Before(s.ends[id]) {
			s.versions[id][order.Model] = order.Version
		}
		if !s.now.Before(s.ends[id].Add(reportLag)) {
			delete(s.orders, id)
		}
	}
	for _, e := range s.EnginesToPoll(s.now) {
		_, busy := s.orders[e.ID]
		versions := map[model.ModelName]model.WeightVersion{}
		for name, version := range s.versions[e.ID] {
			versions[name] = version
			if busy && s.orders[e.ID].Model == name {
				versions[name] = 0 // not reported yet
			}
		}
		s.ApplyReport(s.now, jujubefleet.Report{Engine: e.ID, Incarnation: 1, Versions: versions, Accepted: s.accepted[e.ID], Busy: busy})
	}
	for _, order := range s.Plan(s.now, 7) {
		assert.Equal(s.t, order.Expected, s.accepted[order.Engine])
		if _, busy := s.orders[order.Engine]; busy {
			s.HandleOutcome(s.now, order, jujubefleet.Refused)
			continue
		}
		s.accepted[order.Engine]++
		s.HandleOutcome(s.now, order, jujubefleet.Started)
		duration := 900 * time.Millisecond
		if excess := len(s.orders) + 1 - s.fullSpeedLoads; excess > 0 {
			duration += time.Duration(excess) * 450 * time.Millisecond / time.Duration(s.fullSpeedLoads)
		}
		s.orders[order.Engine], s.ends[order.Engine] = order, s.now.Add(duration)
	}
}

// serving returns the number of engines that a step of a model's newest version accepts.
func (s *simulatedEngines) serving(name model.ModelName) int {
	count := 0
	for _, versions := range s.versions {
		if versions[name] >= s.newest[name]-1 {
			count++
		}
	}
	return count
}

// TestLateTrainer guards against a late trainer whose step waits too long for engines. It measures the time until a third of
// the model's equal share of the engines serves its step. The trainer is behind and announces two versions within 1.2 s, so
// that no engine has the first one yet, while two trainers on schedule announce one version every 4 s. This happens with the
// steps after an outage, each of which waits for its engines.
func TestLateTrainer(t *testing.T) {
	s := newSimulatedEngines(t, 45, 9, "late", "b", "c")
	var sum, worst time.Duration
	var announcedAt time.Time
	count := 0
	for tick := range 1200 {
		switch tick % 100 {
		case 0:
			s.announce("b")
		case 10:
			s.announce("c")
		}
		switch tick % 210 {
		case 15:
			s.announce("late")
		case 45:
			s.announce("late")
			announcedAt = s.now
		}
		s.step()
		if !announcedAt.IsZero() && s.serving("late") >= 5 {
			if count++; count > 1 {
				sum += s.now.Sub(announcedAt)
				worst = max(worst, s.now.Sub(announcedAt))
			}
			announcedAt = time.Time{}
		}
		if tick > 200 {
			assert.Assert(t, s.serving("b") >= 5 && s.serving("c") >= 5, "%d and %d engines on schedule", s.serving("b"), s.serving("c"))
		}
	}
	mean := sum / time.Duration(count-1)
	t.Logf("mean %v, worst %v, %d times", mean, worst, count-1)
	// A step has 7.5 s, and its longest item runs for 6.4 s on an engine with the faster hardware.
	assert.Assert(t, mean <= 1100*time.Millisecond, "mean %v, worst %v", mean, worst)
}
