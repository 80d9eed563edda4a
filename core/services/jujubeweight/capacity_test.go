package jujubeweight_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubeweight"
)

// simulateRollout returns the simulated time until all engines are at the new version, and how many orders were refused. The
// store admits rate loads per second with a burst of a quarter second and refuses others; a load takes loadTime. Reports are
// sent every 500 ms and arrive 100 ms later; orders and their responses take 50 ms each.
func simulateRollout(t *testing.T, count, swapping int, rate float64, loadTime time.Duration) (took time.Duration, refused int) {
	leader := jujubeweight.New(jujubeweight.Settings{})
	limit := limits(swapping, count/2)
	limit.Models["m"] = model.ModelLimits{MaxSwapping: swapping, MinServing: count / 2, SwapTimeout: 30 * time.Second}
	leader.SetLimits(limit)
	engines := make(map[model.EndpointID]*fakeEngine, count)
	var ids []model.EndpointID
	for i := range count {
		id := model.EndpointID(fmt.Sprintf("e%03d", i))
		engines[id] = &fakeEngine{LoadReport: model.LoadReport{Endpoint: id, Incarnation: 1, Model: "m", Version: 1, Target: 1}}
		ids = append(ids, id)
	}
	leader.SetLeading(start, true, 1)
	leader.SetTargetVersion(start, "m", 1)
	storeCredit := rate / 4
	deliveries := map[int][]func(now time.Time){}
	var announced time.Time
	for round := range 6000 {
		now := start.Add(time.Duration(round) * tick)
		storeCredit = min(rate/4, storeCredit+rate*tick.Seconds())
		for _, deliver := range deliveries[round] {
			deliver(now)
		}
		delete(deliveries, round)
		current := 0
		for i, id := range ids {
			engine := engines[id]
			engine.finish(now)
			if engine.Version == 2 {
				current++
			}
			if round%10 == i%10 {
				report := engine.report(now)
				deliveries[round+2] = append(deliveries[round+2], func(now time.Time) { leader.ApplyReport(now, report) })
			}
		}
		if current == count {
			return now.Sub(announced), refused
		}
		if round == 40 { // the leader's settle time has passed
			announced = now
			leader.SetTargetVersion(now, "m", 2)
		}
		for _, o := range leader.Tick(now) {
			engine := engines[o.Endpoint]
			deliveries[round+1] = append(deliveries[round+1], func(now time.Time) {
				var result model.OrderResult
				var err error = jujubeweight.ErrOrder{EngineError: model.EngineError{Code: model.EngineCodeOverloaded}}
				if storeCredit >= 1 {
					storeCredit--
					result, err = engine.accept(now, o, loadTime)
				} else {
					refused++
				}
				deliveries[round+2] = append(deliveries[round+2], func(now time.Time) { leader.HandleResult(now, engine.Endpoint, result, err) })
			})
		}
	}
	t.Fatalf("the rollout did not finish: %+v", leader.Progress("m"))
	return 0, 0
}

// TestRolloutAtTargetSize guards against a rollout at the target size that doesn't use the store's rate or floods the store
// with loads that it refuses. It prints the figures of the capacity page: 600 engines in 27 s, with loads of 4 s, need at
// least 600 / (27 s - 4 s) loads a second from the store.
func TestRolloutAtTargetSize(t *testing.T) {
	const engines, goal, loadTime = 600, 27 * time.Second, 4 * time.Second
	minRate := engines / (goal - loadTime).Seconds()
	swapping := int(math.Ceil(minRate * loadTime.Seconds() * 1.3))
	for _, share := range []float64{0.5, 1, 1.15, 1.3, 2} {
		rate := minRate * share
		took, refused := simulateRollout(t, engines, swapping, rate, loadTime)
		bound := time.Duration(engines/rate*float64(time.Second)) + loadTime
		t.Logf("%4.1f loads/s (%.2f of %.1f): %5.1f s for %d engines, lower bound %4.1f s, goal %v, %d refused, MaxSwapping %d",
			rate, share, minRate, took.Seconds(), engines, bound.Seconds(), goal, refused, swapping)
		if share <= 1.15 { // above this, MaxSwapping limits the rollout
			assert.Assert(t, took < bound*11/10 && refused < 2*engines)
		}
	}
}
