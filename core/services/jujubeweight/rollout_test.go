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
	// Set before Parse, so that the command line can choose others.
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

// fake is an engine. Its clock differs from the leaders'.
type fake struct {
	model.LoadReport
	until  time.Time
	hung   bool
	fails  bool
	checks bool
	fence  int64
}

func (f *fake) report(now time.Time) model.LoadReport {
	f.At = now.Add(time.Duration(len(f.Endpoint)) * time.Hour)
	return f.LoadReport
}

func (f *fake) accept(now time.Time, order model.Order, took time.Duration) (model.OrderResult, error) {
	if f.checks && order.Fence < f.fence {
		return model.OrderResult{}, jujubeweight.ErrOrder{EngineError: model.EngineError{Code: model.EngineCodeStaleFence, Fence: f.fence}}
	}
	f.fence = max(f.fence, order.Fence)
	if order.Version != f.Version && (!f.Swapping || f.hung || order.Version != f.Target) {
		f.Target, f.Swapping, f.hung, f.fails, f.until = order.Version, true, false, false, now.Add(took)
	}
	return model.OrderResult{Accepted: true, Report: f.report(now)}, nil
}

// finish ends a swap whose time has come and tells whether the version went back.
func (f *fake) finish(now time.Time) (wentBack bool) {
	if !f.Swapping || f.hung || now.Before(f.until) {
		return false
	}
	f.Swapping = false
	if f.fails {
		return false
	}
	wentBack = f.Target < f.Version
	f.Version = f.Target
	return wentBack
}

// message is delivered to a leader or an engine at its time.
type message struct {
	at      time.Time
	deliver func()
	to      int // leader, or -1
}

// Guards against versions that go back, too many swaps at once, and rollouts that don't end, with two leaders of which
// one is paused, lost and late messages, failed and hanging swaps, and engines that ignore the fence.
func TestTwoLeaders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed")))
		swapping, serving := rapid.IntRange(1, 4).Draw(t, "MaxSwapping"), rapid.IntRange(0, 6).Draw(t, "MinServing")
		engines := make([]*fake, rapid.IntRange(1, 12).Draw(t, "engines"))
		missed := make([][2]int, len(engines))
		for i := range engines {
			engines[i] = &fake{checks: random.Intn(2) == 0, LoadReport: model.LoadReport{
				Endpoint: model.EndpointID(fmt.Sprint("e", i)), Incarnation: 1, Model: "m", Version: 1, Target: 1,
			}}
		}
		var leaders [2]*jujubeweight.Rollout
		var pausedUntil [2]time.Time
		var messages []message
		faults, now, fence, current, version := true, start, int64(1), 0, model.WeightVersion(1)
		takeOver, changes := time.Time{}, 0
		chance := func(share float64) bool { return faults && random.Float64() < share }
		send := func(to int, deliver func()) {
			delay := time.Duration(random.Intn(5)) * tick
			messages = append(messages, message{at: now.Add(delay), deliver: deliver, to: to})
		}
		for i := range leaders {
			// 550 ms at most, with 200 ms each for a report and an order, is less than the shortest swap of 1 s.
			leaders[i] = jujubeweight.New(jujubeweight.Settings{OrderAge: 600 * time.Millisecond})
			leaders[i].SetLimits(limits(swapping, serving))
		}
		leaders[0].Lead(now, true, fence)
		order := func(from int, o model.Order, f *fake) {
			if chance(0.1) {
				return
			}
			send(-1, func() {
				took := time.Second + time.Duration(random.Intn(40))*tick
				result, err := f.accept(now, o, took)
				f.hung, f.fails = f.hung || chance(0.05) && f.Swapping, f.fails || chance(0.1)
				if !chance(0.1) {
					send(from, func() { leaders[from].Result(now, f.Endpoint, result, err) })
				}
			})
		}
		step := func(round int) {
			now = now.Add(tick)
			if chance(0.005) {
				version++
			}
			if chance(0.004) && takeOver.IsZero() { // the leader pauses; another takes over after the lease has ended
				pausedUntil[current] = now.Add(4*time.Second + time.Duration(random.Intn(200))*tick)
				takeOver = now.Add(4 * time.Second)
			}
			if !takeOver.IsZero() && !now.Before(takeOver) {
				fence++
				current, takeOver = 1-current, time.Time{}
				changes++
				leaders[current].Lead(now, true, fence)
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
			moving, hung := 0, 0
			for i, f := range engines {
				assert.Assert(t, !f.finish(now), "%s went back to %d", f.Endpoint, f.Version)
				if f.Swapping && !f.hung {
					moving++
				} else if f.Swapping {
					hung++
				}
				for l := range leaders {
					if round%10 != 0 {
						break
					}
					if missed[i][l]++; missed[i][l] <= 2 && chance(0.2) {
						continue
					}
					missed[i][l] = 0
					report := f.report(now)
					send(l, func() { leaders[l].Report(now, report) })
				}
			}
			// Each leader has at most its own limit of orders out, whatever it knows of the other's.
			assert.Assert(t, moving <= swapping*min(2, 1+changes), "%d engines swap at once", moving)
			if changes == 0 && hung == 0 && len(engines) > serving {
				assert.Assert(t, len(engines)-moving >= serving, "%d of %d engines swap", moving, len(engines))
			}
			for l, leader := range leaders {
				if now.Before(pausedUntil[l]) {
					continue
				}
				if round%20 == 0 && l == current { // the other one learns of neither the new version nor the new leader
					leader.Announce(now, "m", version)
				}
				for _, o := range leader.Tick(now) {
					at := slices.IndexFunc(engines, func(f *fake) bool { return f.Endpoint == o.Endpoint })
					order(l, o, engines[at])
				}
			}
		}
		for round := range rapid.IntRange(0, 1500).Draw(t, "ticks with faults") {
			step(round)
		}
		faults = false
		rounds := 0
		for ; rounds < 6000; rounds++ {
			if step(rounds); !slices.ContainsFunc(engines, func(f *fake) bool { return f.Version < version }) {
				return
			}
		}
		t.Fatalf("not at %d: %+v", version, leaders[current].Progress("m"))
	})
}
