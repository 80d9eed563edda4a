package jujubebench

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"jujubepier.example/load/services/jujubesite"
	"jujubepier.example/load/services/jujubetrainer"
	"jujubepier.example/standin/services/jujubeengine"
)

// Run is the outcome of one run of a variant.
type Run struct {
	Variant    Variant
	Repetition int
	Steps      []StepFigure
	// Ages holds the samples' ages in weight versions.
	Ages []int
	// Delivered is what the trainers took, Repeated what the instances sent beyond that.
	Delivered int
	Repeated  int
	Failed    int
	Resubmits int
	// Discarded counts samples by cause; Tokens and StaleTokens count what was received and discarded as too old.
	Discarded   map[string]int
	Tokens      int
	StaleTokens int
	// Violations counts broken promises that a trainer has seen.
	Violations int
	// Pause is the longest time for which this process didn't run. It tells of a paused machine, not of the product.
	Pause time.Duration
	Err   string
}

// StepFigure is one step of a trainer.
type StepFigure struct {
	Trainer  string
	Step     int64
	Idle     time.Duration
	Duration time.Duration
	Bound    time.Duration
	// IdleBound is the part of Bound that the training of the step before can't cover.
	IdleBound time.Duration
}

func sortTrainers(trainers []trainerChoice) {
	slices.SortFunc(trainers, func(a, b trainerChoice) int {
		return cmp.Or(cmp.Compare(b.limits.Share, a.limits.Share), cmp.Compare(a.id, b.id))
	})
}

// LowerBound is the time that no scheduler can beat with the lengths that were delivered:
//
//	max(T / C, L / r)
//
// T is the tokens of the step; C is the engines' rate at full batch, engines * slots * R / (1 + b * (slots - 1)); L is
// the longest sample; r = R is the rate of a stream that runs alone; b is the batch slowdown. Prompts, swaps, scores and
// the tokens of the other trainers are left out, so that the bound is below what is possible.
func LowerBound(result jujubetrainer.StepResult, engines int, engine jujubeengine.Settings) time.Duration {
	slots := float64(engine.Slots)
	capacity := float64(engines) * slots * engine.TokensPerSecond / (1 + engine.BatchSlowdown*(slots-1))
	seconds := max(float64(result.Tokens)/capacity, float64(result.Longest)/engine.TokensPerSecond)
	return time.Duration(seconds / engine.TimeScale * float64(time.Second))
}

// measureRun starts a site, trains on it and reads its metrics.
func measureRun(ctx context.Context, options Options, variant Variant, trainers []trainerChoice, repetition int) Run {
	run := Run{Variant: variant, Repetition: repetition, Discarded: make(map[string]int)}
	ctx, cancel := context.WithTimeout(ctx, options.RunTimeout)
	defer cancel()
	watch := watchPauses(ctx)
	if err := run.measure(ctx, options, trainers); err != nil {
		run.Err = err.Error()
	}
	cancel()
	run.Pause = <-watch
	return run
}

func (r *Run) measure(ctx context.Context, options Options, trainers []trainerChoice) error {
	settings, err := siteSettings(options, r.Variant.Policy)
	if err != nil {
		return err
	}
	site, closeSite, err := jujubesite.Start(ctx, settings)
	if err != nil {
		return err
	}
	defer closeSite()
	faults, err := planFaults(r.Variant.Faults)
	if err != nil {
		return err
	}
	injector := newInjector(ctx, site, faults)
	type outcome struct {
		results []jujubetrainer.StepResult
		err     error
	}
	outcomes := make([]chan outcome, len(trainers))
	for i, trainer := range trainers {
		settings := trainerSettings(options, site, trainer)
		settings.Seed = options.Seed + int64(r.Repetition*len(trainers)+i)
		if i == 0 {
			settings.Progress = injector.observe
		}
		outcomes[i] = make(chan outcome, 1)
		go func() {
			results, err := jujubetrainer.New(settings).Run(ctx)
			outcomes[i] <- outcome{results, err}
		}()
	}
	var first error
	for i, ended := range outcomes {
		one := <-ended
		r.add(options, settings, string(trainers[i].id), one.results)
		var broken jujubetrainer.ErrSample
		if errors.As(one.err, &broken) {
			r.Violations++
		}
		if one.err != nil && first == nil {
			first = errors.Wrapf(one.err, "trainer %s", trainers[i].id)
		}
	}
	injector.wait()
	r.readMetrics(injector)
	return first
}

func trainerSettings(options Options, site *jujubesite.Site, trainer trainerChoice) jujubetrainer.Settings {
	return jujubetrainer.Settings{
		Trainer: trainer.id, Model: trainer.limits.Model, DataCentre: site.Settings.DataCentres[0],
		Addresses: site.Addresses(), StoreURL: site.StoreURL(), StalenessBound: trainer.limits.StalenessBound,
		Steps: options.Steps, Groups: options.Groups, GroupSize: options.GroupSize, MaxTokens: options.MaxTokens,
		PromptBytes: 400, TrainTime: options.TrainTime, Ahead: options.Ahead, StepTimeout: options.RunTimeout,
	}
}

func (r *Run) add(options Options, settings jujubesite.Settings, trainer string, results []jujubetrainer.StepResult) {
	for i, result := range results {
		bound := LowerBound(result, settings.Engines, settings.Engine)
		figure := StepFigure{
			Trainer: trainer, Step: result.Step, Idle: result.Idle, Duration: result.Duration, Bound: bound, IdleBound: bound,
		}
		if options.Ahead > 0 && i > 0 {
			figure.IdleBound = max(0, bound-options.TrainTime)
		}
		r.Steps = append(r.Steps, figure)
		r.Delivered += result.Samples
		r.Failed += result.Failed
		r.Resubmits += result.Resubmits
		for _, age := range result.Ages {
			// The trainers share the engines' weights, so that a sample may be newer than its own trainer's version.
			r.Ages = append(r.Ages, max(0, age))
		}
	}
}

// pausePeriod is how often the watch for pauses looks at the clock.
const pausePeriod = 100 * time.Millisecond

// watchPauses returns a channel that gets the longest pause of the process once ctx has ended.
func watchPauses(ctx context.Context) <-chan time.Duration {
	longest := make(chan time.Duration, 1)
	go func() {
		var most time.Duration
		for last := time.Now(); ctx.Err() == nil; {
			time.Sleep(pausePeriod)
			now := time.Now()
			most = max(most, now.Sub(last)-pausePeriod)
			last = now
		}
		longest <- most
	}()
	return longest
}
