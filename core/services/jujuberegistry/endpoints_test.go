package jujuberegistry_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubepier.example/core/services/jujuberegistry"
)

// TestLeavingNoticeIsForOneIncarnation guards against a leaving notice that is lost when an entry of the same incarnation is
// written again, and against one that is applied to the next incarnation.
func TestLeavingNoticeIsForOneIncarnation(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	s := jujuberegistry.NewEndpointTracker(jujuberegistry.DefaultSettings())
	s.Put("e")
	assert.Assert(t, !s.IsLeaving("e", 1))
	assert.Assert(t, s.MarkLeaving(now, "e", 1))
	assert.Assert(t, !s.MarkLeaving(now, "e", 1), "already known")
	s.Put("e")
	assert.Assert(t, s.IsLeaving("e", 1))
	assert.Assert(t, !s.IsLeaving("e", 2))
	s.Remove(now, "e")
	s.ExpireRemovals(now)
	s.Put("e")
	assert.Assert(t, s.IsLeaving("e", 1), "the entry expired and was written again")
	assert.Assert(t, s.MarkLeaving(now, "e", 2))
	assert.Assert(t, !s.MarkLeaving(now, "e", 1), "a late response of the previous incarnation")
	assert.Assert(t, s.IsLeaving("e", 2))
	s.ExpireRemovals(now.Add(time.Hour))
	assert.Assert(t, !s.IsLeaving("e", 2), "the notice has expired")
}
