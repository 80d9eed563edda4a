package jujubeslope

import (
	"context"
	"fmt"
	"math"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubecore"
	"jujubepier.example/core/services/jujubeweight"
)

const (
	// rolloutTarget is the time in which a rollout to all engines has to end.
	rolloutTarget = 27 * time.Second
	// loadTime is how long an engine takes to load weights after the weight store has admitted the load.
	loadTime       = 4 * time.Second
	maxRolloutTime = 10 * time.Minute
)

// storeRate returns the loads per second that the weight store has to admit for rolloutTarget.
func storeRate(engines int) float64 { return float64(engines) / (rolloutTarget - loadTime).Seconds() }

// reportDelay is how long the end of a load may go unnoticed by the leader, until it next reads the engine's load report.
const reportDelay = 2 * time.Second

// maxSwapping returns the number of engines that are loading at the same time at storeRate, in the view of the leader, plus
// 30%.
func maxSwapping(engines int) int {
	return max(1, int(math.Ceil(storeRate(engines)*(loadTime+reportDelay).Seconds()*1.3)))
}

// studyRollout simulates rollouts at several fractions of storeRate and at several periods at which the leader reads each
// engine's load report.
func studyRollout(ctx context.Context, report *Report) error {
	for _, engines := range []int{10, 60, 200, 600} {
		needed := storeRate(engines)
		report.add(endpointAxis, engines, "rollout: store rate that the goal needs", "loads/s", needed)
		for _, variant := range []struct {
			share      float64
			readPeriod time.Duration
		}{
			{0.5, time.Second / 2},
			{1, time.Second / 2},
			{1.3, time.Second / 2},
			{1.3, 2 * time.Second},
			{1.3, 5 * time.Second},
			{1.3, 15 * time.Second},
		} {
			if err := ctx.Err(); err != nil {
				return err
			}
			took, refused := simulateRollout(engines, needed*variant.share, variant.readPeriod)
			name := fmt.Sprintf("rollout at %g of that rate, reports each %v", variant.share, variant.readPeriod)
			report.add(endpointAxis, engines, name, "s", took.Seconds())
			report.add(endpointAxis, engines, name+", orders refused", "orders", float64(refused))
		}
	}
	return nil
}

// simulatedEngine is an engine that loads weights in virtual time.
type simulatedEngine struct {
	report model.LoadReport
	// loadedAt is when the current load ends.
	loadedAt time.Time
}

// reportAt returns the engine's load report, and completes its load if that has ended by now.
func (e *simulatedEngine) reportAt(now time.Time) model.LoadReport {
	if e.report.Swapping && !now.Before(e.loadedAt) {
		e.report.Swapping, e.report.Version = false, e.report.Target
	}
	e.report.At = now
	return e.report
}

// simulateRollout returns the virtual time until all engines serve a new version, and the number of orders that the store
// refused. The store admits rate loads per second, with bursts of a quarter of a second's loads. The leader reads each engine
// once per period.
func simulateRollout(count int, rate float64, period time.Duration) (took time.Duration, refused int) {
	leader := jujubeweight.New(jujubeweight.Settings{})
	leader.SetLimits(model.Limits{Models: map[model.ModelName]model.ModelLimits{
		modelName: {MaxSwapping: maxSwapping(count), MinServing: count / 2, SwapTimeout: 30 * time.Second},
	}})
	engines := make([]*simulatedEngine, 0, count)
	byID := make(map[model.EndpointID]*simulatedEngine, count)
	leader.SetTargetVersion(virtualStart, modelName, 1)
	for _, endpoint := range newEndpoints(count) {
		engine := &simulatedEngine{report: newLoadReport(endpoint, virtualStart)}
		engines, byID[endpoint.ID] = append(engines, engine), engine
		leader.ApplyReport(virtualStart, engine.reportAt(virtualStart))
	}
	leader.SetLeading(virtualStart, true, 1)
	ticksPerRead := int(period / jujubecore.TickInterval)
	announced := virtualStart.Add(2 * time.Second)
	admitted := rate / 4
	for tick := 1; ; tick++ {
		now := virtualStart.Add(time.Duration(tick) * jujubecore.TickInterval)
		admitted = min(max(1, rate/4), admitted+rate*jujubecore.TickInterval.Seconds())
		if now.Equal(announced) {
			leader.SetTargetVersion(now, modelName, 2)
		}
		done := 0
		for i, engine := range engines {
			if engine.reportAt(now).Version == 2 {
				done++
			}
			if (tick+i)%ticksPerRead == 0 {
				leader.ApplyReport(now, engine.report)
			}
		}
		if done == count || now.Sub(announced) > maxRolloutTime {
			return now.Sub(announced), refused
		}
		for _, order := range leader.Tick(now) {
			engine := byID[order.Endpoint]
			if admitted < 1 {
				refused++
				leader.HandleResult(now, order.Endpoint, model.OrderResult{}, jujubeweight.ErrOrder{EngineError: model.EngineError{Code: model.EngineCodeOverloaded}})
				continue
			}
			admitted--
			engine.report.Target, engine.report.Swapping, engine.loadedAt = order.Version, true, now.Add(loadTime)
			leader.HandleResult(now, order.Endpoint, model.OrderResult{Accepted: true, Report: engine.reportAt(now)}, nil)
		}
	}
}
