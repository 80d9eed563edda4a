package jujubetable_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"jujubepier.example/core/models/jujubetable"
)

// Guards against decisions that depend on map order, and against rows that are visited after their deletion.
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
