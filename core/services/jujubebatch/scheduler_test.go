package jujubebatch_test

import (
	"fmt"
	"testing"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubebatch"
	"jujubepier.example/core/services/jujubedesired"
)

var start = time.Unix(1_700_000_000, 0)

// testScheduler is the scheduler of one instance with a test and a clock.
type testScheduler struct {
	t   *testing.T
	now time.Time
	// isDesiredUnread is true while the instance can't read the desired state.
	isDesiredUnread bool
	*jujubebatch.Scheduler
}

func newTestScheduler(t *testing.T, engines int) *testScheduler {
	return newTestSchedulerWith(t, engines, jujubebatch.DefaultSettings())
}

func newTestSchedulerWith(t *testing.T, engines int, settings jujubebatch.Settings) *testScheduler {
	ts := &testScheduler{t: t, now: start, Scheduler: jujubebatch.New("a", settings)}
	ts.SetLiveMembers(members("a"))
	ts.SetDesired(testDesired())
	for i := range engines {
		ts.putEngine(i, 1, 1)
	}
	return ts
}

// testDesired returns a desired state with one route for all test submissions.
func testDesired() *jujubedesired.State {
	return &jujubedesired.State{
		Version: 1,
		Routes: []jujubedesired.Route{{
			Host: "h", PathPrefix: "/p/", Kind: jujubedesired.Rollout, MaxAttempts: 3, Retention: 40 * time.Second,
			Targets: []jujubedesired.Target{{Service: "s", Weight: 1}},
		}},
	}
}

func (ts *testScheduler) putEngine(i int, incarnation model.Incarnation, version model.WeightVersion) {
	ts.PutEngine(jujubebatch.Engine{
		ID: model.EndpointID(fmt.Sprintf("e%d", i)), Incarnation: incarnation, Service: "s", Slots: 12, SoftwareVersion: "v1",
		Versions: map[model.ModelName]model.WeightVersion{"m": version},
	})
}

// members returns ready instances of one data centre.
func members(ids ...model.InstanceID) []jujubebatch.Member {
	var all []jujubebatch.Member
	for _, id := range ids {
		all = append(all, jujubebatch.Member{ID: id, Ready: true})
	}
	return all
}

// newSubmission returns a submission that the instance by has accepted.
func newSubmission(id string, items int, by model.InstanceID) *jujubebatch.Submission {
	s := &jujubebatch.Submission{ID: jujubebatch.SubmissionID(id), Host: "h", Path: "/p/x", Model: "m", MinVersion: 1, By: by}
	for i := range items {
		s.Items = append(s.Items, jujubebatch.Item{ID: jujubebatch.ItemID(fmt.Sprintf("%s-%d", id, i)), Path: "/p/i"})
	}
	return s
}

func (ts *testScheduler) accept(s *jujubebatch.Submission) bool {
	return ts.Apply(ts.now, &jujubebatch.Entry{Submission: s})
}

// tick advances the scheduler and returns the actions of one type.
func tick[A jujubebatch.Action](ts *testScheduler) []A {
	var found []A
	if !ts.isDesiredUnread {
		ts.SetDesiredRead(ts.now)
	}
	for _, action := range ts.Tick(ts.now) {
		if matched, ok := action.(A); ok {
			found = append(found, matched)
		}
	}
	return found
}
