package jujubeduty

import "time"

const (
	// probeAfter is how long no connection to the API can be opened until the holder asks others whether they can open one. With the
	// wait after a takeover, the next holder still sends a report before it is due.
	probeAfter = 3 * time.Second
	// probeInterval is the time between two such questions.
	probeInterval = 2 * time.Second
	// yieldFor is how long an instance that has yielded doesn't claim the lease, so that another one does.
	yieldFor = 15 * time.Second
	// yieldInterval is the minimum time between two yields of an instance: a change of the holder costs the rollout a lease time.
	yieldInterval = time.Minute
)

// reachability tracks whether this instance can connect to the API.
type reachability struct {
	// unsentSince is the end of the first call without a connection after the last one with a connection; zero for none.
	unsentSince time.Time
	probedAt    time.Time
	yieldedAt   time.Time
}

func (r *reachability) record(now time.Time, outcome Outcome) {
	switch {
	case outcome == Withdrawn:
	case outcome != Unsent:
		r.unsentSince = time.Time{}
	case r.unsentSince.IsZero():
		r.unsentSince = now
	}
}

// ShouldProbe reports whether to ask other instances now whether they can connect to the API, because this one can't.
func (g *Gate) ShouldProbe(now time.Time) bool {
	r := &g.reachability
	mayYield := r.yieldedAt.IsZero() || now.Sub(r.yieldedAt) >= yieldInterval
	if !mayYield || r.unsentSince.IsZero() || now.Sub(r.unsentSince) < probeAfter || !r.probedAt.IsZero() && now.Sub(r.probedAt) < probeInterval {
		return false
	}
	r.probedAt = now
	return true
}

// Yield records that another instance can connect to the API, so that this one leaves the lease to others for a while.
func (g *Gate) Yield(now time.Time) {
	g.reachability.unsentSince, g.reachability.yieldedAt = time.Time{}, now
}

// RecordConnected records that this instance can connect to the API.
func (g *Gate) RecordConnected() { g.reachability.unsentSince = time.Time{} }

// IsYielding reports whether this instance leaves the lease to others.
func (g *Gate) IsYielding(now time.Time) bool {
	yieldedAt := g.reachability.yieldedAt
	return !yieldedAt.IsZero() && now.Sub(yieldedAt) < yieldFor
}
