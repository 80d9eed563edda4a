package jujubenode_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeerror"
)

// TestExpiredEndStartsNothing guards against items of an ended submission that start because the record of its end expired before this
// instance read it, whether another instance can tell or not.
func TestExpiredEndStartsNothing(t *testing.T) {
	for name, hasWitness := range map[string]bool{"with another instance": true, "alone": false} {
		t.Run(name, func(t *testing.T) {
			cluster := newTestCluster(t)
			cluster.engines.hold = make(chan struct{})
			a, _, stopA := cluster.start("a")
			b, store, _ := cluster.start("b")
			waitFor(t, "both instances are alive", func() bool { return len(a.Addresses("dc")) == 2 && len(b.Addresses("dc")) == 2 })
			submission := newSubmission("s1", 40)
			assert.NilError(t, b.Submit(t.Context(), route, submission))
			waitFor(t, "items run", func() bool { return b.RunsInFlight() > 0 })
			store.hideSubmissions()
			assert.NilError(t, a.EndSubmission(t.Context(), "s1"))
			if !hasWitness {
				stopA()
			}
			store.expireSubmissions()
			for deadline := time.Now().Add(4 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
				if page, err := b.ReadResults(t.Context(), "s1", 0, 0); err == nil && page.Ended || err != nil && !hasWitness {
					break
				}
			}
			count := func() (runs int) {
				for _, item := range submission.Items {
					runs += cluster.engines.count(item.ID)
				}
				return runs
			}
			before := count()
			close(cluster.engines.hold)
			time.Sleep(2 * time.Second)
			assert.Equal(t, count()-before, 0, "items started after the end")
			_, err := b.ReadResults(t.Context(), "s1", 0, 0)
			_, isRefused := jujubeerror.IsErrRefused(err)
			assert.Equal(t, isRefused, !hasWitness, "%v", err)
		})
	}
}

// TestExpiredResultsAreListed guards against results that one instance lists at other positions than the others, or never, and against
// a submission that it reports as unknown, as their records expired before it read them.
func TestExpiredResultsAreListed(t *testing.T) {
	cluster := newTestCluster(t)
	cluster.engines.hold = make(chan struct{})
	a, _, _ := cluster.start("a")
	b, store, _ := cluster.start("b")
	waitFor(t, "both instances are alive", func() bool { return len(a.Addresses("dc")) == 2 && len(b.Addresses("dc")) == 2 })
	assert.NilError(t, a.Submit(t.Context(), route, newSubmission("s1", 20)))
	waitFor(t, "both instances run items", func() bool { return a.RunsInFlight() > 0 && b.RunsInFlight() > 0 })
	store.hideSubmissions()
	assert.NilError(t, a.Submit(t.Context(), route, newSubmission("s2", 1)))
	close(cluster.engines.hold)
	waitFor(t, "some results", func() bool {
		page, err := a.ReadResults(t.Context(), "s1", 0, 0)
		return err == nil && len(page.Results) > 2
	})
	store.expireSubmissions()
	assert.DeepEqual(t, readAll(t, b, "s1"), readAll(t, a, "s1"))
	_, err := b.ReadResults(t.Context(), "s2", 0, 0)
	_, isRefused := jujubeerror.IsErrRefused(err)
	assert.Assert(t, isRefused, "%v", err)
}

// TestRecordsThatNobodyHasRead guards against submissions that are never run or read again, as all instances have missed the same
// records.
func TestRecordsThatNobodyHasRead(t *testing.T) {
	cluster := newTestCluster(t)
	cluster.engines.hold = make(chan struct{})
	a, storeA, _ := cluster.start("a")
	b, storeB, _ := cluster.start("b")
	waitFor(t, "both instances are alive", func() bool { return len(a.Addresses("dc")) == 2 && len(b.Addresses("dc")) == 2 })
	assert.NilError(t, a.Submit(t.Context(), route, newSubmission("s1", 20)))
	waitFor(t, "both instances run items", func() bool { return a.RunsInFlight() > 0 && b.RunsInFlight() > 0 })
	for _, store := range []*blockableStore{storeA, storeB} {
		store.hideSubmissions()
	}
	for i := range 16 { // in both partitions
		assert.NilError(t, a.Submit(t.Context(), route, newSubmission(fmt.Sprint("missed", i), 1)))
	}
	for _, store := range []*blockableStore{storeA, storeB} {
		store.expireSubmissions()
	}
	close(cluster.engines.hold)
	assert.DeepEqual(t, readAll(t, b, "s1"), readAll(t, a, "s1"))
}

// TestInstanceBehindMayTell guards against an instance that takes its doubts for unanswerable because another one, which replied that it
// can't tell, hasn't read the records yet.
func TestInstanceBehindMayTell(t *testing.T) {
	cluster := newTestCluster(t)
	cluster.engines.hold = make(chan struct{})
	a, _, stopA := cluster.start("a")
	b, storeB, _ := cluster.start("b")
	_, storeC, _ := cluster.start("c")
	waitFor(t, "all instances are alive", func() bool { return len(a.Addresses("dc")) == 3 && len(b.Addresses("dc")) == 3 })
	assert.NilError(t, b.Submit(t.Context(), route, newSubmission("s1", 40)))
	waitFor(t, "items run", func() bool { return b.RunsInFlight() > 0 })
	storeB.hideSubmissions()
	storeC.hideSubmissions()
	assert.NilError(t, a.EndSubmission(t.Context(), "s1"))
	stopA()
	storeB.expireSubmissions()
	isInDoubt := func() bool {
		_, err := b.ReadResults(t.Context(), "s1", 0, 0)
		_, isRefused := jujubeerror.IsErrRefused(err)
		return isRefused
	}
	waitFor(t, "the submission is in doubt", isInDoubt)
	waitFor(t, "an instance is lost", func() bool { return len(b.Addresses("dc")) == 2 })
	for deadline := time.Now().Add(3 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, isInDoubt(), "the doubt has ended")
	}
	storeC.showSubmissions()
	waitFor(t, "the end is known", func() bool {
		page, err := b.ReadResults(t.Context(), "s1", 0, 0)
		return err == nil && page.Ended
	})
}

// TestRepeatedSubmissionAfterGap guards against a submission that runs again after its end, as it is repeated at an instance which has
// missed its record and its end.
func TestRepeatedSubmissionAfterGap(t *testing.T) {
	cluster := newTestCluster(t)
	a, _, _ := cluster.start("a")
	b, store, _ := cluster.start("b")
	waitFor(t, "both instances are alive", func() bool { return len(a.Addresses("dc")) == 2 && len(b.Addresses("dc")) == 2 })
	store.hideSubmissions()
	submission := newSubmission("s1", 1)
	assert.NilError(t, a.Submit(t.Context(), route, submission))
	readAll(t, a, "s1")
	assert.NilError(t, a.EndSubmission(t.Context(), "s1"))
	store.expireSubmissions()
	waitFor(t, "the records have expired", func() bool {
		_, err := b.ReadResults(t.Context(), "s1", 0, 0)
		_, isRefused := jujubeerror.IsErrRefused(err)
		return isRefused
	})
	refused, isRefused := jujubeerror.IsErrRefused(b.Submit(t.Context(), route, newSubmission("s1", 1)))
	assert.Assert(t, isRefused && refused.Ran == model.RanNo)
	assert.NilError(t, a.Submit(t.Context(), route, newSubmission("s1", 1)))
	time.Sleep(time.Second)
	assert.Equal(t, cluster.engines.count(submission.Items[0].ID), 1, "the item ran again")
	waitFor(t, "a new submission is accepted", func() bool { return b.Submit(t.Context(), route, newSubmission("s2", 1)) == nil })
}
