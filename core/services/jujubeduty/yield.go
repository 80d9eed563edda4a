package jujubeduty

import "time"

const (
	// yieldAfter is how long calls fail without a response until the holder yields: six calls that each time out, which leaves the
	// next holder the time for the wait after a takeover before a report is due.
	yieldAfter = 6 * time.Second
	// yieldFor is how long an instance that has yielded doesn't claim the lease, so that another one does.
	yieldFor = 15 * time.Second
	// yieldInterval is the minimum time between two yields of an instance. While the API is down for all, each of the few candidates
	// yields once in it: a change of the holder costs the rollout a lease time.
	yieldInterval = time.Minute
)

// reachability tracks whether this instance's calls reach the API.
type reachability struct {
	// failingSince is the end of the first call without a response after the last one with a response; zero for none.
	failingSince time.Time
	yieldedAt    time.Time
}

func (r *reachability) record(now time.Time, outcome Outcome) {
	switch {
	case outcome != Unsent && outcome != Unknown:
		r.failingSince = time.Time{}
	case r.failingSince.IsZero():
		r.failingSince = now
	}
}

// IsYielding reports whether this instance shall not hold the lease, because its calls get no responses and those of another instance
// may. hasOthers is whether there are any. A first result of true (began) is a decision to yield.
func (g *Gate) IsYielding(now time.Time, hasOthers bool) (yielding, began bool) {
	r := &g.reachability
	if !r.yieldedAt.IsZero() && now.Sub(r.yieldedAt) < yieldFor {
		return true, false
	}
	isDue := r.yieldedAt.IsZero() || now.Sub(r.yieldedAt) >= yieldInterval
	if !hasOthers || !isDue || r.failingSince.IsZero() || now.Sub(r.failingSince) < yieldAfter {
		return false, false
	}
	r.failingSince, r.yieldedAt = time.Time{}, now
	return true, true
}
