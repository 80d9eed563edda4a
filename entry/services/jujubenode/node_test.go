package jujubenode_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeerror"
	"jujubepier.example/core/services/jujubebatch"
	"jujubepier.example/entry/services/jujubenode"
)

// TestSubmissionAtTwoInstances hands the same submission to two instances at once: both accept it, each item has one
// position, and both instances list the same results in the same order.
func TestSubmissionAtTwoInstances(t *testing.T) {
	s := newSite(t)
	a, _, _ := s.start("a")
	b, _, _ := s.start("b")
	errs := make(chan error, 2)
	for _, node := range []*jujubenode.Node{a, b} {
		go func() { errs <- node.Submit(t.Context(), route, newSubmission("s1", 10)) }()
	}
	assert.NilError(t, <-errs)
	assert.NilError(t, <-errs)
	first := readAll(t, a, "s1")
	assert.Equal(t, len(first), 10)
	assert.DeepEqual(t, readAll(t, b, "s1"), first)
	for _, result := range first {
		assert.Equal(t, result.State, jujubebatch.Completed)
		id := string(result.Item)
		assert.Equal(t, result.Text, id+".1\n"+id+".2\n"+id+".3")
	}
}

// TestLostAppendAnswer makes sure that a submission whose append got no answer isn't refused as one that surely doesn't
// run, and that the same submission, handed in again, is accepted once.
func TestLostAppendAnswer(t *testing.T) {
	s := newSite(t)
	a, _, _ := s.start("a")
	s.store.mu.Lock()
	s.store.loseAnswers = 1
	s.store.mu.Unlock()
	err := a.Submit(t.Context(), route, newSubmission("s1", 3))
	refused, ok := jujubeerror.IsErrRefused(err)
	assert.Assert(t, ok, "%v", err)
	assert.Equal(t, refused.Ran, model.RanUnknown)
	assert.NilError(t, a.Submit(t.Context(), route, newSubmission("s1", 3)))
	assert.Equal(t, len(readAll(t, a, "s1")), 3)
}

// TestAllInstancesLost reads the same results at the same positions after all instances were killed, and runs what had
// no result. Load pattern: all machines lose power right after a submission was accepted.
func TestAllInstancesLost(t *testing.T) {
	s := newSite(t)
	a, _, stopA := s.start("a")
	_, _, stopB := s.start("b")
	assert.NilError(t, a.Submit(t.Context(), route, newSubmission("s1", 6)))
	before := readAll(t, a, "s1")
	s.engines.mu.Lock()
	s.engines.hold = make(chan struct{})
	s.engines.mu.Unlock()
	assert.NilError(t, a.Submit(t.Context(), route, newSubmission("s2", 6)))
	wait(t, "the items run", func() bool { return s.engines.count("s2-0") > 0 })
	stopA()
	stopB()
	close(s.engines.hold)
	again, _, _ := s.start("a")
	assert.DeepEqual(t, readAll(t, again, "s1"), before)
	assert.Equal(t, len(readAll(t, again, "s2")), 6)
	body, err := again.Body(t.Context(), "s2", "s2-4")
	assert.NilError(t, err)
	assert.DeepEqual(t, body, []byte{4})
	_, err = again.Read(t.Context(), "s3", 0, 0)
	assert.ErrorType(t, err, jujubenode.ErrUnknownSubmission{})
}

// TestEndStopsRuns ends a submission at one instance and sees the runs at the other one end.
func TestEndStopsRuns(t *testing.T) {
	s := newSite(t)
	s.engines.hold = make(chan struct{})
	a, _, _ := s.start("a")
	b, _, _ := s.start("b")
	wait(t, "both are known", func() bool { return len(a.Addresses("dc")) == 2 })
	assert.NilError(t, a.Submit(t.Context(), route, newSubmission("s1", 8)))
	wait(t, "both instances run items", func() bool { return a.Runs() > 0 && b.Runs() > 0 })
	assert.NilError(t, a.End(t.Context(), "s1"))
	assert.NilError(t, b.End(t.Context(), "s1"))
	wait(t, "no item runs", func() bool { return a.Runs()+b.Runs() == 0 })
}

// TestTurnedAwayByStore lets the store turn one instance away: it accepts and runs submissions through the other one.
func TestTurnedAwayByStore(t *testing.T) {
	s := newSite(t)
	a, _, _ := s.start("a")
	b, g, _ := s.start("b")
	wait(t, "both are known", func() bool { return len(a.Addresses("dc")) == 2 && len(b.Addresses("dc")) == 2 })
	g.set(true)
	wait(t, "a submission is accepted", func() bool { return b.Submit(t.Context(), route, newSubmission("s1", 8)) == nil })
	assert.DeepEqual(t, readAll(t, b, "s1"), readAll(t, a, "s1"))
	g.set(false)
	assert.NilError(t, b.Submit(t.Context(), route, newSubmission("s2", 2)))
	assert.Equal(t, len(readAll(t, b, "s2")), 2)
}

// TestLeavingWhileStoreIsAway hands what a leaving instance couldn't write to another one, which writes it once the store
// is back. Load pattern: instances are replaced one after the other while the store is down.
func TestLeavingWhileStoreIsAway(t *testing.T) {
	s := newSite(t)
	s.engines.hold = make(chan struct{})
	a, gateA, _ := s.start("a")
	b, gateB, _ := s.start("b")
	wait(t, "both are known", func() bool { return len(a.Addresses("dc")) == 2 && len(b.Addresses("dc")) == 2 })
	assert.NilError(t, a.Submit(t.Context(), route, newSubmission("s1", 8)))
	wait(t, "both instances run items", func() bool { return a.Runs() == 4 && b.Runs() == 4 })
	gateA.set(true)
	gateB.set(true)
	close(s.engines.hold)
	wait(t, "all runs end", func() bool { return a.Runs()+b.Runs() == 0 })
	s.leave("b")
	gateA.set(false)
	assert.Equal(t, len(readAll(t, a, "s1")), 8)
	for _, item := range newSubmission("s1", 8).Items {
		assert.Equal(t, s.engines.count(item.ID), 1, "%s", item.ID)
	}
}

// TestClockStepsBack restarts an instance whose clock was set back: it counts as alive again, although its start seems to
// lie before that of its predecessor. Its first beat, which replaces the predecessor's row, waits until it has read that row.
func TestClockStepsBack(t *testing.T) {
	s := newSite(t)
	a, _, _ := s.start("a")
	_, _, stop := s.start("b")
	wait(t, "both are known", func() bool { return len(a.Addresses("dc")) == 2 })
	stop()
	wait(t, "one is gone", func() bool { return len(a.Addresses("dc")) == 1 })
	s.behind = time.Minute
	s.store.mu.Lock()
	s.store.slowNewest = 200 * time.Millisecond
	s.store.mu.Unlock()
	s.start("b")
	wait(t, "both are known again", func() bool { return len(a.Addresses("dc")) == 2 })
}

// TestReadWhileStoreIsAway reads results at an instance that hasn't read their texts, while the store is away for all: the
// instance that wrote them still has them. Load pattern: the store is down while trainers wait for their last groups.
func TestReadWhileStoreIsAway(t *testing.T) {
	s := newSite(t)
	a, gateA, _ := s.start("a")
	b, gateB, _ := s.start("b")
	wait(t, "both are known", func() bool { return len(a.Addresses("dc")) == 2 && len(b.Addresses("dc")) == 2 })
	assert.NilError(t, a.Submit(t.Context(), route, newSubmission("s1", 8)))
	// Both have read that there are results; the last one's text is the only one that is read.
	for _, node := range []*jujubenode.Node{a, b} {
		wait(t, "all are listed", func() bool {
			page, err := node.Read(t.Context(), "s1", 7, 0)
			return err == nil && len(page.Results) == 1
		})
	}
	gateA.set(true)
	gateB.set(true)
	assert.Equal(t, len(readAll(t, b, "s1")), 8)
	body, err := b.Body(t.Context(), "s1", "s1-3")
	assert.NilError(t, err)
	assert.DeepEqual(t, body, []byte{3})
}
