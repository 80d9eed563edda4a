package jujubehttp

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"jujubepier.example/core/modules/jujubememory"
)

const (
	// progressBytes is the size of the parts in which a response is written, so that a slow client shows progress.
	progressBytes = 16 << 10
	// chargedBodyBytes is how much of a body the guard counts. Budgets of jujubememory count larger bodies.
	chargedBodyBytes = 16 << 10
	// serverBufferBytes is the size of the buffer from which net/http reads heads and bodies. It may hold the beginning of the next
	// head when a request ends.
	serverBufferBytes = 4 << 10
	// lingerTime and lingerBytes bound the reading of what a refused client still sends. Without it, the system drops the refusal.
	lingerTime  = 100 * time.Millisecond
	lingerBytes = 256 << 10
)

// errGuarded is the reason why a guarded connection can't be read any more.
var errGuarded = errors.New("refused")

const (
	responseUnavailable = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	responseTooLarge    = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

// phase is what a connection is used for.
type phase int32

const (
	// phaseHead lasts from the connection's begin, or the end of a request, until net/http has parsed a head.
	phaseHead phase = iota
	// phaseActive lasts until the request has ended.
	phaseActive
	// phaseHijacked means that the connection is no longer used for HTTP.
	phaseHijacked
)

// guardedListener is a listener whose connections a guard admits.
type guardedListener struct {
	net.Listener
	guard *Guard
	kind  connKind
}

// Accept returns the next connection for which there is room.
func (l *guardedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.guard.accept(conn, l.kind); c != nil {
			return c, nil
		}
		// The buffer of a new connection takes the response without a wait. TLS would wait for the client's handshake.
		if tcp, ok := conn.(*net.TCPConn); ok && l.kind == kindClient {
			_, _ = io.WriteString(tcp, responseUnavailable)
		}
		closeNow(conn)
	}
}

// guardedConn counts what a connection makes the process hold. Reads are by one goroutine at a time, as are writes.
type guardedConn struct {
	net.Conn
	guard  *Guard
	kind   connKind
	serial int

	// These are guarded by the guard's lock.

	// index is the position in the guard's list, or -1 once the connection has been removed.
	index int
	// held is what the connection holds in addition to connectionBytes.
	held int
	// since is when the current request began, or the connection became idle, in nanoseconds since the guard's start.
	since int64
	// isAborted is true once the guard has closed the connection, and isClosing also once its request was refused.
	isAborted, isClosing bool
	// served is true once a request or call has ended.
	served bool

	// These belong to the reader. ConnState is called by the reader, too.

	meter HeadMeter
	// body is how much of the current body the guard has counted.
	body int
	// isBroken is true after a part of a body was dropped because it found no memory. Nothing is read after that, so that the rest can't
	// be taken for a request.
	isBroken bool
	// tail is the number of line ends that net/http may have in its buffer after the current request, and tailBytes what is held for
	// them.
	tail, tailBytes int
	// deadlines counts the read deadlines that net/http has set since the connection became idle. It sets one before it waits for the first
	// bytes of a request, and the next one when it has them.
	deadlines int

	currentPhase atomic.Int32
	// readSince and writeSince are when the read of a body or message, or a write, began to wait, in nanoseconds since the guard's start; zero while
	// there is none.
	readSince, writeSince atomic.Int64
	// calls is the number of calls of a peer in progress.
	calls atomic.Int64
	// moved is the number of body and response bytes in this phase; unwritten is the size of the write in progress.
	moved, unwritten atomic.Int64
}

func (c *guardedConn) phase() phase { return phase(c.currentPhase.Load()) }

func (c *guardedConn) blockedFor(now time.Time) time.Duration {
	blocked := time.Duration(0)
	for _, since := range []int64{c.readSince.Load(), c.writeSince.Load()} {
		if since != 0 {
			blocked = max(blocked, time.Duration(c.guard.sinceStart(now)-since))
		}
	}
	return blocked
}

// isStalled reports whether a body, or a response, has made no progress for longer than the timeout. Peers may be silent for any time
// between their calls.
func (c *guardedConn) isStalled(now time.Time, timeout time.Duration) bool {
	if c.kind == kindPeer {
		since := c.writeSince.Load()
		return since != 0 && time.Duration(c.guard.sinceStart(now)-since) > timeout
	}
	return c.phase() == phaseActive && c.blockedFor(now) > timeout
}

// holder describes the connection; the guard's lock is held.
func (c *guardedConn) holder(now time.Time) Holder {
	isHead := c.phase() == phaseHead && c.kind == kindClient
	isBlocked := c.readSince.Load() != 0 || c.writeSince.Load() != 0
	return Holder{
		Serial: c.serial, Held: c.held, Unwritten: int(c.unwritten.Load()), Age: time.Duration(c.guard.sinceStart(now) - c.since), Moved: int(c.moved.Load()),
		IsWaiting: isHead || isBlocked && c.calls.Load() == 0, IsIdle: isHead, IsSilent: (isHead || c.kind == kindPeer) && !c.served,
	}
}

// Read reads what the client sends. Before net/http gets a part of a head, memory for its parsed form is reserved; without it the
// request is refused, and can't run.
func (c *guardedConn) Read(p []byte) (int, error) {
	switch {
	case c.kind == kindPeer:
		c.readSince.Store(c.guard.clock.Load())
		defer c.readSince.Store(0)
		return c.Conn.Read(p)
	case c.phase() == phaseHijacked:
		return c.Conn.Read(p)
	case c.phase() == phaseActive:
		return c.readBody(p)
	}
	if c.tailBytes > 0 && len(p) > serverBufferBytes-4 && c.deadlines < 2 {
		// net/http waits with an empty buffer, so there was no beginning of a head in it. Later its buffer is also empty when it has parsed
		// the lines in it, which it holds until the head ends.
		c.releaseBytes(c.tailBytes)
		c.tailBytes = 0
	}
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	isFirst := c.meter == (HeadMeter{})
	lines := c.meter.Lines
	after := c.meter.Add(p[:n])
	c.tail = bytes.Count(p[n-after:n], []byte{'\n'})
	if c.meter.Lines > c.guard.settings.MaxHeaderLines {
		c.guard.count(CauseLines)
		return c.refuse(responseTooLarge)
	}
	if !c.guard.reserve(c, n+(c.meter.Lines-lines)*lineBytes, isFirst) {
		return c.refuse(responseUnavailable)
	}
	return n, err
}

// refuse writes a response in place of net/http, which hasn't got the whole head. The error makes net/http close the connection
// without a response of its own.
func (c *guardedConn) refuse(response string) (int, error) {
	c.guard.mu.Lock()
	c.guard.markClosing(c)
	c.guard.mu.Unlock()
	deadline := time.Now().Add(lingerTime)
	_ = c.Conn.SetDeadline(deadline) // on failure the connection is broken
	if _, err := io.WriteString(c.Conn, response); err == nil && c.CloseWrite() == nil {
		buffer := make([]byte, serverBufferBytes)
		for left := lingerBytes; left > 0; {
			n, err := c.Conn.Read(buffer)
			if err != nil {
				break
			}
			left -= n
		}
	}
	return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: errGuarded}
}

// readBody reads in a request's body. A body that finds no memory fails as one for which a budget has none, so that the handler responds
// with 503. It also reads one byte after it, which is how net/http waits for the end of the connection.
func (c *guardedConn) readBody(p []byte) (int, error) {
	if c.isBroken {
		return 0, jujubememory.ErrExhausted{}
	}
	if len(p) == 1 {
		n, err := c.Conn.Read(p)
		if n == 1 && p[0] == '\n' {
			c.tail++
		}
		return n, err
	}
	c.readSince.Store(c.guard.clock.Load())
	n, err := c.Conn.Read(p)
	c.readSince.Store(0)
	c.moved.Add(int64(n))
	c.tail = 0
	if len(p) <= serverBufferBytes {
		c.tail = bytes.Count(p[:n], []byte{'\n'})
	}
	if charged := min(n, chargedBodyBytes-c.body); charged > 0 {
		c.body += charged
		if !c.guard.reserve(c, charged, false) {
			c.isBroken = true
			c.guard.mu.Lock()
			c.guard.markClosing(c)
			c.guard.mu.Unlock()
			return 0, jujubememory.ErrExhausted{Size: charged}
		}
	}
	return n, err
}

// Write writes a response in parts, so that the guard sees its progress.
func (c *guardedConn) Write(p []byte) (int, error) {
	written := 0
	for {
		part := p[written:min(len(p), written+progressBytes)]
		c.unwritten.Store(int64(len(p) - written))
		c.writeSince.Store(c.guard.clock.Load())
		n, err := c.Conn.Write(part)
		c.writeSince.Store(0)
		written += n
		c.moved.Add(int64(n))
		if err != nil || written == len(p) {
			c.unwritten.Store(0)
			return written, err
		}
	}
}

// Charge reserves memory for a message of a peer. It returns false, and the connection is to be closed, if there is none.
func (c *guardedConn) Charge(size int) bool { return c.guard.reserve(c, size, false) }

// BeginCall counts a call of a peer.
func (c *guardedConn) BeginCall() { c.calls.Add(1) }

// EndCall counts the end of a call and gives back the memory of its message.
func (c *guardedConn) EndCall(size int) {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.calls.Add(-1)
	c.served, c.since = true, c.guard.clock.Load()
	c.guard.release(c, size)
}

// Abort closes the connection of a peer whose messages exceed a limit. Its memory is given back when its calls have ended.
func (c *guardedConn) Abort() {
	c.guard.mu.Lock()
	c.guard.markClosing(c)
	c.guard.mu.Unlock()
	c.abort()
}

// MaxMessageBytes returns the maximum size of a peer's message.
func (c *guardedConn) MaxMessageBytes() int { return c.guard.settings.MaxMessageBytes }

// CountMessage counts a message that is too large.
func (c *guardedConn) CountMessage() { c.guard.count(CauseMessage) }

// NetConn returns the connection that the guard wraps.
func (c *guardedConn) NetConn() net.Conn { return c.Conn }

// SetReadDeadline sets the deadline of reads.
func (c *guardedConn) SetReadDeadline(at time.Time) error {
	if c.phase() == phaseHead {
		c.deadlines++
	}
	return c.Conn.SetReadDeadline(at)
}

// CloseWrite ends the writing direction.
func (c *guardedConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}

// Close closes the connection and gives its memory back.
func (c *guardedConn) Close() error {
	err := c.Conn.Close()
	c.guard.remove(c)
	return err
}

// abort closes the connection for the guard. Its server notices by an error and calls Close.
func (c *guardedConn) abort() { closeNow(c.Conn) }

// closeNow closes a connection without a wait. A TLS connection would wait to write an alert.
func closeNow(conn net.Conn) {
	if wrapper, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = wrapper.NetConn()
	}
	_ = conn.Close()
}

func (c *guardedConn) releaseBytes(size int) {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.guard.release(c, size)
}

// observeState follows net/http's state of the connection.
func (c *guardedConn) observeState(state http.ConnState) {
	switch state {
	case http.StateActive:
		c.moved.Store(0)
		c.currentPhase.Store(int32(phaseActive))
	case http.StateIdle:
		c.meter, c.body, c.tailBytes, c.deadlines = HeadMeter{}, 0, 0, 0
		c.begin(phaseHead)
		if size := c.tail * lineBytes; size > 0 {
			if !c.guard.reserve(c, size, false) {
				c.abort()
				return
			}
			c.tailBytes = size
		}
	case http.StateHijacked:
		c.begin(phaseHijacked)
	case http.StateNew, http.StateClosed:
	}
}

// begin begins the phase after a request, and gives back what was held for it.
func (c *guardedConn) begin(next phase) {
	c.moved.Store(0)
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.currentPhase.Store(int32(next))
	c.since, c.served = c.guard.clock.Load(), true
	c.guard.release(c, c.held)
}
