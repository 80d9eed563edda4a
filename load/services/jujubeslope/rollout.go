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
	rolloutGoal = 27 * time.Second
	// loadTime is how long an engine takes to load weights once the store has admitted it.
	loadTime       = 4 * time.Second
	longestRollout = 10 * time.Minute
)

// storeRate is the rate of the weight store that the goal needs.
func storeRate(engines int) float64 { return float64(engines) / (rolloutGoal - loadTime).Seconds() }

// readTime is how long the leader may not see the end of a load: until it reads the engine again.
const readTime = 2 * time.Second

// maxSwapping is the number of engines that load, or seem to, at once at that rate, and a third more.
func maxSwapping(engines int) int {
	return max(1, int(math.Ceil(storeRate(engines)*(loadTime+readTime).Seconds()*1.3)))
}

// studyRollout measures the time of a rollout at shares of the store's rate that the goal needs, and with the reports
// that a leader gets at several periods of its reads.
func studyRollout(ctx context.Context, report *Report) error {
	for _, engines := range []int{10, 60, 200, 600} {
		needed := storeRate(engines)
		report.add(endpointAxis, engines, "rollout: store rate that the goal needs", "loads/s", needed)
		for _, one := range []struct {
			share float64
			reads time.Duration
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
			took, refused := rollOut(engines, needed*one.share, one.reads)
			name := fmt.Sprintf("rollout at %g of that rate, reports each %v", one.share, one.reads)
			report.add(endpointAxis, engines, name, "s", took.Seconds())
			report.add(endpointAxis, engines, name+", orders refused", "orders", float64(refused))
		}
	}
	return nil
}

// fakeEngine loads weights in virtual time.
type fakeEngine struct {
	report model.LoadReport
	done   time.Time
}

func (e *fakeEngine) at(now time.Time) model.LoadReport {
	if e.report.Swapping && !now.Before(e.done) {
		e.report.Swapping, e.report.Version = false, e.report.Target
	}
	e.report.At = now
	return e.report
}

// rollOut returns the virtual time until all engines serve a new version, and how many orders the store refused. The
// store admits rate loads a second with a burst of a quarter second. Each engine is read once in a period.
func rollOut(count int, rate float64, period time.Duration) (took time.Duration, refused int) {
	leader := jujubeweight.New(jujubeweight.Settings{})
	leader.SetLimits(model.Limits{Models: map[model.ModelName]model.ModelLimits{
		modelName: {MaxSwapping: maxSwapping(count), MinServing: count / 2, SwapTimeout: 30 * time.Second},
	}})
	engines := make([]*fakeEngine, 0, count)
	byID := make(map[model.EndpointID]*fakeEngine, count)
	leader.Announce(start, modelName, 1)
	for _, endpoint := range newEndpoints(count) {
		engine := &fakeEngine{report: newLoad(endpoint, start)}
		engines, byID[endpoint.ID] = append(engines, engine), engine
		leader.Report(start, engine.at(start))
	}
	leader.Lead(start, true, 1)
	every := int(period / jujubecore.TickPeriod)
	announced := start.Add(2 * time.Second)
	admitted := rate / 4
	for round := 1; ; round++ {
		now := start.Add(time.Duration(round) * jujubecore.TickPeriod)
		admitted = min(max(1, rate/4), admitted+rate*jujubecore.TickPeriod.Seconds())
		if now.Equal(announced) {
			leader.Announce(now, modelName, 2)
		}
		current := 0
		for i, engine := range engines {
			if engine.at(now).Version == 2 {
				current++
			}
			if (round+i)%every == 0 {
				leader.Report(now, engine.report)
			}
		}
		if current == count || now.Sub(announced) > longestRollout {
			return now.Sub(announced), refused
		}
		for _, order := range leader.Tick(now) {
			engine := byID[order.Endpoint]
			if admitted < 1 {
				refused++
				leader.Result(now, order.Endpoint, model.OrderResult{}, jujubeweight.ErrOrder{EngineError: model.EngineError{Code: model.EngineCodeOverloaded}})
				continue
			}
			admitted--
			engine.report.Target, engine.report.Swapping, engine.done = order.Version, true, now.Add(loadTime)
			leader.Result(now, order.Endpoint, model.OrderResult{Accepted: true, Report: engine.at(now)}, nil)
		}
	}
}
