package jujubenode_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	model "jujubepier.example/core/models/jujubemodel"
)

// TestPartOfTheStoreIsAway guards against an instance that takes the store for away for all, because others don't reach it either, while
// one that does, or that knows more of the log, has acknowledged the end of a submission; and against instances that wait while nobody
// can have acknowledged one.
func TestPartOfTheStoreIsAway(t *testing.T) {
	const from, to = 4500 * time.Millisecond, 17 * time.Second
	// on returns a fault of each of the machines from the first one on.
	on := func(kind faultKind, first, machines int) (faults []fault) {
		for i := first; i < machines; i++ {
			faults = append(faults, fault{Machine: model.InstanceID(fmt.Sprint("i", i)), Kind: kind, From: from, To: to})
		}
		return faults
	}
	for name, c := range map[string]struct {
		machines int
		faults   []fault
		// endAt is when endBy, by its number, ends the submission of i1; zero for never.
		endAt time.Duration
		endBy int
		// startsUntil is the time until which items have to start at least every two seconds; zero for none.
		startsUntil time.Duration
	}{
		"one reaches the store, and is cut off from the others": {5, append(on(storeRefuses, 1, 5), on(peersCut, 0, 1)...), 8 * time.Second, 0, 0},
		"the others hang":                           {5, append(on(storeHangs, 1, 5), on(peersCut, 0, 1)...), 12 * time.Second, 0, 0},
		"one of many reaches the store":             {32, append(on(storeHangs, 1, 16), on(storeRefuses, 16, 32)...), 7 * time.Second, 0, 0},
		"one can append but not read":               {3, append(on(storeRefuses, 1, 3), on(readsRefused, 0, 1)...), 8 * time.Second, 0, 0},
		"all but one had read the end":              {5, append(on(storeHangs, 1, 2), fault{Kind: storeRefuses, From: 5200 * time.Millisecond, To: to}), 5 * time.Second, 0, 0},
		"links of the collector refuse connections": {5, slices.Concat(on(storeRefuses, 0, 4), on(peersCut, 4, 5), []fault{{Machine: "i0", Kind: dialsRefused, To: to}}), 8 * time.Second, 4, 0},
		"all but one had read more":                 {5, append(on(storeHangs, 1, 2), fault{Kind: storeRefuses, From: 5200 * time.Millisecond, To: to}), 0, 0, to},
		"no one reaches the store":                  {5, on(storeRefuses, 0, 5), 0, 0, to},
		"no one, and an instance has failed":        {5, append(on(storeRefuses, 0, 5), fault{Machine: "i0", Kind: down, From: from + time.Second, To: to}), 0, 0, to},
		"no one, and an instance restarts":          {5, append(on(storeRefuses, 0, 5), fault{Machine: "i0", Kind: down, From: from + time.Second, To: from + 4*time.Second}), 0, 0, to},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				end := c.endAt
				if end == 0 {
					end = to + time.Second
				}
				r := newEndsRun(t, endsCase{
					Machines: c.machines, DirectReaders: 32, Faults: c.faults,
					Submissions: []plannedSubmission{{ID: "s", At: 3 * time.Second, By: 1, Items: 1500, EndAt: end, EndBy: c.endBy}},
				})
				r.cluster.extraEngines = 2 * c.machines // i1 is the gateway of some
				violations := r.run()
				assert.Check(t, len(violations) == 0, "%d violations, the first ones: %q", len(violations), violations[:min(3, len(violations))])
				for at := from; at < c.startsUntil; at += 2 * time.Second {
					assert.Check(t, slices.ContainsFunc(r.cluster.wired.arrivals, func(a arrival) bool {
						after := a.at.Sub(r.cluster.network.start) - at
						return a.submission == "s" && 0 <= after && after < 2*time.Second
					}), "no item started from %s on", at)
				}
			})
		})
	}
}
