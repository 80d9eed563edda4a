package jujubeweight_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubeweight"
)

func report(id string, at time.Time, version model.WeightVersion) model.LoadReport {
	return model.LoadReport{Endpoint: model.EndpointID(id), Incarnation: 1, At: at, Model: "m", Version: version, Target: version}
}

// newLeader returns a leader whose settle time has passed and that has to bring the engines to version 9.
func newLeader(swapping, serving int, reports ...model.LoadReport) (*jujubeweight.Rollout, time.Time) {
	leader := jujubeweight.New(jujubeweight.Settings{})
	leader.SetLimits(limits(swapping, serving))
	leader.SetLeading(start, true, 5)
	leader.SetTargetVersion(start, "m", 9)
	leader.Tick(start)
	now := start.Add(time.Second)
	for _, r := range reports {
		leader.ApplyReport(now, r)
	}
	return leader, now
}

func refusal(code string) error {
	return jujubeweight.ErrOrder{EngineError: model.EngineError{Code: code, Fence: 7}}
}

// TestOrderOfEngines guards against orders that cost more samples than needed, and against orders to engines that are
// leaving.
func TestOrderOfEngines(t *testing.T) {
	leaving, loaded := report("a", start, 1), report("c", start, 7)
	leaving.Leaving, loaded.Running = true, 9
	leader, now := newLeader(3, 0, leaving, report("b", start, 8), loaded, report("d", start, 7), report("e", start, 9), report("f", start, 10))
	orders := leader.Tick(now)
	var ids []model.EndpointID
	for _, o := range orders {
		assert.Equal(t, o, model.Order{Endpoint: o.Endpoint, Model: "m", Version: 9, Fence: 5})
		ids = append(ids, o.Endpoint)
	}
	assert.DeepEqual(t, ids, []model.EndpointID{"d", "c", "b"})
}

// TestStaleFenceEndsLeading guards against a leader that continues after an engine refused its fencing token, or leads
// again with such a token.
func TestStaleFenceEndsLeading(t *testing.T) {
	leader, now := newLeader(1, 0, report("a", start, 1), report("b", start, 1))
	assert.Equal(t, len(leader.Tick(now)), 1)
	leader.HandleResult(now, "a", model.OrderResult{}, refusal(model.EngineCodeStaleFence))
	leading, highest := leader.Leading()
	assert.Assert(t, !leading && highest == 7)
	leader.SetLeading(now, true, 7)
	assert.Equal(t, len(leader.Tick(now.Add(2*time.Second))), 0)
	leader.SetLeading(now, true, 8)
	leader.HandleResult(now, "a", model.OrderResult{}, refusal(model.EngineCodeStaleFence)) // delayed response of the previous term
	leading, _ = leader.Leading()
	assert.Assert(t, leading)
}

// TestMinServingImpossible guards against rollouts that never start because there are too few engines.
func TestMinServingImpossible(t *testing.T) {
	leader, now := newLeader(4, 2, report("a", start, 1), report("b", start, 1))
	assert.Equal(t, len(leader.Tick(now)), 1)
	assert.Equal(t, len(leader.Tick(now.Add(tick))), 0)
	progress := leader.Progress("m")
	assert.Assert(t, progress.MinServingUnmet && progress.Swapping == 1 && progress.Serving == 1)
}

// TestFailedSwapIsDelayed guards against a failing engine that blocks the others, and against retries without backoff.
func TestFailedSwapIsDelayed(t *testing.T) {
	leader, now := newLeader(1, 0, report("a", start, 1), report("b", start, 1))
	for _, want := range []string{"a", "b", "", "a"} {
		orders := leader.Tick(now)
		if want == "" {
			assert.Equal(t, len(orders), 0)
			now = now.Add(time.Second)
			continue
		}
		assert.Equal(t, orders[0].Endpoint, model.EndpointID(want))
		leader.HandleResult(now, orders[0].Endpoint, model.OrderResult{}, refusal(model.EngineCodeSwapFailed))
	}
	leader.SetTargetVersion(now, "m", 10) // a newer version isn't delayed
	assert.Equal(t, leader.Tick(now)[0].Version, model.WeightVersion(10))
}

// TestWindowFollowsTheStore guards against a window that stays wide while the store refuses loads, or narrow after it
// has recovered.
func TestWindowFollowsTheStore(t *testing.T) {
	var reports []model.LoadReport
	for i := range 40 {
		reports = append(reports, report(fmt.Sprintf("e%02d", i), start, 1))
	}
	leader, now := newLeader(16, 0, reports...)
	refusing, acceptedAt := true, map[model.EndpointID]time.Time{}
	for round := 1; round < 1200; round++ {
		now = now.Add(tick)
		if round == 600 {
			assert.Equal(t, leader.Progress("m").Window, 1)
			refusing = false
		}
		for _, r := range reports {
			r.At = r.At.Add(time.Duration(round) * tick)
			if at, ok := acceptedAt[r.Endpoint]; ok {
				r.Target, r.Swapping = 9, now.Sub(at) < time.Second
				if !r.Swapping {
					r.Version = 9
				}
			}
			leader.ApplyReport(now, r)
		}
		for _, o := range leader.Tick(now) {
			if refusing {
				leader.HandleResult(now, o.Endpoint, model.OrderResult{}, refusal(model.EngineCodeOverloaded))
			} else {
				acceptedAt[o.Endpoint] = now
			}
		}
	}
	progress := leader.Progress("m")
	assert.Equal(t, progress.Current, 40)
	assert.Assert(t, progress.Window > 8, "window %d", progress.Window)
}

// TestOldReportsLeadToNoOrders guards against orders below an engine's current version by a leader that was paused or
// whose reports are late.
func TestOldReportsLeadToNoOrders(t *testing.T) {
	cases := map[string]struct {
		report model.LoadReport
		after  time.Duration // since the latest tick
		orders int
	}{
		"recent":             {report("a", start.Add(time.Second), 2), tick, 1},
		"measured before":    {report("b", start.Add(-time.Second), 1), tick, 0},
		"delayed on its way": {report("b", start.Add(time.Second), 1), 20 * time.Second, 0},
		"after a pause":      {report("b", start.Add(4*time.Second), 1), 2 * time.Second, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			leader, now := newLeader(1, 0, report("a", start, 9), report("b", start, 9))
			leader.Tick(now)
			now = now.Add(c.after)
			leader.ApplyReport(now, c.report)
			assert.Equal(t, len(leader.Tick(now)), c.orders)
		})
	}
	leader, now := newLeader(1, 0, report("a", start, 9))
	for range 80 { // ticks continue without any report
		now = now.Add(tick)
		leader.Tick(now)
	}
	leader.SetTargetVersion(now, "m", 10)
	assert.Equal(t, len(leader.Tick(now)), 0)
}

// TestLostAnswerEndsWithTheSwapTimeout guards against a lost response that blocks the rollout, and against repeating the order
// before other engines had their turn.
func TestLostAnswerEndsWithTheSwapTimeout(t *testing.T) {
	leader, now := newLeader(1, 0, report("a", start, 1), report("b", start, 1))
	assert.Equal(t, leader.Tick(now)[0].Endpoint, model.EndpointID("a"))
	leader.HandleResult(now, "a", model.OrderResult{}, fmt.Errorf("connection reset"))
	for elapsed := tick; elapsed <= swapTimeout; elapsed += tick {
		for _, id := range []string{"a", "b"} {
			leader.ApplyReport(now.Add(elapsed), report(id, start.Add(elapsed), 1))
		}
		orders := leader.Tick(now.Add(elapsed))
		assert.Equal(t, len(orders) == 0, elapsed < swapTimeout)
		if elapsed == swapTimeout {
			assert.Equal(t, orders[0].Endpoint, model.EndpointID("b"))
		}
	}
}
