package jujubehttp

import "time"

const (
	// waitGrace is how long a connection may wait for its client before it is closed to make room for another one.
	waitGrace = time.Second
	// slowBytesPerSecond is the rate below which a client that sends a body or reads a response counts as slow.
	slowBytesPerSecond = 64 << 10
	// silentWeight is how much sooner a connection without a complete first request is closed than an idle one that has been served.
	silentWeight = 4
)

// Holder is what the choice of a connection to close depends on.
type Holder struct {
	// Serial is unique; of equal holders the one with the lower number is chosen.
	Serial int
	// Held is the number of bytes that the guard has reserved for the connection's requests, and Unwritten the size of the rest of a
	// response that the client hasn't read.
	Held, Unwritten int
	// Age is the time since the connection's request began, or since the connection is idle.
	Age time.Duration
	// IsWaiting is true while the process waits for the client: for a head, for the body or for the client to read.
	IsWaiting bool
	// IsSilent is true before the first request of a connection is complete.
	IsSilent bool
	// IsIdle is true between two requests.
	IsIdle bool
	// Moved is the number of bytes that the client has sent and read in this request.
	Moved int
}

// weight is the product of what a connection takes and for how long.
func (h Holder) weight() float64 {
	return float64(h.Held+h.Unwritten+connectionBytes) * h.Age.Seconds()
}

// isBefore reports whether h is closed rather than other, by weight.
func (h Holder) isBefore(other Holder, weight, otherWeight float64) bool {
	return weight > otherWeight || weight == otherWeight && h.Serial < other.Serial
}

// BetterForMemory reports whether h, rather than best, is to be closed for a connection that would hold need bytes. Only connections
// that hold more than twice as much are closed, so that large requests don't drive out small ones. Those that wait for their client
// come before those whose request runs.
func (h Holder) BetterForMemory(best *Holder, need int) bool {
	if h.Held <= 2*need {
		return false
	}
	if best == nil || h.IsWaiting != best.IsWaiting {
		return best == nil || h.IsWaiting
	}
	return h.isBefore(*best, float64(h.Held)*h.Age.Seconds(), float64(best.Held)*best.Age.Seconds())
}

// BetterForConnection reports whether h, rather than best, is to be closed to make room for a connection.
func (h Holder) BetterForConnection(best *Holder) bool {
	if !h.IsWaiting || h.Age < waitGrace {
		return false
	}
	if best == nil {
		return true
	}
	rank := func(h Holder) float64 {
		if h.IsSilent {
			return silentWeight * h.weight()
		}
		return h.weight()
	}
	return h.isBefore(*best, rank(h), rank(*best))
}

// BetterForBody reports whether h, rather than best, is to be closed when there is no memory for bodies: only clients that are slow to
// send or to read.
func (h Holder) BetterForBody(best *Holder) bool {
	if !h.IsWaiting || h.IsIdle || h.Age < waitGrace || float64(h.Moved) >= slowBytesPerSecond*h.Age.Seconds() {
		return false
	}
	return best == nil || h.isBefore(*best, h.weight(), best.weight())
}

// choose returns the connection whose holder is better than all others; the lock is held.
func (g *Guard) choose(now time.Time, kind connKind, isBetter func(h Holder, best *Holder) bool) (chosen *guardedConn) {
	var best *Holder
	for _, c := range g.conns {
		if c.isClosing || c.kind != kind {
			continue
		}
		if h := c.holder(now); isBetter(h, best) {
			chosen, best = c, &h
		}
	}
	return chosen
}

// chooseHolder returns a connection that holds more than twice of what a connection of a kind needs. Clients don't displace peers, whose
// calls belong to the requests of many clients.
func (g *Guard) chooseHolder(need int, now time.Time, kind connKind) *guardedConn {
	isBetter := func(h Holder, best *Holder) bool { return h.BetterForMemory(best, need) }
	if victim := g.choose(now, kindClient, isBetter); victim != nil || kind == kindClient {
		return victim
	}
	return g.choose(now, kindPeer, isBetter)
}

func (g *Guard) chooseIdle(kind connKind, now time.Time) *guardedConn {
	return g.choose(now, kind, Holder.BetterForConnection)
}

func (g *Guard) chooseSlow(now time.Time) *guardedConn {
	return g.choose(now, kindClient, Holder.BetterForBody)
}

// maxHeldBytes returns what all connections may hold now.
func (g *Guard) maxHeldBytes() int {
	if g.settings.Available == nil {
		return g.settings.MaxHeldBytes
	}
	return min(g.settings.MaxHeldBytes, g.settings.Available())
}
