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

// TestValuesChangedDuringIteration guards against an iteration that visits an earlier value of a key, or that of another key.
func TestValuesChangedDuringIteration(t *testing.T) {
	table := jujubetable.New[int, int]()
	for key := range 10 {
		table.Put(key, key)
	}
	visited := 0
	for key, value := range table.All() {
		if key == 3 {
			table.Delete(0)
			table.Put(-5, -5)
			table.Put(7, 70)
		}
		if key == 7 {
			assert.Equal(t, value, 70)
		} else {
			assert.Equal(t, value, key)
		}
		visited++
	}
	assert.Equal(t, visited, 10)
	for key, value := range table.All() {
		known, ok := table.Get(key)
		assert.Assert(t, ok && known == value)
	}
}

func BenchmarkAll(b *testing.B) {
	table := jujubetable.New[int, int]()
	for key := range 100 {
		table.Put(key, key)
	}
	b.ReportAllocs()
	for b.Loop() {
		sum := 0
		for _, value := range table.All() {
			sum += value
		}
		if sum != 99*100/2 {
			b.Fatal("a value is missing")
		}
	}
}
