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

func foldAll(log *stream) *jujubeconfig.Fold {
	fold := jujubeconfig.NewFold()
	fold.ApplyRead(log.read(0, len(log.records)))
	return fold
}

// Guards against a repeated append that changes the first outcome, and against a malformed record that stops readers.
func TestApplyOutcomes(t *testing.T) {
	log := newStream()
	log.append(change("a", 0))
	log.append(change("b", 0))
	log.append(change("b", 1))
	log.append(model.ConfigRecord{})
	log.append(change("c", 1))
	log.append(change("a", 0))
	fold := jujubeconfig.NewFold()
	var effects []jujubeconfig.Effect
	for _, outcome := range fold.ApplyRead(log.read(0, 10)) {
		effects = append(effects, outcome.Effect)
	}
	assert.DeepEqual(t, effects, []jujubeconfig.Effect{
		jujubeconfig.EffectAccepted, jujubeconfig.EffectRefused, jujubeconfig.EffectRepeated, jujubeconfig.EffectMalformed,
		jujubeconfig.EffectAccepted, jujubeconfig.EffectRepeated,
	})
	assert.Equal(t, fold.State().Revision, int64(2))
	assert.Equal(t, fold.State().Through, int64(5))
}

// Guards against a caller that leaves out retained records unnoticed, which would let a refused change be accepted.
func TestApplyRefusesGap(t *testing.T) {
	log := newStream()
	log.append(change("a", 0))
	log.append(change("b", 1))
	fold := jujubeconfig.NewFold()
	_, err := fold.Apply(log.records[1], 0)
	assert.Equal(t, err, jujubeconfig.ErrGap{Next: 0, Offset: 1})
	assert.Equal(t, fold.Next(), int64(0))
}

// Guards against a reader that resolves changes on a checkpoint although records between the two have expired.
func TestCheckpointNeedsRetainedRecords(t *testing.T) {
	log := newStream()
	log.append(change("a", 0))
	stale, _ := foldAll(log).Checkpoint(log.now.Add(time.Hour))
	log.append(change("b", 1))
	log.append(stale) // its append was delayed until after "b"
	for first, known := range map[int64]bool{0: true, 1: true, 2: false} {
		log.first = first
		fold := foldAll(log)
		assert.Equal(t, fold.State().Known, known, "first %d", first)
		fold.ApplyRead(log.read(fold.Next(), 10))
		assert.Equal(t, fold.State().Revision, map[bool]int64{true: 2, false: 0}[known], "first %d", first)
	}
}

// Guards against an unbounded history, which would make checkpoints grow past the log's record limit.
func TestHistoryIsBounded(t *testing.T) {
	log := newStream()
	for i := range 300 {
		log.append(change(fmt.Sprint(i), int64(i)))
	}
	state := foldAll(log).State()
	assert.Equal(t, len(state.History), jujubeconfig.HistoryLength)
	assert.Equal(t, state.History[0].ID, "44")
	assert.Equal(t, state.Revision, int64(300))
}

// Guards against checkpoints that are missing when records expire, and against a flood of them while one is under way.
func TestCheckpointIsDue(t *testing.T) {
	log := newStream()
	log.append(change("a", 0))
	fold := foldAll(log)
	due := func(after time.Duration) bool {
		_, ok := fold.Checkpoint(log.now.Add(after))
		return ok
	}
	assert.Assert(t, !due(jujubeconfig.CheckpointInterval-time.Second))
	assert.Assert(t, due(jujubeconfig.CheckpointInterval))
	assert.Assert(t, !due(jujubeconfig.CheckpointInterval+time.Second))
	assert.Assert(t, due(jujubeconfig.CheckpointInterval+jujubeconfig.CheckpointRetry))
	for i := range jujubeconfig.CheckpointRecords - 2 {
		log.append(change(fmt.Sprint(i), 0))
	}
	fold = foldAll(log)
	assert.Assert(t, !due(0))
	log.append(change("last", 0))
	fold = foldAll(log)
	checkpoint, ok := fold.Checkpoint(log.now)
	assert.Assert(t, ok)
	log.append(checkpoint)
	fold.ApplyRead(log.read(fold.Next(), 10))
	assert.Assert(t, !due(jujubeconfig.CheckpointInterval-time.Second))
	assert.Assert(t, due(jujubeconfig.CheckpointInterval))
}

func BenchmarkFold(b *testing.B) {
	log := newStream()
	for i := range 1000 {
		record := change(fmt.Sprint(i), int64(i))
		record.Change.Document = strings.Repeat("Models:\n", 500)
		log.append(record)
	}
	b.ReportAllocs()
	for b.Loop() {
		foldAll(log)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/1000, "ns/record")
}
