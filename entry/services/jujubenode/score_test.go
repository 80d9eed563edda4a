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
	}
	return s
}

// countRecords returns the number of records of a topic in both partitions.
func (c *testCluster) countRecords(topic string) int {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	return len(c.store.logs[topic+"/0"]) + len(c.store.logs[topic+"/1"])
}

// TestItemsAreScored checks that each text is listed with the signature from the response to its own scoring call, that the
// call sends the body submitted with the item, and that each text is written once, even if its score arrives much later.
func TestItemsAreScored(t *testing.T) {
	cluster := newTestCluster(t)
	bodies := make(chan byte, 100)
	cluster.engines.respond = func(_ context.Context, call jujubenode.Call) (jujubenode.Response, error) {
		bodies <- call.Body[0]
		waitFor(t, "the texts are on the log", func() bool { return cluster.countRecords("texts") == 1+10 })
		return jujubenode.Response{Status: 200, Stamp: "stamp of " + string(call.ID)}, nil
	}
	a, _, _ := cluster.start("a")
	b, _, _ := cluster.start("b")
	assert.NilError(t, a.Submit(t.Context(), route, newScoredSubmission("s1", 10)))
	for _, result := range readAll(t, b, "s1") {
		id := string(result.Item)
		assert.Equal(t, result.Score, "stamp of call-"+id)
		assert.Equal(t, result.Text, id+".1\n"+id+".2\n"+id+".3")
	}
	received := map[byte]bool{}
	for len(bodies) > 0 {
		received[<-bodies] = true
	}
	assert.Equal(t, len(received), 10)
	assert.Equal(t, cluster.countRecords("texts"), 1+10, "a chunk of contents and the texts")
}

// TestScoringOutlivesInstances checks that texts are scored without running their items again after all instances were
// lost during the scoring calls. This happens if all machines lose power while the texts of a step are scored.
func TestScoringOutlivesInstances(t *testing.T) {
	cluster := newTestCluster(t)
	var available atomic.Bool
	cluster.engines.respond = func(ctx context.Context, call jujubenode.Call) (jujubenode.Response, error) {
		if available.Load() {
			return jujubenode.Response{Status: 200, Stamp: "stamp of " + string(call.ID)}, nil
		}
		<-ctx.Done()
		return jujubenode.Response{}, jujubenode.ErrCall{Ran: model.RanUnknown, Reason: "no answer"}
	}
	a, _, stopA := cluster.start("a")
	_, _, stopB := cluster.start("b")
	assert.NilError(t, a.Submit(t.Context(), route, newScoredSubmission("s1", 6)))
	waitFor(t, "the texts are on the log", func() bool { return cluster.countRecords("texts") == 1+6 && cluster.countRecords("submissions") == 1+6 })
	stopA()
	stopB()
	available.Store(true)
	c, _, _ := cluster.start("c")
	for _, result := range readAll(t, c, "s1") {
		id := string(result.Item)
		assert.Equal(t, result.Score, "stamp of call-"+id)
		assert.Equal(t, result.Text, id+".1\n"+id+".2\n"+id+".3")
		assert.Equal(t, cluster.engines.count(result.Item), 1)
	}
}

// TestHandedOverScoreKeepsItsText checks that a handed-over result is listed with its own text, not with the text that
// the accepting instance has written for the same item. This happens if two instances finish an item and one of them
// leaves while the store is unavailable.
func TestHandedOverScoreKeepsItsText(t *testing.T) {
	cluster := newTestCluster(t)
	cluster.engines.respond = func(ctx context.Context, _ jujubenode.Call) (jujubenode.Response, error) {
		<-ctx.Done()
		return jujubenode.Response{}, jujubenode.ErrCall{Ran: model.RanUnknown, Reason: "no answer"}
	}
	a, _, _ := cluster.start("a")
	assert.NilError(t, a.Submit(t.Context(), route, newScoredSubmission("s1", 1)))
	waitFor(t, "the text of this instance is on the log", func() bool { return cluster.countRecords("submissions") == 2 })
	handedOver := jujubebatch.Entry{Result: &jujubebatch.Result{
		Submission: "s1", Item: "s1-0", State: jujubebatch.Completed, Text: "another text", Score: "its score", By: "z",
		Versions: []model.WeightVersion{1},
	}}
	pool := jujubepeer.NewPool(nil)
	args := jujubenode.HandOverArgs{Entries: []jujubebatch.Entry{handedOver}}
	assert.NilError(t, pool.Call(t.Context(), cluster.addresses["a"], "Relay.HandOver", args, &jujubenode.Empty{}))
	result := readAll(t, a, "s1")[0]
	assert.Equal(t, result.Score, "its score")
	assert.Equal(t, result.Text, "another text")
}
