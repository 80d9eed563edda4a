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
	Steps      []StepTiming
	// Ages holds the samples' staleness in weight versions.
	Ages []int
	// Delivered counts the samples that the trainers accepted, Repeated those that the instances sent beyond that.
	Delivered int
	Repeated  int
	Failed    int
	Resubmits int
	// Discarded counts samples by cause; Tokens counts the tokens received from engines, StaleTokens those discarded as
	// stale.
	Discarded   map[string]int
	Tokens      int
	StaleTokens int
	// Violations counts the trainers that stopped because a sample violated a guarantee of the service.
	Violations int
	// Pause is the longest time for which this process didn't run. A long pause is a fault of the machine, not of the
	// service.
	Pause time.Duration
	Err   string
}

// StepTiming holds the times of one step of a trainer.
type StepTiming struct {
	Trainer  string
	Step     int64
	Idle     time.Duration
	Duration time.Duration
	// Bound is the LowerBound of Duration.
	Bound time.Duration
	// IdleBound is the part of Bound that can't overlap with the training on the previous step.
	IdleBound time.Duration
}

// sortTrainers sorts by descending share, then by ID.
func sortTrainers(trainers []selectedTrainer) {
	slices.SortFunc(trainers, func(a, b selectedTrainer) int {
		return cmp.Or(cmp.Compare(b.limits.Share, a.limits.Share), cmp.Compare(a.id, b.id))
	})
}

// LowerBound returns a time that no scheduler can beat, given the lengths of the delivered samples:
//
//	max(T / C, L / r)
//
// T is the number of tokens of the step; C is the engines' rate with full batches, engines * slots * R / (1 + b * (slots - 1));
// L is the length of the longest sample; r = R is the rate of a single stream; b is the batch slowdown. Prompts, swaps,
// scores and the tokens of other trainers are ignored, so the bound is below what can be reached.
func LowerBound(result jujubetrainer.StepResult, engines int, engine jujubeengine.Settings) time.Duration {
	slots := float64(engine.Slots)
	capacity := float64(engines) * slots * engine.TokensPerSecond / (1 + engine.BatchSlowdown*(slots-1))
	seconds := max(float64(result.Tokens)/capacity, float64(result.MaxSampleTokens)/engine.TokensPerSecond)
	return time.Duration(seconds / engine.TimeScale * float64(time.Second))
}

// measureRun starts a site, runs the trainers on it and reads its metrics.
func measureRun(ctx context.Context, options Options, variant Variant, trainers []selectedTrainer, repetition int) Run {
	run := Run{Variant: variant, Repetition: repetition, Discarded: make(map[string]int)}
	ctx, cancel := context.WithTimeout(ctx, options.RunTimeout)
	defer cancel()
	longestPause := watchPauses(ctx)
	if err := run.measure(ctx, options, trainers); err != nil {
		run.Err = err.Error()
	}
	cancel()
	run.Pause = <-longestPause
	return run
}

func (r *Run) measure(ctx context.Context, options Options, trainers []selectedTrainer) error {
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
			settings.Progress = injector.onProgress
		}
		outcomes[i] = make(chan outcome, 1)
		go func() {
			results, err := jujubetrainer.New(settings).Run(ctx)
			outcomes[i] <- outcome{results, err}
		}()
	}
	var firstErr error
	for i, done := range outcomes {
		outcome := <-done
		r.addResults(options, settings, string(trainers[i].id), outcome.results)
		var violation jujubetrainer.ErrSample
		if errors.As(outcome.err, &violation) {
			r.Violations++
		}
		if outcome.err != nil && firstErr == nil {
			firstErr = errors.Wrapf(outcome.err, "trainer %s", trainers[i].id)
		}
	}
	injector.wait()
	r.readMetrics(injector)
	return firstErr
}

func trainerSettings(options Options, site *jujubesite.Site, trainer selectedTrainer) jujubetrainer.Settings {
	return jujubetrainer.Settings{
		Trainer: trainer.id, Model: trainer.limits.Model, DataCentre: site.Settings.DataCentres[0],
		Addresses: site.Addresses(), StoreURL: site.StoreURL(), StalenessBound: trainer.limits.StalenessBound,
		Steps: options.Steps, Groups: options.Groups, GroupSize: options.GroupSize, MaxTokens: options.MaxTokens,
		PromptBytes: 400, TrainTime: options.TrainTime, PrefetchSteps: options.Ahead, StepTimeout: options.RunTimeout,
	}
}

// addResults adds the results of one trainer.
func (r *Run) addResults(options Options, settings jujubesite.Settings, trainer string, results []jujubetrainer.StepResult) {
	for i, result := range results {
		bound := LowerBound(result, settings.Engines, settings.Engine)
		figure := StepTiming{
			Trainer: trainer, Step: result.Step, Idle: result.Idle, Duration: result.Duration, Bound: bound, IdleBound: bound,
		}
		if options.Ahead > 0 && i > 0 {
			figure.IdleBound = max(0, bound-options.TrainTime)
		}
		r.Steps = append(r.Steps, figure)
		r.Delivered += result.Samples
		r.Failed += result.Failed
		r.Resubmits += result.Resubmits
		for _, age := range result.SampleAges {
			// The trainers share the engines' weights, so a sample may be newer than its own trainer's version.
			r.Ages = append(r.Ages, max(0, age))
		}
	}
}

// pauseCheckPeriod is the period at which watchPauses reads the clock.
const pauseCheckPeriod = 100 * time.Millisecond

// watchPauses returns a channel that receives the longest pause of the process after ctx has ended.
func watchPauses(ctx context.Context) <-chan time.Duration {
	longest := make(chan time.Duration, 1)
	go func() {
		var maxPause time.Duration
		for last := time.Now(); ctx.Err() == nil; {
			time.Sleep(pauseCheckPeriod)
			now := time.Now()
			maxPause = max(maxPause, now.Sub(last)-pauseCheckPeriod)
			last = now
		}
		longest <- maxPause
	}()
	return longest
}
