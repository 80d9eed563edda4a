package jujubenode_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubepier.example/core/services/jujubebatch"
	"jujubepier.example/entry/services/jujubenode"
)

// TestStoreReturns plays outages of two seconds for all instances. Results that were made meanwhile are listed soon after the
// store is back: half of the tries within 0.25 s, half of the time between two reads of a trainer. Load
// pattern: the store is away while the last items of steps run, and is back shortly before they are due.
func TestStoreReturns(t *testing.T) {
	s := newSite(t)
	a, gateA, _ := s.start("a")
	b, gateB, _ := s.start("b")
	wait(t, "both are known", func() bool { return len(a.Addresses("dc")) == 2 && len(b.Addresses("dc")) == 2 })
	var took []time.Duration
	for _, id := range []string{"s1", "s2", "s3", "s4", "s5"} {
		s.engines.mu.Lock()
		s.engines.hold = make(chan struct{})
		hold := s.engines.hold
		s.engines.mu.Unlock()
		wait(t, "the submission is accepted", func() bool { return a.Submit(t.Context(), route, newSubmission(id, 8)) == nil })
		wait(t, "all items run", func() bool { return a.Runs()+b.Runs() == 8 })
		gateA.set(true)
		gateB.set(true)
		close(hold)
		time.Sleep(2 * time.Second)
		back := time.Now()
		gateA.set(false)
		gateB.set(false)
		for _, node := range []*jujubenode.Node{a, b} {
			readAll(t, node, jujubebatch.SubmissionID(id))
		}
		took = append(took, time.Since(back))
	}
	slices.Sort(took)
	assert.Assert(t, took[2] < 250*time.Millisecond, "%s", took)
}
