package jujuberegistry_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubepier.example/core/services/jujuberegistry"
)

// TestDepartureIsOfOneIncarnation keeps what an endpoint said of its leaving through entries that say otherwise, and not for
// the next incarnation.
func TestDepartureIsOfOneIncarnation(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	s := jujuberegistry.NewServers(jujuberegistry.DefaultSettings())
	s.Put("e")
	assert.Assert(t, !s.IsLeaving("e", 1))
	assert.Assert(t, s.Leave(now, "e", 1))
	assert.Assert(t, !s.Leave(now, "e", 1), "known already")
	s.Put("e")
	assert.Assert(t, s.IsLeaving("e", 1))
	assert.Assert(t, !s.IsLeaving("e", 2))
	s.Remove(now, "e")
	s.Due(now)
	s.Put("e")
	assert.Assert(t, s.IsLeaving("e", 1), "the entry lapsed and came back")
	assert.Assert(t, s.Leave(now, "e", 2))
	assert.Assert(t, !s.Leave(now, "e", 1), "a late answer of the one before")
	assert.Assert(t, s.IsLeaving("e", 2))
	s.Due(now.Add(time.Hour))
	assert.Assert(t, !s.IsLeaving("e", 2), "forgotten")
}
