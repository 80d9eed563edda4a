package jujubehttp_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"jujubepier.example/core/modules/jujubehttp"
)

const (
	// linkPause is how long the link, the sender or the server stops.
	linkPause       = 1700 * time.Millisecond
	testUserTimeout = 2 * time.Second
)

// heldServer is a server whose system acknowledges little more than the program reads, as at the end of a slow or cut link.
type heldServer struct {
	address string
	// pace is called after each read of at most 64 KB.
	pace func(ctx context.Context)

	mu sync.Mutex
	// completedAt are the times at which complete requests were read.
	completedAt []time.Time
}

func newHeldServer(t *testing.T, before, pace func(ctx context.Context)) *heldServer {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
	}}
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &heldServer{address: listener.Addr().String(), pace: pace}
	server := &http.Server{
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context { before(ctx); return ctx },
		Handler:     s,
	}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	t.Cleanup(func() {
		_ = server.Close()
		<-ended
	})
	return s
}

// ServeHTTP reads the request and responds.
func (s *heldServer) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	for remaining := r.ContentLength; remaining > 0; s.pace(r.Context()) {
		n, err := io.CopyN(io.Discard, r.Body, min(remaining, 64<<10))
		if err != nil {
			return
		}
		remaining -= n
	}
	s.mu.Lock()
	s.completedAt = append(s.completedAt, time.Now())
	s.mu.Unlock()
	if r.URL.Path == "/slow" {
		wait(r.Context(), linkPause)
	}
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func atOnce(context.Context) {}

// pausingReader is a body whose sender stops before its end.
type pausingReader struct {
	*bytes.Reader
	ctx context.Context
}

func (r pausingReader) Read(p []byte) (int, error) {
	if r.Len() < 4096 {
		wait(r.ctx, linkPause)
	}
	return r.Reader.Read(p[:min(len(p), 2048)])
}

// dialGuarded opens a connection with the user timeout that those to servers have, and returns how to read it. isHeld is true if the system
// held bytes without an acknowledgement meanwhile.
func dialGuarded(t *testing.T) (client *http.Client, userTimeout func() (timeout time.Duration, isHeld bool)) {
	var raw atomic.Value
	client = newTrackedClient(t, func(conn net.Conn) net.Conn {
		opened, err := conn.(*net.TCPConn).SyscallConn()
		assert.Check(t, err)
		assert.Check(t, opened.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(testUserTimeout.Milliseconds()))
		}))
		raw.Store(opened)
		return conn
	})
	return client, func() (timeout time.Duration, isHeld bool) {
		_ = raw.Load().(syscall.RawConn).Control(func(fd uintptr) {
			before, _ := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
			milliseconds, _ := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
			after, _ := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
			timeout, isHeld = time.Duration(milliseconds)*time.Millisecond, before > 0 && after > 0
		})
		return timeout, isHeld
	}
}

// sendGuarded sends a request with a permit, and with further ones if it is renewed.
func sendGuarded(ctx context.Context, client *http.Client, url string, body io.Reader, length int, valid time.Duration, isRenewed bool) (askedAt time.Time, err error) {
	var permits atomic.Int32
	ctx = jujubehttp.WithSendPermit(ctx, func() jujubehttp.SendPermit {
		if permits.Add(1) > 1 {
			return jujubehttp.SendPermit{Allowed: isRenewed, Valid: valid}
		}
		askedAt = time.Now()
		return jujubehttp.SendPermit{Allowed: true, Valid: valid}
	})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, io.NopCloser(body))
	if err != nil {
		return askedAt, err
	}
	request.ContentLength = int64(length)
	response, err := jujubehttp.SendOnce(client, request)
	if err != nil {
		return askedAt, err
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return askedAt, response.Body.Close()
}

// TestRequestIsTakenBack guards against a request that is complete at the server long after its permit has expired, because the rest of
// its body is written later, or because the system still holds what was written while the link is slow or cut; and against a slow request
// that breaks off although its permit is renewed.
func TestRequestIsTakenBack(t *testing.T) {
	const valid = 100 * time.Millisecond
	pause := func(ctx context.Context) { wait(ctx, linkPause) }
	for name, c := range map[string]struct {
		before, pace func(ctx context.Context)
		length       int
		path         string
		valid        time.Duration
		// slowBody stops the sender, and cancelAfter cancels the request; zero for never.
		slowBody    bool
		cancelAfter time.Duration
		isComplete  bool
		isRenewed   bool
	}{
		"a slow link, with more than the system holds": {atOnce, func(ctx context.Context) { wait(ctx, 20*time.Millisecond) }, 8 << 20, "/", valid, false, 0, false, false},
		"a cut link, with all held by the system":      {pause, atOnce, 128 << 10, "/", valid, false, 0, false, false},
		"a cut link, and the request is cancelled":     {pause, atOnce, 128 << 10, "/", valid, false, 50 * time.Millisecond, false, false},
		"a slow link, and the permit is renewed":       {atOnce, func(ctx context.Context) { wait(ctx, 20*time.Millisecond) }, 8 << 20, "/slow", valid, false, 0, true, true},
		"a sender that stops, and it is renewed":       {atOnce, atOnce, 32 << 10, "/slow", valid, true, 0, true, true},
		"a sender that stops before the end":           {atOnce, atOnce, 32 << 10, "/", valid, true, 0, false, false},
		"a healthy link, and a response after a while": {atOnce, atOnce, 2 << 20, "/slow", 1000 * time.Millisecond, false, 0, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := newHeldServer(t, c.before, c.pace)
			client, userTimeout := dialGuarded(t)
			longest := time.Duration(0)
			if c.isComplete {
				server.pace = func(ctx context.Context) {
					c.pace(ctx)
					if timeout, isHeld := userTimeout(); isHeld && !c.slowBody {
						longest = max(longest, timeout)
					}
				}
			}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if c.cancelAfter > 0 {
				time.AfterFunc(c.cancelAfter, cancel)
			}
			var body io.Reader = bytes.NewReader(make([]byte, c.length))
			if c.slowBody {
				body = pausingReader{bytes.NewReader(make([]byte, c.length)), ctx}
			}
			url := "http://" + server.address + c.path
			askedAt, err := sendGuarded(ctx, client, url, body, c.length, c.valid, c.isRenewed)
			took := time.Since(askedAt)
			time.Sleep(max(0, linkPause+300*time.Millisecond-took))
			server.mu.Lock()
			defer server.mu.Unlock()
			for _, at := range server.completedAt {
				t.Logf("complete at the server %s after the check", at.Sub(askedAt).Round(time.Millisecond))
			}
			assert.Equal(t, len(server.completedAt) == 1, c.isComplete)
			assert.Equal(t, err == nil, c.isComplete, "%v", err)
			assert.Assert(t, !errors.As(err, new(jujubehttp.ErrUnsent)), "it may have been read: %v", err)
			if c.isComplete {
				assert.Assert(t, c.slowBody || longest > 0 && longest <= c.valid+jujubehttp.SendMargin, "the system holds bytes for %s", longest)
				later, _ := userTimeout()
				assert.Equal(t, later, testUserTimeout, "that of later requests")
			} else {
				assert.Assert(t, took < linkPause || c.slowBody, "%s", took)
			}
		})
	}
}
