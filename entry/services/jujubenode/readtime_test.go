package jujubenode_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubepier.example/entry/modules/jujubepeer"
	"jujubepier.example/entry/services/jujubenode"
)

// TestLateEmptyResponse guards against a view that counts as complete up to a time at which it lacks records: an empty response that the
// store made at once, and that arrives after the time for which it was asked to wait, looks like one that was held.
func TestLateEmptyResponse(t *testing.T) {
	topic := jujubenode.Topic{Name: "submissions"}
	for name, directReaders := range map[string]int{"own read": jujubenode.DefaultDirectReaders, "through a relay": 1} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cluster, _, stores := startWired(t, directReaders)
			if directReaders == 1 {
				waitForRelay(t, stores[1])
			}
			for _, store := range stores {
				store.delayEarlyResponses(500 * time.Millisecond)
			}
			pool := jujubepeer.NewPool(nil)
			defer pool.Close()
			var appendedAt time.Time
			offset := int64(-1)
			for deadline := time.Now().Add(6 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
				if time.Since(appendedAt) > 1300*time.Millisecond {
					var err error
					offset, err = cluster.store.Append(t.Context(), topic, 0, []jujubenode.Record{{Value: []byte("x")}}, jujubenode.NoCondition)
					assert.NilError(t, err)
					appendedAt = time.Now()
				}
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				askedAt := time.Now()
				var reply jujubenode.SharedReply
				err := pool.Call(ctx, cluster.addresses["i1"], "Relay.Shared", jujubenode.SharedArgs{Topic: topic, From: 1 << 40}, &reply)
				cancel()
				assert.NilError(t, err)
				completeUntil := askedAt.Add(-reply.Age)
				assert.Assert(t, reply.End > offset || !completeUntil.After(appendedAt), "%s after a record, the view counts as complete but lacks it", completeUntil.Sub(appendedAt))
			}
		})
	}
}
