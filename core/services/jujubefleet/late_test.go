package jujubefleet_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubefleet"
)

// loads plays engines that load what they are ordered, and a leader that learns of it from their reports only.
type loads struct {
	*jujubefleet.Fleet
	t *testing.T
	// free is how many engines load at once in 0.9 s; with half as many more each takes a quarter longer.
	free    int
	engines int
	now     time.Time
	newest  map[model.ModelName]model.WeightVersion
	// versions are those that the engines have, ends the times at which their loads end.
	versions map[model.EndpointID]map[model.ModelName]model.WeightVersion
	accepted map[model.EndpointID]int64
	orders   map[model.EndpointID]jujubefleet.Order
	ends     map[model.EndpointID]time.Time
}

// reportLag is how old an engine's report is.
const reportLag = 100 * time.Millisecond

func newLoads(t *testing.T, engines, free int, models ...model.ModelName) *loads {
	l := &loads{
		Fleet: newFleet(engines, models...), t: t, free: free, engines: engines, now: start,
		newest:   map[model.ModelName]model.WeightVersion{},
		versions: map[model.EndpointID]map[model.ModelName]model.WeightVersion{},
		accepted: map[model.EndpointID]int64{}, orders: map[model.EndpointID]jujubefleet.Order{}, ends: map[model.EndpointID]time.Time{},
	}
	for _, name := range models {
		l.newest[name] = 1
	}
	for i := range engines {
		versions := map[model.ModelName]model.WeightVersion{}
		for _, name := range models {
			versions[name] = 1
		}
		l.versions[model.EndpointID(fmt.Sprintf("engine-%02d", i))] = versions
	}
	return l
}

func (l *loads) announce(name model.ModelName) {
	l.newest[name]++
	l.Announce(name, l.newest[name])
}

// step plays 40 ms, the leader's period.
func (l *loads) step() {
	l.now = l.now.Add(40 * time.Millisecond)
	for id, order := range l.orders {
		if !l.now.Before(l.ends[id]) {
			l.versions[id][order.Model] = order.Version
		}
		if !l.now.Before(l.ends[id].Add(reportLag)) {
			delete(l.orders, id)
		}
	}
	for _, e := range l.Due(l.now) {
		_, busy := l.orders[e.ID]
		versions := map[model.ModelName]model.WeightVersion{}
		for name, version := range l.versions[e.ID] {
			versions[name] = version
			if busy && l.orders[e.ID].Model == name {
				versions[name] = 0 // not said yet
			}
		}
		l.Report(l.now, jujubefleet.Report{Engine: e.ID, Incarnation: 1, Versions: versions, Accepted: l.accepted[e.ID], Busy: busy})
	}
	for _, order := range l.Plan(l.now, 7) {
		assert.Equal(l.t, order.Expected, l.accepted[order.Engine])
		if _, busy := l.orders[order.Engine]; busy {
			l.Result(l.now, order, jujubefleet.Refused)
			continue
		}
		l.accepted[order.Engine]++
		l.Result(l.now, order, jujubefleet.Started)
		took := 900 * time.Millisecond
		if over := len(l.orders) + 1 - l.free; over > 0 {
			took += time.Duration(over) * 450 * time.Millisecond / time.Duration(l.free)
		}
		l.orders[order.Engine], l.ends[order.Engine] = order, l.now.Add(took)
	}
}

// serving counts the engines that take a step of a model's newest version.
func (l *loads) serving(name model.ModelName) int {
	count := 0
	for _, versions := range l.versions {
		if versions[name] >= l.newest[name]-1 {
			count++
		}
	}
	return count
}

// TestLateTrainer measures how soon a third of a model's equal part of the engines takes its step, when its trainer is
// behind and names two versions within 1.2 s, so that no engine has the first one yet, while two trainers on schedule name
// one each 4 s. Load pattern: the steps after an outage, each of which waits for its engines.
func TestLateTrainer(t *testing.T) {
	l := newLoads(t, 45, 9, "late", "b", "c")
	var sum, worst time.Duration
	var named time.Time
	count := 0
	for tick := range 1200 {
		switch tick % 100 {
		case 0:
			l.announce("b")
		case 10:
			l.announce("c")
		}
		switch tick % 210 {
		case 15:
			l.announce("late")
		case 45:
			l.announce("late")
			named = l.now
		}
		l.step()
		if !named.IsZero() && l.serving("late") >= 5 {
			if count++; count > 1 {
				sum += l.now.Sub(named)
				worst = max(worst, l.now.Sub(named))
			}
			named = time.Time{}
		}
		if tick > 200 {
			assert.Assert(t, l.serving("b") >= 5 && l.serving("c") >= 5, "%d and %d engines on schedule", l.serving("b"), l.serving("c"))
		}
	}
	mean := sum / time.Duration(count-1)
	t.Logf("mean %v, worst %v, %d times", mean, worst, count-1)
	// A step has 7.5 s, and its longest item runs for 6.4 s on an engine of the better hardware.
	assert.Assert(t, mean <= 1100*time.Millisecond, "mean %v, worst %v", mean, worst)
}
