package jujubetable_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"jujubepier.example/core/models/jujubetable"
)

// TestAllVisitsKeysInOrder guards against an iteration in Go's random map order, on which decisions would depend, and against
// visiting a key that was deleted during the iteration.
func TestAllVisitsKeysInOrder(t *testing.T) {
	table := jujubetable.New[string, int]()
	for i, key := range []string{"c", "a", "d", "b"} {
		table.Put(key, i)
	}
	table.Delete("d")
	var visited []string
	for key := range table.All() {
		visited = append(visited, key)
		table.Delete("b")
	}
	assert.DeepEqual(t, visited, []string{"a", "c"})
	assert.Equal(t, table.Len(), 2)
}
