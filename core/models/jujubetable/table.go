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
	// ordered holds the values in the order of their keys.
	ordered []V
	// changes counts the changes, so that an iteration notices those made meanwhile.
	changes int
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
	index, ok := slices.BinarySearch(t.keys, key)
	if ok {
		t.ordered[index] = value
	} else {
		t.ownKeys()
		t.keys, t.ordered = slices.Insert(t.keys, index, key), slices.Insert(t.ordered, index, value)
	}
	t.values[key] = value
	t.changes++
}

// Delete removes a key and reports whether it existed.
func (t *Table[K, V]) Delete(key K) bool {
	if _, ok := t.values[key]; !ok {
		return false
	}
	delete(t.values, key)
	t.ownKeys()
	index, _ := slices.BinarySearch(t.keys, key)
	t.keys, t.ordered = slices.Delete(t.keys, index, index+1), slices.Delete(t.ordered, index, index+1)
	t.changes++
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
	var zero V
	return func(yield func(K, V) bool) {
		t.isIterated = true
		ordered, changes := t.ordered, t.changes
		for i, key := range t.keys {
			value, ok := zero, true
			if t.changes == changes {
				value = ordered[i]
			} else {
				value, ok = t.values[key]
			}
			if ok && !yield(key, value) {
				return
			}
		}
	}
}
