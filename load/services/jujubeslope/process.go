package jujubeslope

import (
	"context"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// processors bounds the processors that a run uses, so that it can share a machine.
const processors = 3

// Study is one group of measurements.
type Study struct {
	Name  string
	Usage string
	run   func(ctx context.Context, report *Report) error
}

// Studies lists the measurements, those that take the least time first.
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

// Run runs the named studies, or all.
func Run(ctx context.Context, names map[string]bool) (*Report, error) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(min(processors, runtime.NumCPU())))
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

// processTime returns the processor time that this process has used.
func processTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// memoryInUse returns the bytes of the heap and of the stacks after a collection.
func memoryInUse() float64 {
	// The second collection frees what finalizers and pools held over the first.
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc) + float64(stats.StackInuse)
}

const (
	watchPeriod = 20 * time.Millisecond
	// longestPause is how long the process may stand still without making a measurement worthless.
	longestPause = time.Second
	maxRepeats   = 2
)

// steady repeats a measurement while the machine pauses in it. The last repeat counts in any case.
func (r *Report) steady(measure func() error) error {
	for repeat := 0; ; repeat++ {
		var longest atomic.Int64
		stop, ended := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(ended)
			ticker := time.NewTicker(watchPeriod)
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
		if err != nil || time.Duration(longest.Load()) < longestPause || repeat == maxRepeats {
			return err
		}
		r.Repeated++
	}
}

// repeat calls work until the time is over and returns the time and the allocations of one call.
func repeat(most time.Duration, work func(i int)) (perCall time.Duration, allocations, bytes float64) {
	const batch = 16
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	begin := time.Now()
	calls := 0
	for time.Since(begin) < most {
		for range batch {
			work(calls)
			calls++
		}
	}
	took := time.Since(begin)
	runtime.ReadMemStats(&after)
	count := float64(calls)
	return took / time.Duration(calls), float64(after.Mallocs-before.Mallocs) / count, float64(after.TotalAlloc-before.TotalAlloc) / count
}
