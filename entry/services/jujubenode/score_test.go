package jujubenode_test

import (
	"context"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubebatch"
	"jujubepier.example/entry/modules/jujubepeer"
	"jujubepier.example/entry/services/jujubenode"
)

func newScoredSubmission(id string, items int) *jujubebatch.Submission {
	s := newSubmission(id, items)
	for i := range s.Items {
		s.Items[i].Scoring = &jujubebatch.ScoringCall{ID: model.RequestID("call-" + s.Items[i].ID), Host: "h", Path: "/score/x"}
		s.Items[i].Content.ScoringBody = []byte{byte(100 + i)}
	}
	return s
}

// countRecords counts the records of a topic in all partitions.
func (s *site) countRecords(topic string) int {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	return len(s.store.logs[topic+"/0"]) + len(s.store.logs[topic+"/1"])
}

// TestItemsAreScored lists each text with the stamp of its own scoring call, which has the body that came with the item,
// and writes each text once, also when its score comes long after it.
func TestItemsAreScored(t *testing.T) {
	s := newSite(t)
	bodies := make(chan byte, 100)
	s.engines.answer = func(_ context.Context, call jujubenode.Call) (jujubenode.Answer, error) {
		bodies <- call.Body[0]
		wait(t, "the texts are on the log", func() bool { return s.countRecords("texts") == 1+10 })
		return jujubenode.Answer{Status: 200, Stamp: "stamp of " + string(call.ID)}, nil
	}
	a, _, _ := s.start("a")
	b, _, _ := s.start("b")
	assert.NilError(t, a.Submit(t.Context(), route, newScoredSubmission("s1", 10)))
	for _, result := range readAll(t, b, "s1") {
		id := string(result.Item)
		assert.Equal(t, result.Score, "stamp of call-"+id)
		assert.Equal(t, result.Text, id+".1\n"+id+".2\n"+id+".3")
	}
	seen := map[byte]bool{}
	for len(bodies) > 0 {
		seen[<-bodies] = true
	}
	assert.Equal(t, len(seen), 10)
	assert.Equal(t, s.countRecords("texts"), 1+10, "a chunk of contents and the texts")
}

// TestScoringOutlivesInstances scores texts whose instances are all lost during their calls, without running an item again.
// Load pattern: all machines lose power while the texts of a step are scored.
func TestScoringOutlivesInstances(t *testing.T) {
	s := newSite(t)
	var up atomic.Bool
	s.engines.answer = func(ctx context.Context, call jujubenode.Call) (jujubenode.Answer, error) {
		if up.Load() {
			return jujubenode.Answer{Status: 200, Stamp: "stamp of " + string(call.ID)}, nil
		}
		<-ctx.Done()
		return jujubenode.Answer{}, jujubenode.ErrCall{Ran: model.RanUnknown, Reason: "no answer"}
	}
	a, _, stopA := s.start("a")
	_, _, stopB := s.start("b")
	assert.NilError(t, a.Submit(t.Context(), route, newScoredSubmission("s1", 6)))
	wait(t, "the texts are on the log", func() bool { return s.countRecords("texts") == 1+6 && s.countRecords("submissions") == 1+6 })
	stopA()
	stopB()
	up.Store(true)
	c, _, _ := s.start("c")
	for _, result := range readAll(t, c, "s1") {
		id := string(result.Item)
		assert.Equal(t, result.Score, "stamp of call-"+id)
		assert.Equal(t, result.Text, id+".1\n"+id+".2\n"+id+".3")
		assert.Equal(t, s.engines.count(result.Item), 1)
	}
}

// TestHandedOverScoreKeepsItsText lists the text that an instance handed over with its score, and not the text that the one
// that took it over has written of the same item. Load pattern: two instances finish an item, and one of them leaves while
// the store is away.
func TestHandedOverScoreKeepsItsText(t *testing.T) {
	s := newSite(t)
	s.engines.answer = func(ctx context.Context, _ jujubenode.Call) (jujubenode.Answer, error) {
		<-ctx.Done()
		return jujubenode.Answer{}, jujubenode.ErrCall{Ran: model.RanUnknown, Reason: "no answer"}
	}
	a, _, _ := s.start("a")
	assert.NilError(t, a.Submit(t.Context(), route, newScoredSubmission("s1", 1)))
	wait(t, "the own text is on the log", func() bool { return s.countRecords("submissions") == 2 })
	other := jujubebatch.Entry{Result: &jujubebatch.Result{
		Submission: "s1", Item: "s1-0", State: jujubebatch.Completed, Text: "another text", Score: "its score", By: "z",
		Versions: []model.WeightVersion{1},
	}}
	pool := jujubepeer.NewPool()
	args := jujubenode.HandOverArgs{Entries: []jujubebatch.Entry{other}}
	assert.NilError(t, pool.Call(t.Context(), s.addresses["a"], "Relay.HandOver", args, &jujubenode.Empty{}))
	result := readAll(t, a, "s1")[0]
	assert.Equal(t, result.Score, "its score")
	assert.Equal(t, result.Text, "another text")
}
