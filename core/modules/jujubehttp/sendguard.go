package jujubehttp

import (
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"jujubepier.example/core/modules/jujubeclock"
)

const (
	// SendMargin is how long after the end of a request's permit the last of its bytes may reach the server.
	SendMargin = 500 * time.Millisecond
	// takeBackAfter is when what the server hasn't acknowledged is taken back. The rest of SendMargin is for bytes on the link and for a
	// process that is short of processor time.
	takeBackAfter = SendMargin - 100*time.Millisecond
	// minRenewInterval is the minimum time between two permits of a request.
	minRenewInterval = 50 * time.Millisecond
)

// errSendLate is returned for a write of a request whose time is over.
var errSendLate = errors.New("the time to send the request is over")

// SendGuard bounds the time at which bytes of a request can reach the other end of a connection: what isn't written and acknowledged
// takeBackAfter after the end of the request's permit is dropped, by a reset of the connection. The system keeps the same limit for bytes
// without an acknowledgement by itself, as the process may be paused.
type SendGuard struct {
	conn net.Conn
	// raw is nil if the connection isn't a socket.
	raw syscall.RawConn

	mu sync.Mutex
	// endsAt is when the rest of the current request is taken back; zero for no limit. timer asks for a further permit when the
	// current one ends, and takes the rest back without one.
	endsAt jujubeclock.Instant
	timer  *time.Timer
	// renew returns the end of a further permit, zero for no limit, and whether there is one; it may be nil.
	renew func() (permitEndsAt jujubeclock.Instant, isAllowed bool)
	// limits counts the limits that were set.
	limits int
	// writing is the number of writes in progress. isOver refuses further ones.
	writing int
	isOver  bool
	// userTimeout is the connection's TCP_USER_TIMEOUT in milliseconds without a limit.
	userTimeout int
}

// NewSendGuard returns the guard of a connection, without a limit.
func NewSendGuard(conn net.Conn) *SendGuard {
	g := &SendGuard{conn: conn}
	if socket, ok := conn.(syscall.Conn); ok {
		g.raw, _ = socket.SyscallConn() // without it, only the writes are bounded
	}
	g.control(func(fd int) { g.userTimeout, _ = unix.GetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT) })
	return g
}

// control calls f with the descriptor of an open socket.
func (g *SendGuard) control(f func(fd int)) {
	if g.raw != nil {
		_ = g.raw.Control(func(fd uintptr) { f(int(fd)) })
	}
}

// Limit sets when the permit of the current request ends; zero for no limit. What was written without a limit isn't taken back. A request
// that isn't complete then goes on if renew gives a further permit; renew may be nil.
func (g *SendGuard) Limit(permitEndsAt jujubeclock.Instant, renew func() (jujubeclock.Instant, bool)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.clear()
	g.limits++
	g.setLimit(permitEndsAt, renew)
}

// setLimit sets the end of the permit; the lock is held.
func (g *SendGuard) setLimit(permitEndsAt jujubeclock.Instant, renew func() (jujubeclock.Instant, bool)) {
	if permitEndsAt == 0 {
		return
	}
	g.endsAt, g.renew = permitEndsAt.Add(takeBackAfter), renew
	now, limit := jujubeclock.Now(), g.limits
	remaining := max(time.Millisecond, g.endsAt.Sub(now))
	if renew == nil {
		g.timer = time.AfterFunc(remaining, func() { g.end(limit) })
	} else {
		g.timer = time.AfterFunc(max(minRenewInterval, permitEndsAt.Sub(now)), func() { g.extend(limit) })
	}
	if milliseconds := int(remaining.Milliseconds()); g.userTimeout == 0 || milliseconds < g.userTimeout {
		g.setUserTimeout(milliseconds)
	}
}

// clear removes the limit; the lock is held.
func (g *SendGuard) clear() {
	if g.endsAt == 0 {
		return
	}
	g.timer.Stop()
	g.endsAt, g.isOver = 0, false
	g.setUserTimeout(g.userTimeout)
}

func (g *SendGuard) setUserTimeout(milliseconds int) {
	g.control(func(fd int) { _ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, milliseconds) })
}

// extend asks for a further permit if the request with a limit isn't complete.
func (g *SendGuard) extend(limit int) {
	g.mu.Lock()
	isDue, renew := g.limits == limit && g.endsAt != 0 && g.isHeld(), g.renew
	g.mu.Unlock()
	if !isDue {
		g.end(limit)
		return
	}
	permitEndsAt, isAllowed := renew() // without the lock, as it may take others
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.limits != limit || g.endsAt == 0 {
		return
	}
	if isAllowed {
		g.clear()
		g.setLimit(permitEndsAt, renew)
		return
	}
	g.timer = time.AfterFunc(max(time.Millisecond, g.endsAt.Sub(jujubeclock.Now())), func() { g.end(limit) })
}

// end takes back what is left of the request with a limit.
func (g *SendGuard) end(limit int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.limits != limit || g.endsAt == 0 {
		return
	}
	g.isOver = true
	if g.isHeld() {
		g.reset()
		return
	}
	g.setUserTimeout(g.userTimeout)
}

// isHeld reports whether bytes of the request haven't been acknowledged; the lock is held.
func (g *SendGuard) isHeld() bool {
	unacknowledged := 0
	g.control(func(fd int) { unacknowledged, _ = unix.IoctlGetInt(fd, unix.SIOCOUTQ) })
	return g.writing > 0 || unacknowledged > 0
}

// reset closes the connection so that the system sends nothing of what it holds.
func (g *SendGuard) reset() {
	if socket, ok := g.conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = socket.SetLinger(0) // it fails only if the connection is closed
	}
	_ = g.conn.Close()
}

// Write writes bytes of the current request unless its time is over.
func (g *SendGuard) Write(p []byte) (int, error) {
	if !g.beginWrite() {
		return 0, errSendLate
	}
	defer g.endWrite()
	return g.conn.Write(p)
}

func (g *SendGuard) beginWrite() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	// A paused process runs its timers late.
	g.isOver = g.isOver || g.endsAt != 0 && jujubeclock.Now() >= g.endsAt
	if g.isOver && !g.resume() {
		return false
	}
	g.writing++
	return true
}

// resume asks for a further permit for the next write of a request whose time is over. The lock is held, but not while it asks.
func (g *SendGuard) resume() bool {
	limit, renew := g.limits, g.renew
	if renew == nil {
		return false
	}
	g.mu.Unlock()
	permitEndsAt, isAllowed := renew()
	g.mu.Lock()
	if !isAllowed || g.limits != limit || g.endsAt == 0 {
		return false
	}
	g.clear()
	g.setLimit(permitEndsAt, renew)
	return true
}

func (g *SendGuard) endWrite() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.writing--
}

// Close closes the connection. What the system holds of a request with a limit isn't sent any more: its sender has given it up.
func (g *SendGuard) Close() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	isLimited := g.endsAt != 0
	if isLimited {
		g.timer.Stop()
		g.endsAt = 0
	}
	if isLimited && g.isHeld() {
		g.reset()
	}
	return g.conn.Close()
}
