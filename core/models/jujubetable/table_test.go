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

// TestChangesDuringIterations guards against an iteration that skips or repeats keys because the table is changed meanwhile, also by
// an iteration within it.
func TestChangesDuringIterations(t *testing.T) {
	table := jujubetable.New[int, int]()
	for key := range 20 {
		table.Put(10*key, key)
	}
	var outer []int
	for key := range table.All() {
		outer = append(outer, key)
		table.Put(key+1, 0) // isn't visited
		table.Delete(key - 10)
		inner := 0
		for range table.All() {
			table.Put(-1, 0)
			table.Delete(-1)
			inner++
		}
		assert.Equal(t, inner, table.Len())
	}
	assert.Equal(t, len(outer), 20)
	for i, key := range outer {
		assert.Equal(t, key, 10*i)
	}
	previous := -1
	for key := range table.All() {
		assert.Assert(t, key > previous)
		previous = key
	}
	assert.Equal(t, table.Len(), 21)
}

func BenchmarkAll(b *testing.B) {
	table := jujubetable.New[int, int]()
	for key := range 100 {
		table.Put(key, key)
	}
	b.ReportAllocs()
	for b.Loop() {
		for range table.All() {
		}
	}
}
