package jujubeslope

import (
	"context"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// maxProcessors limits the processors that a run uses, so that it can share a machine with other programs.
const maxProcessors = 3

// Study is a named group of measurements.
type Study struct {
	Name        string
	Description string
	run         func(ctx context.Context, report *Report) error
}

// Studies returns all studies, the shortest first.
func Studies() []Study {
	return []Study{
		{"decide", "time and allocations of decisions", studyDecisions},
		{"memory", "memory of the tables", studyMemory},
		{"rollout", "weight rollout, in virtual time", studyRollout},
		{"members", "decision core against the number of members, in virtual time", studyMembers},
		{"connections", "memory of connections between instances", studyConnections},
		{"tokens", "requests and tokens through one entry instance", studyTokens},
		{"instances", "control traffic, configuration changes and restarts against the number of instances", studyInstances},
		{"endpoints", "control traffic of 32 instances against the number of endpoints", studyEndpoints},
	}
}

// Run runs the named studies, or all if names is empty.
func Run(ctx context.Context, names map[string]bool) (*Report, error) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(min(maxProcessors, runtime.NumCPU())))
	report := &Report{}
	for _, study := range Studies() {
		if len(names) > 0 && !names[study.Name] {
			continue
		}
		if err := study.run(ctx, report); err != nil {
			return report, errors.Wrap(err, study.Name)
		}
	}
	return report, nil
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// memoryInUse returns the bytes in use on the heap and by stacks after a garbage collection.
func memoryInUse() float64 {
	// A second collection is needed to free objects that finalizers and pools keep during the first.
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc) + float64(stats.StackInuse)
}

const (
	pauseCheckPeriod = 20 * time.Millisecond
	// maxPause is the pause of the process at which a measurement is discarded.
	maxPause   = time.Second
	maxRepeats = 2
)

// repeatIfPaused repeats a measurement during which the process paused for maxPause or longer, at most maxRepeats times. The
// last repeat counts even if it was paused.
func (r *Report) repeatIfPaused(measure func() error) error {
	for repeat := 0; ; repeat++ {
		var longest atomic.Int64
		stop, ended := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(ended)
			ticker := time.NewTicker(pauseCheckPeriod)
			defer ticker.Stop()
			last := time.Now()
			for {
				select {
				case <-stop:
					return
				case <-ticker.C:
				}
				longest.Store(max(longest.Load(), int64(time.Since(last))))
				last = time.Now()
			}
		}()
		err := measure()
		close(stop)
		<-ended
		if err != nil || time.Duration(longest.Load()) < maxPause || repeat == maxRepeats {
			return err
		}
		r.Repeated++
	}
}

// benchmark calls operation for at least the given duration and returns the mean time, allocations and allocated bytes per
// call.
func benchmark(duration time.Duration, operation func(i int)) (perCall time.Duration, allocations, bytes float64) {
	const batch = 16
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	begin := time.Now()
	calls := 0
	for time.Since(begin) < duration {
		for range batch {
			operation(calls)
			calls++
		}
	}
	took := time.Since(begin)
	runtime.ReadMemStats(&after)
	count := float64(calls)
	return took / time.Duration(calls), float64(after.Mallocs-before.Mallocs) / count, float64(after.TotalAlloc-before.TotalAlloc) / count
}
