package jujubelist

import (
	"cmp"
	"time"

	"jujubepier.example/core/models/jujubetable"
)

// history keeps the current and past states of all registrations of one kind, far enough back to return the registrations as
// they were viewLag ago.
type history[K cmp.Ordered, V comparable] struct {
	viewLag, ttl time.Duration
	histories    *jujubetable.Table[K, *registrationHistory[V]]
}

// registrationHistory holds the states of one registration.
type registrationHistory[V any] struct {
	// states are sorted by since; the last one is the current state.
	states        []registrationState[V]
	lastHeartbeat time.Time
}

// registrationState is the value of a registration from a point in time on, or its removal.
type registrationState[V any] struct {
	since   time.Time
	value   V
	removed bool
}

func newHistory[K cmp.Ordered, V comparable](settings Settings) *history[K, V] {
	return &history[K, V]{viewLag: settings.Lag, ttl: settings.TTL, histories: jujubetable.New[K, *registrationHistory[V]]()}
}

// registerHeartbeat adds or updates a registration and records a heartbeat of it.
func (h *history[K, V]) registerHeartbeat(now time.Time, key K, value V) {
	h.updateWithoutHeartbeat(now, key, value)
	if r, ok := h.histories.Get(key); ok {
		r.lastHeartbeat = now
	}
}

// updateWithoutHeartbeat adds or updates a registration but doesn't record a heartbeat.
func (h *history[K, V]) updateWithoutHeartbeat(now time.Time, key K, value V) {
	old, ok := h.current(now, key)
	if ok && old == value {
		return
	}
	h.appendState(now, key, registrationState[V]{since: now, value: value})
}

// remove marks a registration as removed from now on; a later registration adds it again.
func (h *history[K, V]) remove(now time.Time, key K) {
	if _, ok := h.current(now, key); ok {
		h.appendState(now, key, registrationState[V]{since: now, removed: true})
	}
}

// current returns the present value of a registration, without the lag.
func (h *history[K, V]) current(now time.Time, key K) (V, bool) {
	var zero V
	r, ok := h.histories.Get(key)
	if !ok {
		return zero, false
	}
	h.expireRegistration(now, r)
	last := r.states[len(r.states)-1]
	return last.value, !last.removed
}

// laggedView returns the registrations as they were viewLag ago, in key order. It also drops states that are no longer needed.
func (h *history[K, V]) laggedView(now time.Time) []V {
	asOf := now.Add(-h.viewLag)
	values := []V{}
	for key, r := range h.histories.All() {
		h.expireRegistration(now, r)
		h.pruneStates(asOf, r)
		first := r.states[0]
		if first.removed && len(r.states) == 1 && !first.since.After(asOf) {
			h.histories.Delete(key)
			continue
		}
		if !first.removed && !first.since.After(asOf) {
			values = append(values, first.value)
		}
	}
	return values
}

// appendState adds a state to a registration and creates the registration if it doesn't exist.
func (h *history[K, V]) appendState(now time.Time, key K, next registrationState[V]) {
	r, ok := h.histories.Get(key)
	if !ok {
		r = &registrationHistory[V]{lastHeartbeat: now}
		h.histories.Put(key, r)
	}
	r.states = append(r.states, next)
	h.pruneStates(now.Add(-h.viewLag), r)
}

// expireRegistration marks a registration as removed if its TTL has passed since the last heartbeat, as of the time when it
// passed.
func (h *history[K, V]) expireRegistration(now time.Time, r *registrationHistory[V]) {
	last := r.states[len(r.states)-1]
	if end := r.lastHeartbeat.Add(h.ttl); h.ttl > 0 && !last.removed && !now.Before(end) {
		if end.Before(last.since) {
			end = last.since
		}
		r.states = append(r.states, registrationState[V]{since: end, removed: true})
	}
}

// pruneStates drops the states that were no longer current at the time asOf.
func (h *history[K, V]) pruneStates(asOf time.Time, r *registrationHistory[V]) {
	for len(r.states) > 1 && !r.states[1].since.After(asOf) {
		r.states = r.states[1:]
	}
}
