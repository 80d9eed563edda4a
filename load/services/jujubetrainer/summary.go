package jujubetrainer

import (
	"slices"
	"time"
)

// Summary adds up the steps of a run.
type Summary struct {
	Steps     int
	Samples   int
	Tokens    int
	Failed    int
	Resubmits int
	Mixed     int
	// Idle adds up the time without samples to train on; Duration adds up the steps.
	Idle     time.Duration
	Duration time.Duration
	// StaleMean and StaleP99 are in weight versions.
	StaleMean float64
	StaleP99  int
}

// Summarize adds up results.
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
