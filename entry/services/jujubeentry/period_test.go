package jujubeentry_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubecore"
	"jujubepier.example/entry/services/jujubeentry"
)

var now = time.Unix(1_800_000_000, 123456789)

// TestListReadsTakeTurns guards against instances that read the list at the same time, which leaves gaps in which a leaving
// endpoint gets new work for more than 3 s, and against reads that exceed the limit on control traffic.
func TestListReadsTakeTurns(t *testing.T) {
	const entries, live = 970, 370
	var reads []time.Time
	for rank := range live {
		// The instances start at different times.
		at := now.Add(time.Duration(rank) * 317 * time.Millisecond)
		for range 4 {
			delay := jujubeentry.ListReadDelay(at, time.Second, entries, live, rank)
			assert.Assert(t, delay > 60*time.Second, "rank %d reads again after %v", rank, delay)
			at = at.Add(delay)
			reads = append(reads, at)
		}
	}
	slices.SortFunc(reads, time.Time.Compare)
	for i := live; i < 2*live; i++ {
		gap := reads[i+1].Sub(reads[i])
		assert.Assert(t, gap <= 500*time.Millisecond, "no read for %v", gap)
	}
	assert.Equal(t, jujubeentry.ListReadDelay(now, time.Second, 24, 9, 3), time.Second)
	assert.Assert(t, jujubeentry.ListReadDelay(now, time.Second, 632, 32, 3) <= 24*time.Second)
}

// TestReadsOfLoads guards against a leader whose load reports are too old for sending orders, and against reads of endpoints
// that have just reported their load.
func TestReadsOfLoads(t *testing.T) {
	for _, test := range []struct {
		name         string
		since, age   time.Duration
		polled, live int
		urgent, due  bool
	}{
		{"few instances", 500 * time.Millisecond, 0, 10, 9, false, true},
		{"a round that is early", 490 * time.Millisecond, 0, 10, 9, false, true},
		{"few instances, too early", 200 * time.Millisecond, time.Hour, 10, 9, false, false},
		{"reported with an answer", 20 * time.Second, 5 * time.Second, 24, 370, false, false},
		{"without a report", 12 * time.Second, 13 * time.Second, 24, 370, false, true},
		{"leader in a rollout", 2 * time.Second, time.Second, 600, 370, true, true},
		{"leader at rest", 30 * time.Second, time.Minute, 600, 370, false, false},
	} {
		endpoint := jujubecore.PolledEndpoint{
			Endpoint: model.Endpoint{ID: "e"}, ReportedAt: now.Add(-test.age), Urgent: test.urgent,
		}
		due := jujubeentry.IsLoadReadDue(now, 500*time.Millisecond, now.Add(-test.since), endpoint, test.polled, test.live)
		assert.Equal(t, due, test.due, test.name)
	}
	for _, live := range []int{9, 370} {
		due := jujubeentry.IsLoadReadDue(now, 500*time.Millisecond, time.Time{}, jujubecore.PolledEndpoint{}, 24, live)
		assert.Assert(t, due, "an endpoint that was never read, %d instances", live)
	}
}
