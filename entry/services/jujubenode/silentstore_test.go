package jujubenode_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestTextsBesideASilentStore guards against an instance that refuses to return results while the store doesn't respond to it, although other
// instances could read the texts for it.
func TestTextsBesideASilentStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const silentFrom, silentTo = 8 * time.Second, 20 * time.Second
		r := newEndsRun(t, endsCase{Machines: 3, DirectReaders: 3, Faults: []fault{{Machine: "i0", Kind: storeHangs, From: silentFrom, To: silentTo}}})
		defer r.cluster.network.close()
		for i := range r.Machines {
			r.start(i)
			defer r.stop(i)
		}
		r.sleepUntil(3 * time.Second)
		assert.NilError(t, r.node(1).Submit(t.Context(), route, newSubmission("s", 3)))
		readAll(t, r.node(1), "s")
		r.sleepUntil(silentFrom + time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		page, err := r.node(0).ReadResults(ctx, "s", 0, 0)
		assert.NilError(t, err)
		assert.Equal(t, len(page.Results), 3)
	})
}
