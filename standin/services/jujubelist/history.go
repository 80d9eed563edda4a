package jujubelist

import (
	"cmp"
	"time"

	"jujubepier.example/core/models/jujubetable"
)

// history keeps the states of rows far enough back to answer with the view of Lag ago.
type history[K cmp.Ordered, V comparable] struct {
	lag, ttl time.Duration
	rows     *jujubetable.Table[K, *versions[V]]
}

// versions are the states of one row.
type versions[V any] struct {
	// states are in the order of at; the last one is current.
	states []state[V]
	seen   time.Time
}

type state[V any] struct {
	at      time.Time
	row     V
	removed bool
}

func newHistory[K cmp.Ordered, V comparable](settings Settings) *history[K, V] {
	return &history[K, V]{lag: settings.Lag, ttl: settings.TTL, rows: jujubetable.New[K, *versions[V]]()}
}

// put registers a row or records its heartbeat.
func (h *history[K, V]) put(now time.Time, key K, row V) {
	h.change(now, key, row)
	if row, ok := h.rows.Get(key); ok {
		row.seen = now
	}
}

// change alters a row without counting as a heartbeat.
func (h *history[K, V]) change(now time.Time, key K, row V) {
	old, ok := h.current(now, key)
	if ok && old == row {
		return
	}
	h.record(now, key, state[V]{at: now, row: row})
}

func (h *history[K, V]) remove(now time.Time, key K) {
	if _, ok := h.current(now, key); ok {
		h.record(now, key, state[V]{at: now, removed: true})
	}
}

// current returns the row without lag.
func (h *history[K, V]) current(now time.Time, key K) (V, bool) {
	var none V
	row, ok := h.rows.Get(key)
	if !ok {
		return none, false
	}
	h.expire(now, row)
	last := row.states[len(row.states)-1]
	return last.row, !last.removed
}

// view returns the rows as they were Lag ago, in key order.
func (h *history[K, V]) view(now time.Time) []V {
	then := now.Add(-h.lag)
	rows := []V{}
	for key, row := range h.rows.All() {
		h.expire(now, row)
		h.prune(then, row)
		first := row.states[0]
		if first.removed && len(row.states) == 1 && !first.at.After(then) {
			h.rows.Delete(key)
			continue
		}
		if !first.removed && !first.at.After(then) {
			rows = append(rows, first.row)
		}
	}
	return rows
}

func (h *history[K, V]) record(now time.Time, key K, next state[V]) {
	row, ok := h.rows.Get(key)
	if !ok {
		row = &versions[V]{seen: now}
		h.rows.Put(key, row)
	}
	row.states = append(row.states, next)
	h.prune(now.Add(-h.lag), row)
}

// expire adds a removal at the time when the row's last heartbeat ran out.
func (h *history[K, V]) expire(now time.Time, row *versions[V]) {
	last := row.states[len(row.states)-1]
	if end := row.seen.Add(h.ttl); h.ttl > 0 && !last.removed && !now.Before(end) {
		if end.Before(last.at) {
			end = last.at
		}
		row.states = append(row.states, state[V]{at: end, removed: true})
	}
}

// prune drops the states that a later one had replaced by then.
func (h *history[K, V]) prune(then time.Time, row *versions[V]) {
	for len(row.states) > 1 && !row.states[1].at.After(then) {
		row.states = row.states[1:]
	}
}
