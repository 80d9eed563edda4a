// Package jujubetable provides the table that the decision packages keep their entities in.
package jujubetable

import (
	"cmp"
	"slices"
)

// Table maps keys to rows and iterates in key order, so that decisions don't depend on map order.
type Table[K cmp.Ordered, V any] struct {
	rows map[K]V
	// keys is sorted and holds the keys of rows, each once.
	keys []K
}

// New returns an empty table.
func New[K cmp.Ordered, V any]() *Table[K, V] {
	return &Table[K, V]{rows: make(map[K]V)}
}

// Get returns the row of a key.
func (t *Table[K, V]) Get(key K) (V, bool) {
	row, ok := t.rows[key]
	return row, ok
}

// Put sets the row of a key.
func (t *Table[K, V]) Put(key K, row V) {
	if _, ok := t.rows[key]; !ok {
		at, _ := slices.BinarySearch(t.keys, key)
		t.keys = slices.Insert(t.keys, at, key)
	}
	t.rows[key] = row
}

// Delete removes a key and tells whether it was there.
func (t *Table[K, V]) Delete(key K) bool {
	if _, ok := t.rows[key]; !ok {
		return false
	}
	delete(t.rows, key)
	at, _ := slices.BinarySearch(t.keys, key)
	t.keys = slices.Delete(t.keys, at, at+1)
	return true
}

// Len returns the number of rows.
func (t *Table[K, V]) Len() int { return len(t.rows) }

// All iterates over a snapshot of the keys in order; rows deleted meanwhile are passed over.
func (t *Table[K, V]) All() func(yield func(K, V) bool) {
	return func(yield func(K, V) bool) {
		for _, key := range slices.Clone(t.keys) {
			row, ok := t.rows[key]
			if ok && !yield(key, row) {
				return
			}
		}
	}
}
