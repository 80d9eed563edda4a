package jujubetrainer

import (
	"slices"
	"time"
)

// Summary aggregates the steps of a run.
type Summary struct {
	Steps     int
	Samples   int
	Tokens    int
	Failed    int
	Resubmits int
	Mixed     int
	// Idle is the total time without samples to train on; Duration is the total of the steps' durations.
	Idle     time.Duration
	Duration time.Duration
	// StaleMean and StaleP99 are the mean and the 99th percentile of the samples' ages, in weight versions.
	StaleMean float64
	StaleP99  int
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
		summary.Mixed += result.Mixed
		summary.Idle += result.Idle
		summary.Duration += result.Duration
		ages = append(ages, result.Ages...)
	}
	if len(ages) == 0 {
		return summary
	}
	slices.Sort(ages)
	total := 0
	for _, age := range ages {
		total += age
	}
	summary.StaleMean = float64(total) / float64(len(ages))
	summary.StaleP99 = ages[len(ages)*99/100]
	return summary
}
