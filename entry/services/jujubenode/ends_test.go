package jujubenode_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestUnansweredEnd guards against items that start, on any instance, long after a caller has ended their submission and got no response:
// the end counts as acknowledged after a while although the log doesn't have it. And against submissions that wait forever, as
// the instance with their end is lost.
func TestUnansweredEnd(t *testing.T) {
	const second = time.Second
	hang := fault{Kind: appendsHang, From: 5 * second, To: 20 * second}
	for name, c := range map[string]struct {
		faults   []fault
		patience time.Duration
		items    int
		by       int
	}{
		"the acceptor has it":    {[]fault{hang}, unansweredEndTime, 400, 0},
		"appends hang":           {[]fault{hang}, unansweredEndTime, 400, 1},
		"another one is down":    {[]fault{hang, {Kind: down, Machine: "i2", From: 8 * second, To: 12 * second}}, unansweredEndTime, 400, 1},
		"the caller disconnects": {[]fault{{Kind: appendsHang, From: 5 * second, To: 7 * second}}, second / 5, 400, 1},
		"refused after that":     {[]fault{{Kind: appendsHang, From: 5 * second, To: 6500 * time.Millisecond}, {Kind: storeRefuses, From: 6300 * time.Millisecond, To: 7 * second}}, second / 5, 400, 0},
		"responses are lost":     {[]fault{{Kind: appendsSilent, From: 5 * second, To: 20 * second}}, unansweredEndTime, 400, 1},
		"the end is lost":        {[]fault{hang, {Kind: down, Machine: "i0", From: 9 * second, To: 22 * second}}, second, 120, 1},
	} {
		t.Run(name, func(t *testing.T) {
			ended := plannedSubmission{ID: "s", At: 3 * second, EndAt: 6 * second, By: c.by, Items: c.items, Patience: c.patience}
			var violations []string
			synctest.Test(t, func(t *testing.T) {
				violations = newEndsRun(t, endsCase{Machines: 3, DirectReaders: 3, Faults: c.faults, Submissions: []plannedSubmission{ended}}).run()
			})
			assert.Equal(t, len(violations), 0, "the first ones: %q", violations[:min(3, len(violations))])
		})
	}
}
