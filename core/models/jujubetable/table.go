// Package jujubetable provides the ordered map that the decision packages store their entities in.
package jujubetable

import (
	"cmp"
	"slices"
)

// Table is a map that iterates in key order, so that decisions don't depend on Go's random map order.
type Table[K cmp.Ordered, V any] struct {
	values map[K]V
	// keys holds each key of values once, sorted.
	keys []K
	// isIterated is true if an iteration may still use keys; a change replaces them then.
	isIterated bool
}

// New returns an empty table.
func New[K cmp.Ordered, V any]() *Table[K, V] {
	return &Table[K, V]{values: make(map[K]V)}
}

// Get returns the value of a key and whether the key exists.
func (t *Table[K, V]) Get(key K) (V, bool) {
	value, ok := t.values[key]
	return value, ok
}

// Put sets the value of a key.
func (t *Table[K, V]) Put(key K, value V) {
	if _, ok := t.values[key]; !ok {
		t.ownKeys()
		index, _ := slices.BinarySearch(t.keys, key)
		t.keys = slices.Insert(t.keys, index, key)
	}
	t.values[key] = value
}

// Delete removes a key and reports whether it existed.
func (t *Table[K, V]) Delete(key K) bool {
	if _, ok := t.values[key]; !ok {
		return false
	}
	delete(t.values, key)
	t.ownKeys()
	index, _ := slices.BinarySearch(t.keys, key)
	t.keys = slices.Delete(t.keys, index, index+1)
	return true
}

// ownKeys makes keys a slice that no iteration uses.
func (t *Table[K, V]) ownKeys() {
	if t.isIterated {
		t.keys, t.isIterated = slices.Clone(t.keys), false
	}
}

// Len returns the number of keys.
func (t *Table[K, V]) Len() int { return len(t.values) }

// All iterates over a snapshot of the keys in order and skips keys that were deleted during the iteration.
func (t *Table[K, V]) All() func(yield func(K, V) bool) {
	return func(yield func(K, V) bool) {
		t.isIterated = true
		for _, key := range t.keys {
			value, ok := t.values[key]
			if ok && !yield(key, value) {
				return
			}
		}
	}
}
