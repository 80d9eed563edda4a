package jujubenode_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubehttp"
	"jujubepier.example/entry/services/jujubenode"
)

// linkState is the state of an instance's links to the endpoints.
type linkState int

const (
	linksWork linkState = iota
	// linksRefuse refuse new connections and reset the open ones.
	linksRefuse
	// linksHang lose all packets.
	linksHang
)

// testLinks are the links of one instance to the endpoints.
type testLinks struct {
	mu    sync.Mutex
	state linkState
	conns []*linkedConn
	// onOpen is called with the address of each connection that was opened; may be nil.
	onOpen func(address string)
}

func (l *testLinks) setOnOpen(onOpen func(address string)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.onOpen = onOpen
}

func (l *testLinks) set(state linkState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = state
	for _, conn := range l.conns {
		if state == linksRefuse {
			_ = conn.Close()
		}
	}
}

func (l *testLinks) current() linkState {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state
}

// dial opens a connection over the links.
func (l *testLinks) dial(ctx context.Context, address string) (net.Conn, error) {
	const dialTimeout = 400 * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	switch l.current() {
	case linksRefuse:
		return nil, errors.Wrap(syscall.ECONNREFUSED, "link")
	case linksHang:
		<-ctx.Done()
		return nil, ctx.Err()
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	linked := &linkedConn{Conn: conn, links: l, closed: make(chan struct{})}
	l.mu.Lock()
	l.conns = append(l.conns, linked)
	onOpen := l.onOpen
	l.mu.Unlock()
	if onOpen != nil {
		onOpen(address)
	}
	return linked, nil
}

// proxy forwards connections to an address over the links until the test ends, and returns its own address.
func (l *testLinks) proxy(t *testing.T, address string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			inner, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = inner.Close() }()
				outer, err := l.dial(context.Background(), address)
				if err != nil {
					return
				}
				defer func() { _ = outer.Close() }()
				go func() {
					_, _ = io.Copy(outer, inner)
					_ = outer.Close()
				}()
				_, _ = io.Copy(inner, outer)
			}()
		}
	}()
	return listener.Addr().String()
}

// linkedConn loses what is sent and received while its links hang.
type linkedConn struct {
	net.Conn
	links     *testLinks
	closeOnce sync.Once
	closed    chan struct{}
}

func (c *linkedConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func (c *linkedConn) Write(p []byte) (int, error) {
	if c.links.current() == linksHang {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *linkedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.links.current() == linksHang {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// httpCaller is an EndpointCaller that sends HTTP requests over the connections that an instance opens.
type httpCaller struct {
	client *http.Client
}

func newHTTPCaller(t *testing.T, connect jujubenode.DialFunc) httpCaller {
	transport := jujubehttp.NewTransport(func(ctx context.Context, _, address string) (net.Conn, error) {
		conn, err := connect(ctx, address)
		if err != nil {
			return nil, errDial{err}
		}
		return conn, nil
	})
	t.Cleanup(transport.CloseIdleConnections)
	return httpCaller{&http.Client{Transport: transport}}
}

// errDial reports that a connection couldn't be opened.
type errDial struct{ error }

func (c httpCaller) Call(ctx context.Context, call jujubenode.Call) (jujubenode.Response, error) {
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+call.Address+call.URI, bytes.NewReader(call.Body))
	if err != nil {
		return jujubenode.Response{}, err
	}
	request.Header.Set("X-Request-Id", string(call.ID))
	response, err := jujubehttp.SendOnce(c.client, request)
	if err != nil {
		failed := jujubenode.ErrCall{Ran: model.RanUnknown, Refused: errors.As(err, new(errDial)), Reason: err.Error()}
		if failed.Refused || errors.As(err, new(jujubehttp.ErrUnsent)) {
			failed.Ran = model.RanNo
		}
		return jujubenode.Response{}, failed
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return jujubenode.Response{}, jujubenode.ErrCall{Ran: model.RanUnknown, Reason: err.Error()}
	}
	return jujubenode.Response{Status: response.StatusCode, Body: body, Stamp: "stamp"}, nil
}

func (c httpCaller) Stream(ctx context.Context, call jujubenode.Call) (jujubenode.StreamResponse, error) {
	response, err := c.Call(ctx, call)
	return jujubenode.StreamResponse{Response: response}, err
}
