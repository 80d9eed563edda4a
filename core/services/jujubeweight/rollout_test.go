package jujubeweight_test

import (
	"flag"
	"fmt"
	"math/rand"
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubeweight"
)

func TestMain(m *testing.M) {
	// Set before Parse, so that the command line can override them.
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "1000")
	flag.Parse()
	os.Exit(m.Run())
}

const (
	tick        = 50 * time.Millisecond
	swapTimeout = 8 * time.Second
)

var start = time.Unix(1e9, 0)

func limits(swapping, serving int) model.Limits {
	return model.Limits{Models: map[model.ModelName]model.ModelLimits{
		"m": {MaxSwapping: swapping, MinServing: serving, SwapTimeout: swapTimeout},
	}}
}

// fakeEngine is an engine whose clock differs from the leaders'.
type fakeEngine struct {
	model.LoadReport
	swapEnds     time.Time
	hung         bool
	swapFails    bool
	checksToken  bool
	fencingToken int64
}

func (f *fakeEngine) report(now time.Time) model.LoadReport {
	f.At = now.Add(time.Duration(len(f.Endpoint)) * time.Hour)
	return f.LoadReport
}

func (f *fakeEngine) accept(now time.Time, order model.Order, duration time.Duration) (model.OrderResult, error) {
	if f.checksToken && order.Fence < f.fencingToken {
		return model.OrderResult{}, jujubeweight.ErrOrder{EngineError: model.EngineError{Code: model.EngineCodeStaleFence, Fence: f.fencingToken}}
	}
	f.fencingToken = max(f.fencingToken, order.Fence)
	if order.Version != f.Version && (!f.Swapping || f.hung || order.Version != f.Target) {
		f.Target, f.Swapping, f.hung, f.swapFails, f.swapEnds = order.Version, true, false, false, now.Add(duration)
	}
	return model.OrderResult{Accepted: true, Report: f.report(now)}, nil
}

// finish ends a swap that is due and reports whether the version went back.
func (f *fakeEngine) finish(now time.Time) (wentBack bool) {
	if !f.Swapping || f.hung || now.Before(f.swapEnds) {
		return false
	}
	f.Swapping = false
	if f.swapFails {
		return false
	}
	wentBack = f.Target < f.Version
	f.Version = f.Target
	return wentBack
}

// message is delivered to a leader or an engine when its time has come.
type message struct {
	at      time.Time
	deliver func()
	to      int // index of the leader, or -1 for an engine
}

// TestTwoLeaders guards against versions that go back, too many concurrent swaps, and rollouts that don't end, with two
// leaders of which one is paused, lost and delayed messages, failed and hanging swaps, and engines that ignore the fencing
// token.
func TestTwoLeaders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed")))
		swapping, serving := rapid.IntRange(1, 4).Draw(t, "MaxSwapping"), rapid.IntRange(0, 6).Draw(t, "MinServing")
		engines := make([]*fakeEngine, rapid.IntRange(1, 12).Draw(t, "engines"))
		missedReports := make([][2]int, len(engines))
		for i := range engines {
			engines[i] = &fakeEngine{checksToken: random.Intn(2) == 0, LoadReport: model.LoadReport{
				Endpoint: model.EndpointID(fmt.Sprint("e", i)), Incarnation: 1, Model: "m", Version: 1, Target: 1,
			}}
		}
		var leaders [2]*jujubeweight.Rollout
		var pausedUntil [2]time.Time
		var messages []message
		faults, now, fencingToken, currentLeader, version := true, start, int64(1), 0, model.WeightVersion(1)
		takeOverAt, takeOvers := time.Time{}, 0
		chance := func(share float64) bool { return faults && random.Float64() < share }
		send := func(to int, deliver func()) {
			delay := time.Duration(random.Intn(5)) * tick
			messages = append(messages, message{at: now.Add(delay), deliver: deliver, to: to})
		}
		for i := range leaders {
			// Orders are based on reports of at most 550 ms. With 200 ms each for the delay of a report and of an order, this
			// is less than the shortest swap of 1 s.
			leaders[i] = jujubeweight.New(jujubeweight.Settings{MaxReportAge: 600 * time.Millisecond})
			leaders[i].SetLimits(limits(swapping, serving))
		}
		leaders[0].SetLeading(now, true, fencingToken)
		sendOrder := func(from int, o model.Order, f *fakeEngine) {
			if chance(0.1) {
				return
			}
			send(-1, func() {
				duration := time.Second + time.Duration(random.Intn(40))*tick
				result, err := f.accept(now, o, duration)
				f.hung, f.swapFails = f.hung || chance(0.05) && f.Swapping, f.swapFails || chance(0.1)
				if !chance(0.1) {
					send(from, func() { leaders[from].HandleResult(now, f.Endpoint, result, err) })
				}
			})
		}
		advance := func(round int) {
			now = now.Add(tick)
			if chance(0.005) {
				version++
			}
			if chance(0.004) && takeOverAt.IsZero() { // the leader pauses; the other takes over after the lease has expired
				pausedUntil[currentLeader] = now.Add(4*time.Second + time.Duration(random.Intn(200))*tick)
				takeOverAt = now.Add(4 * time.Second)
			}
			if !takeOverAt.IsZero() && !now.Before(takeOverAt) {
				fencingToken++
				currentLeader, takeOverAt = 1-currentLeader, time.Time{}
				takeOvers++
				leaders[currentLeader].SetLeading(now, true, fencingToken)
			}
			arrived := messages
			messages = nil
			for _, m := range arrived {
				if now.Before(m.at) || m.to >= 0 && now.Before(pausedUntil[m.to]) {
					messages = append(messages, m)
				} else {
					m.deliver()
				}
			}
			swappingEngines, hung := 0, 0
			for i, f := range engines {
				assert.Assert(t, !f.finish(now), "%s went back to %d", f.Endpoint, f.Version)
				if f.Swapping && !f.hung {
					swappingEngines++
				} else if f.Swapping {
					hung++
				}
				for l := range leaders {
					if round%10 != 0 {
						break
					}
					if missedReports[i][l]++; missedReports[i][l] <= 2 && chance(0.2) {
						continue
					}
					missedReports[i][l] = 0
					report := f.report(now)
					send(l, func() { leaders[l].ApplyReport(now, report) })
				}
			}
			// Each leader has at most its own limit of orders pending, regardless of the other's.
			assert.Assert(t, swappingEngines <= swapping*min(2, 1+takeOvers), "%d engines swap concurrently", swappingEngines)
			if takeOvers == 0 && hung == 0 && len(engines) > serving {
				assert.Assert(t, len(engines)-swappingEngines >= serving, "%d of %d engines swap", swappingEngines, len(engines))
			}
			for l, leader := range leaders {
				if now.Before(pausedUntil[l]) {
					continue
				}
				if round%20 == 0 && l == currentLeader { // the other one is told neither the new version nor the new leader
					leader.SetTargetVersion(now, "m", version)
				}
				for _, o := range leader.Tick(now) {
					index := slices.IndexFunc(engines, func(f *fakeEngine) bool { return f.Endpoint == o.Endpoint })
					sendOrder(l, o, engines[index])
				}
			}
		}
		for round := range rapid.IntRange(0, 1500).Draw(t, "ticks with faults") {
			advance(round)
		}
		faults = false
		rounds := 0
		for ; rounds < 6000; rounds++ {
			if advance(rounds); !slices.ContainsFunc(engines, func(f *fakeEngine) bool { return f.Version < version }) {
				return
			}
		}
		t.Fatalf("some engines are not at version %d: %+v", version, leaders[currentLeader].Progress("m"))
	})
}
