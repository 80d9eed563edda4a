package jujubebench

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
)

// Spread holds the median and the range of a value over the repetitions.
type Spread struct {
	Median float64
	Least  float64
	Most   float64
}

func newSpread(values []float64) Spread {
	if len(values) == 0 {
		return Spread{}
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	middle := sorted[len(sorted)/2]
	if len(sorted)%2 == 0 {
		middle = (sorted[len(sorted)/2-1] + middle) / 2
	}
	return Spread{Median: middle, Least: sorted[0], Most: sorted[len(sorted)-1]}
}

// String returns the median and the range.
func (s Spread) String() string { return fmt.Sprintf("%.3f (%.3f-%.3f)", s.Median, s.Least, s.Most) }

// Summary aggregates the repetitions of one variant. Each run contributes one value to a Spread.
type Summary struct {
	Variant Variant
	// IdleSeconds is the trainers' mean idle time per step. IdleRatio is the sum of the idle times divided by the sum of
	// their lower bounds; StepRatio is the same for the durations of the steps.
	IdleSeconds Spread
	IdleRatio   Spread
	StepRatio   Spread
	// ByStep holds StepRatio for each step separately.
	ByStep []Spread
	// StaleMean and StaleP99 are the samples' staleness in weight versions; StaleShare is the share of the generated tokens
	// that was discarded as stale.
	StaleMean  Spread
	StaleP99   Spread
	StaleShare Spread
	Delivered  int
	Repeated   int
	Failed     int
	Resubmits  int
	Discarded  map[string]int
	Violations int
	Errors     []string
	// Paused counts the runs that are excluded from the spreads because the machine paused during them.
	Paused int
}

// Report is the result of Measure.
type Report struct {
	Site      string
	Steps     int
	Repeat    int
	Summaries []Summary
	Runs      []Run
}

// maxRunPause is the longest pause of the process, in nanoseconds, with which a run's times are still used.
const maxRunPause = 500_000_000

func summarize(options Options, variants []Variant, runs []Run) Report {
	report := Report{Site: options.Site, Steps: options.Steps, Repeat: options.Repetitions, Runs: runs}
	for _, variant := range variants {
		report.Summaries = append(report.Summaries, summarizeVariant(options, variant, runs))
	}
	return report
}

func summarizeVariant(options Options, variant Variant, runs []Run) Summary {
	s := Summary{Variant: variant, Discarded: make(map[string]int)}
	var idle, idleRatio, stepRatio, mean, p99, share []float64
	byStep := make([][]float64, options.Steps)
	for _, run := range runs {
		if run.Variant != variant {
			continue
		}
		s.addCounts(run)
		if run.Pause > maxRunPause || len(run.Steps) == 0 || run.Err != "" {
			s.Paused += min(1, int(run.Pause/maxRunPause))
			continue
		}
		idle = append(idle, idlePerStep(run))
		idleRatio = append(idleRatio, ratioOfSums(run.Steps, func(f StepTiming) (float64, float64) {
			return f.Idle.Seconds(), f.IdleBound.Seconds()
		}))
		stepRatio = append(stepRatio, ratioOfSums(run.Steps, durationAndBound))
		for i := range byStep {
			var figures []StepTiming
			for _, figure := range run.Steps {
				if figure.Step == int64(i+1) {
					figures = append(figures, figure)
				}
			}
			byStep[i] = append(byStep[i], ratioOfSums(figures, durationAndBound))
		}
		runMean, runP99 := staleness(run.Ages)
		mean, p99 = append(mean, runMean), append(p99, runP99)
		share = append(share, float64(run.StaleTokens)/float64(max(1, run.Tokens)))
	}
	s.IdleSeconds, s.IdleRatio, s.StepRatio = newSpread(idle), newSpread(idleRatio), newSpread(stepRatio)
	s.StaleMean, s.StaleP99, s.StaleShare = newSpread(mean), newSpread(p99), newSpread(share)
	for _, values := range byStep {
		s.ByStep = append(s.ByStep, newSpread(values))
	}
	return s
}

// addCounts adds a run's counters; unlike the times, they are used from every run.
func (s *Summary) addCounts(run Run) {
	s.Delivered += run.Delivered
	s.Repeated += run.Repeated
	s.Failed += run.Failed
	s.Resubmits += run.Resubmits
	s.Violations += run.Violations
	for cause, count := range run.Discarded {
		s.Discarded[cause] += count
	}
	if run.Err != "" {
		s.Errors = append(s.Errors, run.Err)
	}
}

func durationAndBound(f StepTiming) (float64, float64) {
	return f.Duration.Seconds(), f.Bound.Seconds()
}

// idlePerStep returns the mean idle time per step in seconds.
func idlePerStep(run Run) float64 {
	total := 0.0
	for _, figure := range run.Steps {
		total += figure.Idle.Seconds()
	}
	return total / float64(len(run.Steps))
}

// ratioOfSums sums the value and the bound that terms returns for each step and divides the sums.
func ratioOfSums(figures []StepTiming, terms func(StepTiming) (float64, float64)) float64 {
	values, bounds := 0.0, 0.0
	for _, figure := range figures {
		value, bound := terms(figure)
		values, bounds = values+value, bounds+bound
	}
	if bounds == 0 {
		return 0
	}
	return values / bounds
}

// staleness returns the mean and the 99th percentile of the samples' ages.
func staleness(ages []int) (mean, p99 float64) {
	if len(ages) == 0 {
		return 0, 0
	}
	sorted := slices.Clone(ages)
	slices.Sort(sorted)
	total := 0
	for _, age := range sorted {
		total += age
	}
	return float64(total) / float64(len(sorted)), float64(sorted[len(sorted)*99/100])
}

// WriteText writes the report as a table, followed by the ratios of the single steps and the errors.
func (r Report) WriteText(out io.Writer) error {
	fmt.Fprintf(out, "site %s, %d steps, %d repetitions; median (least-most) over the repetitions\n", r.Site, r.Steps, r.Repeat)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "variant\tidle s per step\tidle / bound\tstep / bound\tstale mean\tstale p99\tstale tokens\tdelivered\trepeated\tresubmits\tviolations\terrors\tpaused")
	for _, s := range r.Summaries {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%.2f\t%.0f\t%.4f\t%d\t%d\t%d\t%d\t%d\t%d\n", s.Variant.Name(), s.IdleSeconds,
			s.IdleRatio, s.StepRatio, s.StaleMean.Median, s.StaleP99.Median, s.StaleShare.Median, s.Delivered, s.Repeated,
			s.Resubmits, s.Violations, len(s.Errors), s.Paused)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, s := range r.Summaries {
		fmt.Fprintf(out, "%s: step / bound by step", s.Variant.Name())
		for _, step := range s.ByStep {
			fmt.Fprintf(out, " %.3f", step.Median)
		}
		fmt.Fprintf(out, "; discarded %v\n", s.Discarded)
		for _, text := range s.Errors {
			fmt.Fprintf(out, "%s: %s\n", s.Variant.Name(), text)
		}
	}
	return nil
}
