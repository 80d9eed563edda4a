package jujubetrainer

import (
	"slices"
	"time"
)

// Summary aggregates the steps of a run.
type Summary struct {
	Steps         int
	Samples       int
	Tokens        int
	Failed        int
	Resubmits     int
	MixedVersions int
	// Idle is the total time without samples to train on; Duration is the total of the steps' durations.
	Idle     time.Duration
	Duration time.Duration
	// MeanStaleness and P99Staleness are the mean and the 99th percentile of the samples' ages, in weight versions.
	MeanStaleness float64
	P99Staleness  int
}

// Summarize aggregates the results of all steps.
func Summarize(results []StepResult) Summary {
	summary := Summary{Steps: len(results)}
	var ages []int
	for _, result := range results {
		summary.Samples += result.Samples
		summary.Tokens += result.Tokens
		summary.Failed += result.Failed
		summary.Resubmits += result.Resubmits
		summary.MixedVersions += result.MixedVersions
		summary.Idle += result.Idle
		summary.Duration += result.Duration
		ages = append(ages, result.SampleAges...)
	}
	if len(ages) == 0 {
		return summary
	}
	slices.Sort(ages)
	total := 0
	for _, age := range ages {
		total += age
	}
	summary.MeanStaleness = float64(total) / float64(len(ages))
	summary.P99Staleness = ages[len(ages)*99/100]
	return summary
}
