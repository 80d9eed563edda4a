package jujubeconfig_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubeconfig"
)

func change(id string, base int64) model.ConfigRecord {
	return model.ConfigRecord{Change: &model.ConfigChange{ID: id, Base: base, Document: "document " + id}}
}

func applyAll(log *fakeLog) *jujubeconfig.Reducer {
	reducer := jujubeconfig.NewReducer()
	reducer.ApplyRead(log.read(0, len(log.records)))
	return reducer
}

// TestApplyOutcomes guards against a repeated append that changes the first outcome, and against a malformed record that
// blocks readers.
func TestApplyOutcomes(t *testing.T) {
	log := newFakeLog()
	log.append(change("a", 0))
	log.append(change("b", 0))
	log.append(change("b", 1))
	log.append(model.ConfigRecord{})
	log.append(change("c", 1))
	log.append(change("a", 0))
	reducer := jujubeconfig.NewReducer()
	var effects []jujubeconfig.Effect
	for _, outcome := range reducer.ApplyRead(log.read(0, 10)) {
		effects = append(effects, outcome.Effect)
	}
	assert.DeepEqual(t, effects, []jujubeconfig.Effect{
		jujubeconfig.EffectAccepted, jujubeconfig.EffectRefused, jujubeconfig.EffectRepeated, jujubeconfig.EffectMalformed,
		jujubeconfig.EffectAccepted, jujubeconfig.EffectRepeated,
	})
	assert.Equal(t, reducer.State().Revision, int64(2))
	assert.Equal(t, reducer.State().Through, int64(5))
}

// TestApplyRefusesGap guards against a caller that skips retained records without an error: a change that must be
// refused would be accepted.
func TestApplyRefusesGap(t *testing.T) {
	log := newFakeLog()
	log.append(change("a", 0))
	log.append(change("b", 1))
	reducer := jujubeconfig.NewReducer()
	_, err := reducer.Apply(log.records[1], 0)
	assert.Equal(t, err, jujubeconfig.ErrGap{Next: 0, Offset: 1})
	assert.Equal(t, reducer.NextOffset(), int64(0))
}

// TestCheckpointNeedsRetainedRecords guards against a reader that resolves changes on the state of a checkpoint although
// records between the checkpoint's state and the oldest retained record have expired.
func TestCheckpointNeedsRetainedRecords(t *testing.T) {
	log := newFakeLog()
	log.append(change("a", 0))
	stale, _ := applyAll(log).Checkpoint(log.now.Add(time.Hour))
	log.append(change("b", 1))
	log.append(stale) // its append was delayed until after "b"
	for first, known := range map[int64]bool{0: true, 1: true, 2: false} {
		log.first = first
		reducer := applyAll(log)
		assert.Equal(t, reducer.State().Known, known, "first %d", first)
		reducer.ApplyRead(log.read(reducer.NextOffset(), 10))
		assert.Equal(t, reducer.State().Revision, map[bool]int64{true: 2, false: 0}[known], "first %d", first)
	}
}

// TestHistoryIsBounded guards against an unbounded history, with which checkpoints would exceed the log's record size
// limit.
func TestHistoryIsBounded(t *testing.T) {
	log := newFakeLog()
	for i := range 300 {
		log.append(change(fmt.Sprint(i), int64(i)))
	}
	state := applyAll(log).State()
	assert.Equal(t, len(state.History), jujubeconfig.HistoryLength)
	assert.Equal(t, state.History[0].ID, "44")
	assert.Equal(t, state.Revision, int64(300))
}

// TestCheckpointIsDue guards against checkpoints that come too late, after records have expired, and against repeated
// checkpoints while an append is in progress.
func TestCheckpointIsDue(t *testing.T) {
	log := newFakeLog()
	log.append(change("a", 0))
	reducer := applyAll(log)
	due := func(after time.Duration) bool {
		_, ok := reducer.Checkpoint(log.now.Add(after))
		return ok
	}
	assert.Assert(t, !due(jujubeconfig.CheckpointInterval-time.Second))
	assert.Assert(t, due(jujubeconfig.CheckpointInterval))
	assert.Assert(t, !due(jujubeconfig.CheckpointInterval+time.Second))
	assert.Assert(t, due(jujubeconfig.CheckpointInterval+jujubeconfig.CheckpointRetry))
	for i := range jujubeconfig.CheckpointRecords - 2 {
		log.append(change(fmt.Sprint(i), 0))
	}
	reducer = applyAll(log)
	assert.Assert(t, !due(0))
	log.append(change("last", 0))
	reducer = applyAll(log)
	checkpoint, ok := reducer.Checkpoint(log.now)
	assert.Assert(t, ok)
	log.append(checkpoint)
	reducer.ApplyRead(log.read(reducer.NextOffset(), 10))
	assert.Assert(t, !due(jujubeconfig.CheckpointInterval-time.Second))
	assert.Assert(t, due(jujubeconfig.CheckpointInterval))
}

// BenchmarkReducer measures the time per record for 1,000 changes of 4 KB documents.
func BenchmarkReducer(b *testing.B) {
	log := newFakeLog()
	for i := range 1000 {
		record := change(fmt.Sprint(i), int64(i))
		record.Change.Document = strings.Repeat("Models:\n", 500)
		log.append(record)
	}
	b.ReportAllocs()
	for b.Loop() {
		applyAll(log)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/1000, "ns/record")
}
