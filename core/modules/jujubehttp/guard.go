package jujubehttp

import (
	"context"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// DefaultMaxHeaderLines is above the number of lines of 3 bytes that the largest legal head, of 16,384 bytes, can have.
	DefaultMaxHeaderLines = 8192
	// DefaultProgressTimeout is longer than a sound client takes to send a byte of a body, or to read progressBytes of a response.
	DefaultProgressTimeout = time.Minute
	// DefaultMaxMessageBytes is above the largest call between instances, which carries a body of 64 MB.
	DefaultMaxMessageBytes = 72 << 20

	// connectionBytes is what an idle connection takes: two buffers of 4 KB, the goroutine's stack and the connection's state.
	connectionBytes = 16 << 10
	// lineBytes is what a header line takes in parsed form, in addition to its bytes: an entry of the map while it grows, the strings'
	// headers and the rounding of allocations. 200 clients with 60 KB of different short lines took 108 bytes for each line.
	lineBytes = 256
	// descriptorsForClients and descriptorsForPeers are shares of the descriptor limit. The rest is for the connections to servers and
	// to the store.
	descriptorsForClients, descriptorsForPeers = 0.75, 0.125
	// roomWait bounds the wait for the memory of connections that were closed to make room.
	roomWait = 500 * time.Millisecond
	// sweepInterval is the time between two checks of the progress of all connections.
	sweepInterval = time.Second
	// clockInterval is the time between two readings of the clock.
	clockInterval = 50 * time.Millisecond
	// reportInterval is the minimum time between two reports of refusals, so that a crowd doesn't fill the log.
	reportInterval = 10 * time.Second
)

// GuardSettings holds the limits of a guard. Zero selects the default of a limit.
type GuardSettings struct {
	// MaxHeaderLines bounds the lines of a request's head. net/http bounds its bytes.
	MaxHeaderLines int
	// MaxHeldBytes bounds what all connections hold together, in memory rather than as received: the connections themselves, heads in
	// parsed form, the beginnings of bodies, and messages of peers until they are answered. There is no default.
	MaxHeldBytes int
	// Available returns how much of it isn't used otherwise at the time; nil for all. It is called with the guard's lock held.
	Available func() int
	// MaxConnections and MaxPeerConnections bound the open connections; the defaults are shares of the descriptor limit.
	MaxConnections, MaxPeerConnections int
	// MaxMessageBytes bounds a message of a peer.
	MaxMessageBytes int
	// ProgressTimeout is how long a connection may wait for a byte of a body, or for the client to read a part of a response.
	ProgressTimeout time.Duration
	// OnRefused is called at most once in ten seconds, with the number of refusals since the last call by cause. It may be nil.
	OnRefused func(refused map[RefusalCause]int, stats GuardStats)
}

// RefusalCause is why a guard refused or closed a connection.
type RefusalCause string

// The causes of refusals.
const (
	// CauseConnections is a connection for which there was no room, or that was closed to make room for one.
	CauseConnections RefusalCause = "Connections"
	// CauseMemory is a request or message for which there was no memory, or a connection that was closed to make room for one.
	CauseMemory RefusalCause = "Memory"
	// CauseLines is a head with too many lines.
	CauseLines RefusalCause = "Lines"
	// CauseMessage is a message of a peer that is too large.
	CauseMessage RefusalCause = "Message"
	// CauseProgress is a connection without progress.
	CauseProgress RefusalCause = "Progress"
)

// RefusalCauses returns all causes.
func RefusalCauses() []RefusalCause {
	return []RefusalCause{CauseConnections, CauseMemory, CauseLines, CauseMessage, CauseProgress}
}

// GuardStats are the figures of a guard.
type GuardStats struct {
	Connections, PeerConnections int
	HeldBytes                    int
	// Refused counts refusals since the start.
	Refused map[RefusalCause]int
}

// Guard bounds the number of connections of all listeners of a process, and the memory that their clients make it hold.
type Guard struct {
	settings GuardSettings
	// started is the origin of the guard's times. They don't follow the time of day, which may be set.
	started time.Time
	// clock is the time since started in nanoseconds, to clockInterval. Reading it costs a request less than asking the system.
	clock atomic.Int64

	mu sync.Mutex
	// conns holds the open connections; each knows its index.
	conns []*guardedConn
	// open counts the connections that haven't been closed, by listener kind. It is at most len(conns), because a connection that was
	// closed to make room stays in conns until its goroutine has ended.
	open [2]int
	// held is the sum of the connections' held bytes and of connectionBytes for each of them, and closing the part of it that is given
	// back soon: that of connections that were closed to make room, or refused.
	held, closing int
	// releasedCh is closed and replaced when held falls while somebody waits for it.
	releasedCh chan struct{}
	waiting    int
	serial     int
	refused    map[RefusalCause]int
	// reported holds the counts of the last report.
	reported   map[RefusalCause]int
	reportedAt time.Time
}

// connKind tells the listeners of clients from the one of peers.
type connKind int

const (
	kindClient connKind = iota
	kindPeer
)

// NewGuard returns a guard with the given limits.
func NewGuard(settings GuardSettings) *Guard {
	limit := descriptorLimit()
	orDefault(&settings.MaxHeaderLines, DefaultMaxHeaderLines)
	orDefault(&settings.MaxConnections, int(descriptorsForClients*limit))
	orDefault(&settings.MaxPeerConnections, int(descriptorsForPeers*limit))
	orDefault(&settings.MaxMessageBytes, DefaultMaxMessageBytes)
	orDefault(&settings.ProgressTimeout, DefaultProgressTimeout)
	orDefault(&settings.MaxHeldBytes, math.MaxInt/2)
	g := &Guard{
		settings: settings, started: time.Now(), releasedCh: make(chan struct{}),
		refused: make(map[RefusalCause]int), reported: make(map[RefusalCause]int),
	}
	g.clock.Store(1) // zero means that nothing waits
	return g
}

// sinceStart returns the time since the guard's start in nanoseconds.
func (g *Guard) sinceStart(now time.Time) int64 { return int64(now.Sub(g.started)) }

func orDefault[T int | time.Duration](value *T, byDefault T) {
	if *value == 0 {
		*value = byDefault
	}
}

// Listen wraps a listener for HTTP.
func (g *Guard) Listen(listener net.Listener) net.Listener {
	return &guardedListener{Listener: listener, guard: g, kind: kindClient}
}

// ListenPeers wraps a listener for messages of other instances.
func (g *Guard) ListenPeers(listener net.Listener) net.Listener {
	return &guardedListener{Listener: listener, guard: g, kind: kindPeer}
}

// Stats returns the current figures.
func (g *Guard) Stats() GuardStats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stats()
}

func (g *Guard) stats() GuardStats {
	stats := GuardStats{
		Connections: g.open[kindClient], PeerConnections: g.open[kindPeer], HeldBytes: g.held, Refused: make(map[RefusalCause]int, len(g.refused)),
	}
	for cause, count := range g.refused {
		stats.Refused[cause] = count
	}
	return stats
}

// Run closes connections without progress, and reports refusals, until the context ends.
func (g *Guard) Run(ctx context.Context) error {
	ticker := time.NewTicker(clockInterval)
	defer ticker.Stop()
	sweptAt := time.Time{}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		now := time.Now()
		g.clock.Store(max(1, g.sinceStart(now)))
		if now.Sub(sweptAt) >= sweepInterval {
			sweptAt = now
			g.sweep(now)
		}
	}
}

func (g *Guard) sweep(now time.Time) {
	g.mu.Lock()
	var stalled []*guardedConn
	for _, c := range g.conns {
		if !c.isClosing && c.isStalled(now, g.settings.ProgressTimeout) {
			g.markAborted(c, CauseProgress)
			stalled = append(stalled, c)
		}
	}
	news := make(map[RefusalCause]int)
	if now.Sub(g.reportedAt) >= reportInterval {
		for cause, count := range g.refused {
			if count > g.reported[cause] {
				news[cause], g.reported[cause], g.reportedAt = count-g.reported[cause], count, now
			}
		}
	}
	stats := g.stats()
	g.mu.Unlock()
	for _, c := range stalled {
		c.abort()
	}
	if len(news) > 0 && g.settings.OnRefused != nil {
		g.settings.OnRefused(news, stats)
	}
}

func (g *Guard) count(cause RefusalCause) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refused[cause]++
}

// markAborted counts a connection as closed; the caller holds the lock and calls abort after releasing it.
func (g *Guard) markAborted(c *guardedConn, cause RefusalCause) {
	c.isAborted = true
	g.open[c.kind]--
	g.markClosing(c)
	g.refused[cause]++
}

// markClosing counts what a connection holds as given back soon; the lock is held.
func (g *Guard) markClosing(c *guardedConn) {
	if !c.isClosing && c.index >= 0 {
		c.isClosing = true
		g.closing += c.held + connectionBytes
	}
}

// accept adds a connection, and closes another one if there are too many. It returns nil if there is no room.
func (g *Guard) accept(conn net.Conn, kind connKind) *guardedConn {
	now := time.Now()
	limit := g.settings.MaxConnections
	if kind == kindPeer {
		limit = g.settings.MaxPeerConnections
	}
	g.mu.Lock()
	var victim *guardedConn
	isFull := g.open[kind] >= limit
	if isFull || g.held-g.closing+connectionBytes > g.maxHeldBytes() {
		cause := CauseConnections
		if !isFull {
			cause = CauseMemory
			victim = g.chooseHolder(connectionBytes, now, kind)
		}
		if victim == nil {
			victim = g.chooseIdle(kind, now)
		}
		if victim == nil {
			g.refused[cause]++
			g.mu.Unlock()
			return nil
		}
		g.markAborted(victim, cause)
	}
	c := &guardedConn{Conn: conn, guard: g, kind: kind, index: len(g.conns), serial: g.serial, since: g.sinceStart(now)}
	g.serial++
	g.conns = append(g.conns, c)
	g.open[kind]++
	g.held += connectionBytes
	g.mu.Unlock()
	if victim != nil {
		victim.abort()
	}
	return c
}

// remove removes a connection that its server has closed.
func (g *Guard) remove(c *guardedConn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.index < 0 {
		return
	}
	last := len(g.conns) - 1
	g.conns[c.index], g.conns[last].index = g.conns[last], c.index
	g.conns[last] = nil
	g.conns, c.index = g.conns[:last], -1
	if !c.isAborted {
		g.open[c.kind]--
	}
	if c.isClosing {
		g.closing -= connectionBytes
	}
	g.held -= connectionBytes
	g.release(c, c.held)
}

// release gives back bytes of a connection; the lock is held.
func (g *Guard) release(c *guardedConn, size int) {
	size = min(size, c.held)
	c.held -= size
	g.held -= size
	if c.isClosing {
		g.closing -= size
	}
	if g.waiting > 0 {
		close(g.releasedCh)
		g.releasedCh = make(chan struct{})
	}
}

// reserve reserves bytes for a connection. If there is no room, it closes those that hold more for longest, and waits until they have
// ended. isFirst is true for the first bytes of a request.
func (g *Guard) reserve(c *guardedConn, size int, isFirst bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if isFirst {
		c.since = g.clock.Load()
	}
	if g.hold(c, size) {
		return true
	}
	timeout := time.NewTimer(roomWait)
	defer timeout.Stop()
	for {
		if c.isClosing || c.index < 0 {
			return false
		}
		var victim *guardedConn
		if g.held-g.closing+size > g.maxHeldBytes() {
			if victim = g.chooseHolder(c.held+size, time.Now(), c.kind); victim == nil {
				g.refused[CauseMemory]++
				return false
			}
			g.markAborted(victim, CauseMemory)
		}
		releasedCh := g.releasedCh
		g.waiting++
		g.mu.Unlock()
		isLate := false
		if victim != nil {
			victim.abort()
		} else {
			select {
			case <-releasedCh:
			case <-timeout.C:
				isLate = true
			}
		}
		g.mu.Lock()
		g.waiting--
		if g.hold(c, size) {
			return true
		}
		if isLate {
			g.refused[CauseMemory]++
			return false
		}
	}
}

// hold reserves bytes if there is room; the lock is held.
func (g *Guard) hold(c *guardedConn, size int) bool {
	if g.held+size > g.maxHeldBytes() || c.isClosing || c.index < 0 {
		return false
	}
	c.held += size
	g.held += size
	return true
}

// Relieve closes the slow client that holds the most for longest, if there is one. It is called when the memory for bodies is used up.
func (g *Guard) Relieve() {
	now := time.Now()
	g.mu.Lock()
	victim := g.chooseSlow(now)
	if victim != nil {
		g.markAborted(victim, CauseMemory)
	}
	g.mu.Unlock()
	if victim != nil {
		victim.abort()
	}
}
