package jujuberouter

import "time"

// maxHoldAge is the age from which on a load report doesn't hold requests back: that within which most plain requests should be answered.
const maxHoldAge = 150 * time.Millisecond

// SetHolding makes requests wait here instead of at an endpoint that reports waiting requests, where the order of arrival counts only.
// members is the number of instances that share the endpoints, 0 if requests aren't held.
func (r *Router[P]) SetHolding(members int) { r.holdMembers = members }

// isHeld reports whether an endpoint gets no further request for now: it has waiting ones as of a recent report, and this instance has
// its part of the slots in flight there, at least one. So each instance gets a report with the next response.
func (r *Router[P]) isHeld(now time.Time, e *endpointState) bool {
	return r.holdMembers > 0 && e.load.Waiting > 0 && now.Sub(e.loadAt) < maxHoldAge && e.inFlight >= max(1, e.load.Slots/r.holdMembers)
}
