package jujubeusage_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubeusage"
)

// TestFirstRecordCounts guards against a report whose content changes when a second holder fixes the same window.
func TestFirstRecordCounts(t *testing.T) {
	l := jujubeusage.NewLedger(settings)
	at := time.Unix(1_800_000_000, 0)
	window := jujubeusage.Window(at.Unix()/5 - 1)
	for count := range int64(2) {
		l.ApplyRecord(jujubeusage.Record{Fixed: &jujubeusage.Report{Window: window, Counts: jujubeusage.Counts{"o": count + 1}}})
	}
	report, ok := l.NextReport(jujubeusage.Now{True: at, Local: at})
	assert.Assert(t, ok)
	assert.DeepEqual(t, report, jujubeusage.Report{Window: window, Counts: jujubeusage.Counts{"o": 1}})
}

// TestLastStatementIsWaitedFor guards against a report that is fixed when the removal of a leaving instance's heartbeat has been read,
// but its last statement, on another topic, hasn't.
func TestLastStatementIsWaitedFor(t *testing.T) {
	l := jujubeusage.NewLedger(settings)
	start := time.Unix(1_800_000_000, 0)
	window := jujubeusage.Window(start.Unix() / 5)
	state := func(id model.InstanceID, number int64, final jujubeusage.Window, counts jujubeusage.Counts) jujubeusage.Statement {
		return jujubeusage.Statement{Instance: id, Incarnation: 1, Number: number, Note: jujubeusage.Note{
			First: window, Final: final, Windows: []jujubeusage.WindowCounts{{Window: window, Counts: counts}},
		}}
	}
	l.ApplyStatement(state("leaving", 1, window-1, jujubeusage.Counts{"o": 1}))
	l.ApplyStatement(state("a", 1, window, jujubeusage.Counts{"o": 1}))
	for at := start.Add(-10 * time.Second); !at.After(start.Add(5 * time.Second)); at = at.Add(time.Second) {
		l.ObserveOwn(at)
	}
	now := start.Add(5 * time.Second)
	l.ObserveRemoved(now, "leaving")
	live := []model.InstanceID{"a"}
	assert.Equal(t, len(l.Plan(jujubeusage.Now{True: now, Local: now}, live)), 0)
	last := state("leaving", 2, window-1, jujubeusage.Counts{"o": 2})
	l.ApplyRecord(jujubeusage.Record{Left: &last})
	records := l.Plan(jujubeusage.Now{True: now, Local: now}, live)
	assert.Equal(t, len(records), 1)
	assert.DeepEqual(t, *records[0].Fixed, jujubeusage.Report{Window: window, Counts: jujubeusage.Counts{"o": 3}})
}
