package jujubehttp

import (
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"jujubepier.example/core/modules/jujubeclock"
)

// ErrUnsent reports that nothing of a request was sent, although there was a connection.
type ErrUnsent struct {
	Cause error
}

// Error returns the cause.
func (e ErrUnsent) Error() string { return "not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e ErrUnsent) Unwrap() error { return e.Cause }

// errConnAbandoned is returned for a write to a connection that mustn't be used any more.
var errConnAbandoned = errors.New("the connection is abandoned")

// TrackedConn is a connection for Do and SendOnce, on which responses are checked.
type TrackedConn struct {
	net.Conn
	// OpenedAt is when the connection was opened.
	OpenedAt time.Time
	guard    *SendGuard

	mu sync.Mutex
	// writes counts the writes that have sent bytes, may have sent some or are in progress.
	writes int
	// abandoned refuses further writes.
	abandoned bool
	// check is asked before the next write; nil for none. denied is true once it has refused one.
	check  func() SendPermit
	denied bool
	// expiresAt is when the permit of the current request expires; zero if it doesn't.
	expiresAt jujubeclock.Instant
	// head follows the head of the response to the current request. wasUsed is true from the first request on.
	head    responseHead
	wasUsed bool
}

// TrackConn wraps a connection that has just been opened.
func TrackConn(conn net.Conn) *TrackedConn {
	conn = KeepReset(conn)
	return &TrackedConn{Conn: conn, OpenedAt: time.Now(), guard: NewSendGuard(conn)}
}

// Close closes the connection. A request with a limited permit that the server hasn't got yet doesn't reach it any more.
func (c *TrackedConn) Close() error { return c.guard.Close() }

// Read reads from the connection. It returns ErrInvalidHead in place of an invalid line in a response's head, before net/http has decided by
// the head where the body ends.
func (c *TrackedConn) Read(p []byte) (int, error) {
	// net/http may read on after an error, and must not wait for more then.
	if err := c.headError(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if accepted, headErr := c.head.follow(p[:n]); headErr != nil {
		return accepted, headErr
	}
	return n, err
}

func (c *TrackedConn) headError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.err
}

// expectResponse prepares the connection for the response to a request that is going to be sent. A server may respond to the first one before.
func (c *TrackedConn) expectResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.wasUsed {
		c.head = responseHead{}
	}
	c.wasUsed = true
}

// hasResponse reports whether the whole head of the response to the current request has arrived since the request before.
func (c *TrackedConn) hasResponse() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.state == headEnded
}

// Write writes to the connection unless it is abandoned.
func (c *TrackedConn) Write(p []byte) (int, error) {
	expiresAt, ok := c.beginWrite()
	if !ok {
		return 0, errConnAbandoned
	}
	n, err := c.writeBefore(p, expiresAt)
	if err == nil || n > 0 {
		return n, err
	}
	if _, isSocket := c.Conn.(syscall.Conn); !isSocket && !errors.As(err, new(ErrWriteExpired)) {
		// The outcome of a failed write through another instance isn't known, and net/http takes a count of zero for its outcome.
		return min(1, len(p)), err
	}
	c.mu.Lock()
	c.writes--
	c.mu.Unlock()
	return 0, err
}

// writeBefore writes to the connection. An instant of zero is no limit.
func (c *TrackedConn) writeBefore(p []byte, expiresAt jujubeclock.Instant) (int, error) {
	if limited, ok := c.Conn.(LimitedConn); ok && expiresAt != 0 {
		return limited.WriteBefore(p, expiresAt)
	}
	return c.guard.Write(p)
}

// beginWrite counts a write, and reports whether it is allowed and until when; zero for no limit.
func (c *TrackedConn) beginWrite() (expiresAt jujubeclock.Instant, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	check := c.check
	c.check = nil
	if check != nil && !c.abandoned {
		askedAt := jujubeclock.Now()
		permit := check()
		switch {
		case !permit.Allowed || permit.Valid < 0:
			c.abandoned, c.denied = true, true
		case permit.Valid > 0:
			c.expiresAt = askedAt.Add(permit.Valid)
			c.guard.Limit(c.expiresAt, renewal(check))
		}
	}
	if c.abandoned {
		return 0, false
	}
	c.writes++
	return c.expiresAt, true
}

// renewal returns a function that asks a check for a further permit.
func renewal(check func() SendPermit) func() (jujubeclock.Instant, bool) {
	return func() (jujubeclock.Instant, bool) {
		askedAt, permit := jujubeclock.Now(), check()
		if permit.Valid == 0 {
			return 0, permit.Allowed
		}
		return askedAt.Add(permit.Valid), permit.Allowed && permit.Valid > 0
	}
}

// begin prepares the connection for a request, and returns the count of its writes.
func (c *TrackedConn) begin(check func() SendPermit) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.check, c.expiresAt = check, 0
	c.guard.Limit(0, nil)
	return c.writes
}

// isDenied reports whether the check of a request has refused it.
func (c *TrackedConn) isDenied() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.denied
}

// abandon refuses further writes if none has begun since the count, and reports whether that is so.
func (c *TrackedConn) abandon(count int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes != count {
		return false
	}
	c.abandoned = true
	return true
}

// hasInput reports whether the connection has unread bytes or has reached its end.
func (c *TrackedConn) hasInput() bool {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true
	}
	hasInput := false
	err = raw.Control(func(descriptor uintptr) {
		var buffer [1]byte
		_, _, err := syscall.Recvfrom(int(descriptor), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		hasInput = err == nil || errors.Is(err, syscall.ECONNRESET)
	})
	return hasInput || err != nil
}

// sendAttempt tracks one request on one connection.
type sendAttempt struct {
	// check may be nil.
	check func() SendPermit

	mu     sync.Mutex
	conn   *TrackedConn
	count  int
	reused bool
}

// gotConn begins the request on a connection. One that was kept open and that the server has closed since isn't used.
func (a *sendAttempt) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*TrackedConn)
	if !ok {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn, a.count, a.reused = conn, conn.begin(a.check), info.Reused
	if info.Reused && conn.hasInput() {
		conn.abandon(a.count)
	}
}

// abandon reports whether nothing was sent on the connection, and nothing will be, and whether another connection may do better.
func (a *sendAttempt) abandon() (unsent, mayRepeat bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.conn != nil && a.conn.abandon(a.count), a.reused && !a.conn.isDenied()
}

// SendOnce sends a request on one connection only, whatever its method and headers. By itself, net/http sends some requests again
// when a connection that was kept open breaks, although the server may have run them. SendOnce uses a further connection only if
// nothing was sent on the one before. The client's connections have to be TrackedConns.
func SendOnce(client *http.Client, request *http.Request) (*http.Response, error) {
	for {
		attempt := new(sendAttempt)
		attempt.check, _ = request.Context().Value(sendCheckKey{}).(func() SendPermit)
		sent := request.Clone(request.Context())
		canRepeatBody := isBodyless(request)
		if request.GetBody != nil {
			body, err := request.GetBody()
			if err != nil {
				return nil, errors.Wrap(err, "request body")
			}
			sent.Body, canRepeatBody = body, true
		}
		preventReplay(sent)
		response, err := do(client, sent, attempt.gotConn)
		if err == nil {
			return response, nil
		}
		unsent, mayRepeat := attempt.abandon()
		switch {
		case !unsent:
			return nil, err
		case !mayRepeat || !canRepeatBody || request.Context().Err() != nil:
			return nil, ErrUnsent{err}
		}
		// The connection isn't kept any longer, so the next one is another or a new one.
	}
}

func isBodyless(request *http.Request) bool {
	return request.Body == nil || request.Body == http.NoBody
}

// preventReplay makes net/http take the request for one that it can't send again: one with a body that it can't rewind or, without a
// body, one that has another method than those which it takes for idempotent, and no header that says so.
func preventReplay(request *http.Request) {
	request.GetBody = nil
	if !isBodyless(request) {
		return
	}
	switch request.Method {
	case "", http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		// The encoding keeps net/http from adding the header of an empty body.
		request.Body, request.TransferEncoding = io.NopCloser(strings.NewReader("")), []string{"identity"}
		return
	}
	for _, name := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
		if values, ok := request.Header[name]; ok {
			delete(request.Header, name)
			request.Header[strings.ToLower(name)] = values // net/http looks for the canonical name only
		}
	}
}
