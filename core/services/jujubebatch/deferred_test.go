package jujubebatch_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubepier.example/core/services/jujubebatch"
)

// TestDeferredSubmission guards against a submission whose items don't run because the instance that accepted it has run out of memory for it,
// and against one that isn't kept once there is memory.
func TestDeferredSubmission(t *testing.T) {
	submission := newSubmission("s", 6, "a")
	acceptor, other := newTestScheduler(t, 2), newTestScheduler(t, 2)
	other.Scheduler = jujubebatch.New("b", jujubebatch.DefaultSettings())
	other.SetDesired(testDesired())
	for i := range 2 {
		other.putEngine(i, 1, 1)
	}
	acceptor.SetMemoryLimit(submission.MemoryBytes() - 1)
	assert.Assert(t, !acceptor.HasMemory(submission, 0))
	assert.Assert(t, acceptor.Defer(acceptor.now, submission, 7))
	assert.Assert(t, acceptor.IsDeferred("s") && !acceptor.Defer(acceptor.now, submission, 9), "a second record has no effect")
	known, _ := acceptor.SubmissionStatus("s")
	assert.Assert(t, !known && acceptor.HeldBytes() == 0)
	origin, ok := acceptor.Origin("s")
	assert.Assert(t, ok && origin.Host == submission.Host, "its key is checked all the same")
	assert.Assert(t, !acceptor.AcceptOffer(acceptor.now, jujubebatch.Offer{Submission: "s", Item: submission.Items[0].ID, Engine: "e0"}))

	deferredAt := acceptor.now
	acceptor.now = acceptor.now.Add(time.Minute)
	acceptor.SetMemoryLimit(0)
	acceptor.accept(newSubmission("later", 1, "b"))
	oldest, _ := acceptor.OldestRetained()
	assert.Assert(t, oldest.Equal(deferredAt), "the log must keep its records and contents for the others")

	live := members("a", "b")
	other.SetLiveMembers(live)
	other.accept(submission)
	assert.Equal(t, len(tick[jujubebatch.StartRun](other))+len(tick[jujubebatch.OfferItems](other)), 0, "the acceptor runs its items")
	live[0].Deferred, live[0].Ready = acceptor.Deferred(), false
	other.SetLiveMembers(live)
	assert.Equal(t, len(tick[jujubebatch.StartRun](other)), 6)

	acceptor.SetMemoryLimit(submission.MemoryBytes())
	_, _, ok = acceptor.NextDeferred(0)
	assert.Assert(t, !ok)
	acceptor.SetMemoryLimit(submission.MemoryBytes() + acceptor.HeldBytes())
	id, offset, ok := acceptor.NextDeferred(0)
	assert.Assert(t, ok && id == "s" && offset == 7)
	acceptor.Undefer(id)
	acceptor.accept(submission)
	assert.Equal(t, len(tick[jujubebatch.StartRun](acceptor)), 7, "with that of the later one, whose acceptor is gone")
	assert.Equal(t, acceptor.HeldBytes(), submission.MemoryBytes()+newSubmission("later", 1, "b").MemoryBytes())
}
