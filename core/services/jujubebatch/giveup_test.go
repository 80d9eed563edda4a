package jujubebatch_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubebatch"
	"jujubepier.example/core/services/jujubedesired"
)

// withoutRoutes returns a desired state without the routes of the tests, such as one from before they were added.
func withoutRoutes(version int64) *jujubedesired.State {
	return &jujubedesired.State{Version: version, Routes: []jujubedesired.Route{{Host: "other", PathPrefix: "/"}}}
}

// withLimits returns a desired state whose route has other limits.
func withLimits(version int64, maxAttempts int, retention time.Duration) *jujubedesired.State {
	state := testDesired()
	state.Version, state.Routes[0].MaxAttempts, state.Routes[0].Retention = version, maxAttempts, retention
	return state
}

func acceptedUnder(version int64, submission *jujubebatch.Submission) *jujubebatch.Submission {
	submission.DesiredVersion = version
	return submission
}

// TestNewRouteIsntTakenForAnEndedOne guards against final errors for the items of a new route, at an instance that reads the
// submission before the desired state with the route.
func TestNewRouteIsntTakenForAnEndedOne(t *testing.T) {
	offer := jujubebatch.Offer{Submission: "s", Item: "s-0", Engine: "e0", Given: jujubebatch.Content{Headers: map[string]string{}}}
	catchAll := testDesired()
	catchAll.Routes[0].PathPrefix, catchAll.Routes[0].MaxAttempts, catchAll.Routes[0].Retention = "/", 1, time.Millisecond
	for name, c := range map[string]struct {
		older *jujubedesired.State
		// by accepted the submission; its items are offered to this instance if that is another one.
		by                       model.InstanceID
		offerBefore, offerAfter  bool
		readBefore, acceptorLost bool
	}{
		"accepted here":                      {older: withoutRoutes(1), by: "a"},
		"no state":                           {older: &jujubedesired.State{}, by: "a"},
		"read lately":                        {older: withoutRoutes(1), by: "a", readBefore: true},
		"another route has matched the path": {older: catchAll, by: "a", readBefore: true},
		"offered before the record":          {older: withoutRoutes(1), by: "b", offerBefore: true},
		"offered after the record":           {older: withoutRoutes(1), by: "b", offerAfter: true},
		"acceptor lost":                      {older: withoutRoutes(1), by: "b", acceptorLost: true},
	} {
		t.Run(name, func(t *testing.T) {
			ts := newTestScheduler(t, 1)
			ts.SetDesired(c.older)
			ts.isDesiredUnread = !c.readBefore
			if !c.acceptorLost {
				ts.SetLiveMembers(members("a", "b"))
			}
			if c.offerBefore {
				assert.Assert(t, ts.AcceptOffer(ts.now, offer))
			}
			submission := acceptedUnder(7, newSubmission("s", 1, c.by))
			ts.accept(submission)
			if c.offerAfter {
				assert.Assert(t, ts.AcceptOffer(ts.now, offer))
			}
			for range 5 {
				ts.now = ts.now.Add(100 * time.Millisecond)
				assert.Equal(t, len(ts.Tick(ts.now)), 0)
			}
			if c.offerBefore || c.offerAfter {
				assert.Assert(t, ts.HasItem(jujubebatch.ItemRef{Submission: "s", Item: "s-0"}))
				assert.Equal(t, ts.EngineLoad("e0"), 1)
			}
			newer := testDesired()
			newer.Version = 7
			ts.SetDesired(newer)
			started := 0
			for _, action := range ts.Tick(ts.now) {
				switch a := action.(type) {
				case jujubebatch.StartRun, jujubebatch.OfferItems:
					started++
				case jujubebatch.AppendEntry:
					t.Fatalf("appended %+v", a.Entry.Result)
				}
			}
			assert.Equal(t, started, 1)
		})
	}
}

// TestPendingOfferExpires guards against an item that stays delegated to an instance which doesn't learn its route.
func TestPendingOfferExpires(t *testing.T) {
	ts := newTestScheduler(t, 1)
	ts.SetLiveMembers(members("a", "b"))
	ts.accept(acceptedUnder(7, newSubmission("s", 1, "b")))
	assert.Assert(t, ts.AcceptOffer(ts.now, jujubebatch.Offer{Submission: "s", Item: "s-0", Engine: "e0"}))
	ref := jujubebatch.ItemRef{Submission: "s", Item: "s-0"}
	ts.Tick(ts.now)
	assert.Assert(t, ts.HasItem(ref))
	ts.now = ts.now.Add(4 * time.Second)
	ts.Tick(ts.now)
	assert.Assert(t, !ts.HasItem(ref))
	assert.Equal(t, ts.EngineLoad("e0"), 0)
}

// TestEndedRouteErrsAtOnce guards against items that wait although their route has ended, also at an instance that can't read the
// desired state again.
func TestEndedRouteErrsAtOnce(t *testing.T) {
	for name, version := range map[string]int64{"accepted under it": 2, "accepted under an earlier one": 1} {
		t.Run(name, func(t *testing.T) {
			ts := newTestScheduler(t, 1)
			ts.isDesiredUnread = true
			ts.SetDesired(withoutRoutes(2))
			ts.accept(acceptedUnder(version, newSubmission("s", 1, "a")))
			ts.assertErrored()
		})
	}
}

// TestRecordWithoutDesiredVersion guards against final errors for items that an instance of an earlier build has accepted: their
// records don't tell under which desired state.
func TestRecordWithoutDesiredVersion(t *testing.T) {
	ts := newTestScheduler(t, 1)
	ts.isDesiredUnread = true
	ts.SetDesired(withoutRoutes(2))
	ts.SetDesiredRead(ts.now.Add(-time.Millisecond))
	ts.accept(newSubmission("s", 1, "a"))
	assert.Equal(t, len(ts.Tick(ts.now)), 0)
	ts.SetDesiredRead(ts.now)
	ts.assertErrored()
}

// TestOutdatedLimitsErrNoItem guards against final errors by limits that a newer desired state has raised, at an instance that can't
// read it.
func TestOutdatedLimitsErrNoItem(t *testing.T) {
	t.Run("retention", func(t *testing.T) {
		ts := newTestScheduler(t, 1)
		ts.SetDesired(withLimits(2, 3, 5*time.Second))
		ts.accept(acceptedUnder(2, newSubmission("s", 1, "a")))
		run := tick[jujubebatch.StartRun](ts)[0]
		ts.HandleRunEnd(ts.now, run.Run, jujubebatch.RunBroken)
		ts.isDesiredUnread = true
		ts.now = ts.now.Add(6 * time.Second)
		run = tick[jujubebatch.StartRun](ts)[0]
		ts.HandleRunEnd(ts.now, run.Run, jujubebatch.RunBroken)
		ts.SetDesired(withLimits(3, 3, 10*time.Second))
		ts.isDesiredUnread = false
		ts.now = ts.now.Add(3 * time.Second)
		assert.Equal(t, len(tick[jujubebatch.StartRun](ts)), 1)
	})
	t.Run("after a suspension", func(t *testing.T) {
		ts := newTestScheduler(t, 3)
		ts.accept(acceptedUnder(1, newSubmission("s", 1, "a")))
		for range 3 {
			run := tick[jujubebatch.StartRun](ts)[0]
			ts.isDesiredUnread = true
			ts.now = ts.now.Add(10 * time.Millisecond)
			ts.SetResumed(ts.now) // the clock hasn't moved on meanwhile
			ts.HandleRunEnd(ts.now, run.Run, jujubebatch.RunFailed)
			ts.now = ts.now.Add(100 * time.Millisecond)
		}
		assert.Equal(t, len(ts.Tick(ts.now)), 0, "given up by limits from before the suspension")
		ts.isDesiredUnread = false
		ts.assertErrored()
	})
	for name, raised := range map[string]int{"attempts": 4, "attempts that stay": 3} {
		t.Run(name, func(t *testing.T) {
			ts := newTestScheduler(t, 3)
			ts.accept(acceptedUnder(1, newSubmission("s", 1, "a")))
			for range 3 {
				run := tick[jujubebatch.StartRun](ts)[0]
				ts.isDesiredUnread = true
				ts.now = ts.now.Add(1100 * time.Millisecond)
				ts.HandleRunEnd(ts.now, run.Run, jujubebatch.RunFailed)
				ts.now = ts.now.Add(100 * time.Millisecond)
			}
			assert.Equal(t, len(ts.Tick(ts.now)), 0, "neither run again nor given up by a limit that may be outdated")
			ts.isDesiredUnread = false
			ts.SetDesired(withLimits(2, raised, 40*time.Second))
			if raised == 3 {
				ts.assertErrored()
				return
			}
			assert.Equal(t, len(tick[jujubebatch.StartRun](ts)), 1)
		})
	}
}
