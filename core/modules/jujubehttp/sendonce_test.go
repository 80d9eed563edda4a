package jujubehttp_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"jujubepier.example/core/modules/jujubehttp"
)

// rawServer reads requests from its connections and passes them to serve, which reports whether the connection stays open. The body of a
// request for /early isn't read.
type rawServer struct {
	address string

	mu sync.Mutex
	// received counts the requests by target; connections counts all connections.
	received    map[string]int
	connections int
	bodies      []string
	headers     []http.Header
	encodings   [][]string
}

func newRawServer(t *testing.T, serve func(target string, conn net.Conn) bool) *rawServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &rawServer{address: listener.Addr().String(), received: map[string]int{}}
	t.Cleanup(func() { assert.NilError(t, listener.Close()) })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.connections++
			s.mu.Unlock()
			go s.serveConn(conn, serve)
		}
	}()
	return s
}

func (s *rawServer) serveConn(conn net.Conn, serve func(target string, conn net.Conn) bool) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		var body []byte
		if request.RequestURI != "/early" {
			body, _ = io.ReadAll(request.Body)
		}
		s.mu.Lock()
		s.received[request.RequestURI]++
		s.bodies, s.headers = append(s.bodies, string(body)), append(s.headers, request.Header)
		s.encodings = append(s.encodings, request.TransferEncoding)
		s.mu.Unlock()
		if !serve(request.RequestURI, conn) {
			return
		}
	}
}

func (s *rawServer) count(target string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.received[target]
}

func (s *rawServer) countConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.connections
}

func respond(conn net.Conn) {
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
}

// reset closes a connection with a reset.
func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// newTrackedClient returns a client whose connections are wrapped by wrap.
func newTrackedClient(t *testing.T, wrap func(net.Conn) net.Conn) *http.Client {
	transport := jujubehttp.NewTransport(func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return wrap(conn), nil
	})
	transport.MaxIdleConnsPerHost = 8
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

func sameConn(conn net.Conn) net.Conn { return conn }

func send(t *testing.T, client *http.Client, method, url, header, body string) error {
	request, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	assert.NilError(t, err)
	if header != "" {
		request.Header.Set(header, "key")
	}
	response, err := jujubehttp.SendOnce(client, request)
	if err != nil {
		return err
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.Body.Close()
}

// TestLostResponseIsntSentAgain guards against requests that run twice, because net/http sends those again that it takes for
// idempotent when the server loses the response on a connection that was kept open.
func TestLostResponseIsntSentAgain(t *testing.T) {
	methods := []string{"GET", "HEAD", "OPTIONS", "TRACE", "POST", "PUT", "PATCH", "DELETE", "LOOKUP"}
	for name, lose := range map[string]func(net.Conn){
		"reset":  reset,
		"closed": func(conn net.Conn) { _ = conn.Close() },
		"cut":    func(conn net.Conn) { _, _ = io.WriteString(conn, "HTT"); _ = conn.Close() },
	} {
		server := newRawServer(t, func(target string, conn net.Conn) bool {
			if strings.HasPrefix(target, "/lost") {
				lose(conn)
				return false
			}
			respond(conn)
			return true
		})
		client := newTrackedClient(t, sameConn)
		number := 0
		for _, method := range methods {
			for _, header := range []string{"", "Idempotency-Key", "X-Idempotency-Key"} {
				for _, body := range []string{"", "body"} {
					if method == "TRACE" && body != "" {
						continue
					}
					t.Run(fmt.Sprint(name, " ", method, " ", header, " ", body), func(t *testing.T) {
						number++
						assert.NilError(t, send(t, client, "GET", "http://"+server.address+"/kept", "", ""))
						target := fmt.Sprint("/lost/", number)
						err := send(t, client, method, "http://"+server.address+target, header, body)
						assert.Assert(t, err != nil)
						assert.Assert(t, !errors.As(err, new(jujubehttp.ErrUnsent)), "%v", err)
						assert.Equal(t, server.count(target), 1)
					})
				}
			}
		}
	}
}

// TestRequestIsUnchanged guards against requests that reach the server with another body or without a header, as net/http is kept
// from sending them again.
func TestRequestIsUnchanged(t *testing.T) {
	server := newRawServer(t, func(_ string, conn net.Conn) bool { respond(conn); return true })
	client := newTrackedClient(t, sameConn)
	for _, method := range []string{"GET", "OPTIONS", "TRACE", "POST", "PUT", "DELETE"} {
		for _, body := range []string{"", "body"} {
			if method == "TRACE" && body != "" {
				continue
			}
			assert.NilError(t, send(t, client, method, "http://"+server.address+"/x", "Idempotency-Key", body))
			header := server.headers[len(server.headers)-1]
			assert.Equal(t, server.bodies[len(server.bodies)-1], body, "%s", method)
			assert.Equal(t, header.Get("Idempotency-Key"), "key", "%s", method)
			assert.Equal(t, len(server.encodings[len(server.encodings)-1]), 0, "%s", method)
			hasLength := body != "" || method == "POST" || method == "PUT"
			assert.Equal(t, header.Get("Content-Length") != "", hasLength, "%s", method)
		}
	}
	assert.Equal(t, server.connections, 1)
}

// TestClosedKeptConnection guards against requests that fail because the server has closed the connection before anything was sent
// on it.
func TestClosedKeptConnection(t *testing.T) {
	for name, end := range map[string]func(net.Conn){"closed": func(conn net.Conn) { _ = conn.Close() }, "reset": reset} {
		t.Run(name, func(t *testing.T) {
			server := newRawServer(t, func(_ string, conn net.Conn) bool {
				respond(conn)
				end(conn)
				return false
			})
			client := newTrackedClient(t, sameConn)
			for i := range 200 {
				method := []string{"GET", "POST"}[i%2]
				target := fmt.Sprint("/", i)
				if err := send(t, client, method, "http://"+server.address+target, "", "body"[:4*(i/2%2)]); err != nil {
					// The end arrived after the request was sent; then the server hasn't read it here, but may have elsewhere.
					assert.Assert(t, !errors.As(err, new(jujubehttp.ErrUnsent)), "%v", err)
					assert.Equal(t, server.count(target), 0)
					continue
				}
				assert.Equal(t, server.count(target), 1)
				time.Sleep(time.Millisecond) // the end arrives, and may be unread
			}
		})
	}
}

// slowConn is a socket whose end is reported late.
type slowConn struct {
	*net.TCPConn
}

func (c slowConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if err != nil {
		time.Sleep(200 * time.Millisecond)
	}
	return n, err
}

// TestEndOfKeptConnectionIsSeen guards against a request that is sent on a connection which the server has closed, as net/http hasn't
// read the end yet: its outcome would be unknown, although nothing had to be sent.
func TestEndOfKeptConnectionIsSeen(t *testing.T) {
	server := newRawServer(t, func(target string, conn net.Conn) bool {
		respond(conn)
		return target != "/last"
	})
	client := newTrackedClient(t, func(conn net.Conn) net.Conn { return slowConn{conn.(*net.TCPConn)} })
	for _, method := range []string{"GET", "POST"} {
		for _, body := range []string{"", "body"} {
			assert.NilError(t, send(t, client, "GET", "http://"+server.address+"/last", "", ""))
			time.Sleep(30 * time.Millisecond) // the end arrives
			target := fmt.Sprint("/next/", method, body)
			assert.NilError(t, send(t, client, method, "http://"+server.address+target, "", body))
			assert.Equal(t, server.count(target), 1)
		}
	}
}

// failingConn fails its writes after the first ones, although they reach the other end.
type failingConn struct {
	net.Conn
	healthy *int
}

func (c failingConn) Write(p []byte) (int, error) {
	*c.healthy--
	if *c.healthy >= 0 {
		return c.Conn.Write(p)
	}
	_, _ = c.Conn.Write(p)
	time.Sleep(50 * time.Millisecond)
	return 0, errors.New("write failed")
}

// TestFailedWriteMayHaveBeenSent guards against a request that is sent again after a write whose outcome isn't known, such as one
// through another instance.
func TestFailedWriteMayHaveBeenSent(t *testing.T) {
	for _, method := range []string{"GET", "POST"} {
		for _, body := range []string{"", "body"} {
			server := newRawServer(t, func(target string, conn net.Conn) bool {
				if target == "/kept" {
					respond(conn)
				}
				return true
			})
			healthy := 1
			client := newTrackedClient(t, func(conn net.Conn) net.Conn { return failingConn{conn, &healthy} })
			assert.NilError(t, send(t, client, "GET", "http://"+server.address+"/kept", "", ""))
			err := send(t, client, method, "http://"+server.address+"/once", "", body)
			assert.Assert(t, err != nil && !errors.As(err, new(jujubehttp.ErrUnsent)), "%v", err)
			assert.Equal(t, server.count("/once"), 1)
		}
	}
}

// TestSendCheck guards against a request that is sent although it mustn't be any more when its connection is open.
func TestSendCheck(t *testing.T) {
	server := newRawServer(t, func(_ string, conn net.Conn) bool { respond(conn); return true })
	client := newTrackedClient(t, sameConn)
	for _, isKept := range []bool{false, true} {
		if isKept {
			assert.NilError(t, send(t, client, "GET", "http://"+server.address+"/kept", "", ""))
		}
		checks := 0
		ctx := jujubehttp.WithSendCheck(t.Context(), func() bool { checks++; return false })
		request, err := http.NewRequestWithContext(ctx, "POST", "http://"+server.address+"/late", strings.NewReader("body"))
		assert.NilError(t, err)
		_, err = jujubehttp.SendOnce(client, request)
		assert.Assert(t, errors.As(err, new(jujubehttp.ErrUnsent)), "%v", err)
		assert.Equal(t, checks, 1)
	}
	time.Sleep(20 * time.Millisecond)
	assert.Equal(t, server.count("/late"), 0)
}
