package jujubestep_test

import (
	"fmt"
	"testing"

	"jujubepier.example/core/services/jujubestep"
)

// BenchmarkSteps measures a tick with half of the samples finished and half running, a tick with one sample starting and all
// others waiting for MaxStarting, and one progress report of a running stream.
func BenchmarkSteps(b *testing.B) {
	for _, size := range []int{256, 1024, 4096} {
		b.Run(fmt.Sprint("Tick/samples=", size), func(b *testing.B) {
			steps := newSteps(b, newPart(1, size/8, 8))
			for i, s := range startStreams(b, steps) {
				if i%2 == 0 {
					finishStream(steps, start.Add(tick), s.Stream, 5)
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				steps.Tick(start.Add(2 * tick))
			}
		})
		b.Run(fmt.Sprint("TickPending/samples=", size), func(b *testing.B) {
			steps := jujubestep.New(jujubestep.Settings{MaxStarting: 1})
			steps.SetLimits(limits(""))
			_, _ = steps.Submit(start, newPart(1, size/8, 8))
			b.ReportAllocs()
			for b.Loop() {
				steps.Tick(start)
			}
		})
		b.Run(fmt.Sprint("Progress/samples=", size), func(b *testing.B) {
			steps := newSteps(b, newPart(1, size/8, 8))
			starts := startStreams(b, steps)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				at := i / len(starts)
				steps.HandleStreamProgress(start, starts[i%len(starts)].Stream, at, at+1, 5)
			}
		})
	}
}
