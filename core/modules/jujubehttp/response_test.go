package jujubehttp_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"jujubepier.example/core/modules/jujubehttp"
)

// failedWriteConn is a socket whose failed write gets the connection's error before any read does, and returns after the next read.
type failedWriteConn struct {
	*net.TCPConn
	hasRead bool
	// failed ends when a write has failed, ended when a read has, or the connection is closed.
	failed, ended context.Context
	fail, end     context.CancelFunc
}

func newFailedWriteConn(conn net.Conn) net.Conn {
	c := &failedWriteConn{TCPConn: conn.(*net.TCPConn)}
	c.failed, c.fail = context.WithCancel(context.Background())
	c.ended, c.end = context.WithCancel(context.Background())
	return c
}

func (c *failedWriteConn) Read(p []byte) (int, error) {
	if c.hasRead {
		<-c.failed.Done()
	}
	n, err := c.TCPConn.Read(p)
	c.hasRead = true
	if err != nil {
		c.end()
	}
	return n, err
}

func (c *failedWriteConn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	if err != nil {
		c.fail()
		<-c.ended.Done()
	}
	return n, err
}

func (c *failedWriteConn) Close() error {
	c.end()
	return c.TCPConn.Close()
}

// TestEndOfEarlyResponse guards against a response without a length that counts as complete although its connection was reset: the system
// reports the reset once, and a write of the upload may get it. Responses that end in order stay complete whatever becomes of the upload.
func TestEndOfEarlyResponse(t *testing.T) {
	endAndReset := func(conn net.Conn) {
		_ = conn.(*net.TCPConn).CloseWrite()
		_, _ = io.CopyN(io.Discard, conn, 1<<20)
		reset(conn)
	}
	endAndRead := func(conn net.Conn) {
		_ = conn.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, conn)
	}
	for name, c := range map[string]struct {
		head string
		end  func(conn net.Conn)
		// chunked is true for a body in chunks, with the last one.
		chunked bool
		// isRead is true if the server reads the whole upload.
		isRead, isWhole bool
	}{
		"no length, reset":                     {head: "HTTP/1.1 200 OK\r\n\r\n", end: reset},
		"Connection: close, reset":             {head: "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", end: reset},
		"HTTP/1.0, reset":                      {head: "HTTP/1.0 200 OK\r\n\r\n", end: reset},
		"interim response, no length, reset":   {head: "HTTP/1.1 103 X\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", end: reset},
		"short of its length, reset":           {head: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", end: reset},
		"short of its last chunk, reset":       {head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n", end: reset},
		"length, reset":                        {head: "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", end: reset, isWhole: true},
		"interim response, length, reset":      {head: "HTTP/1.1 103 X\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", end: reset, isWhole: true},
		"chunks, reset":                        {head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", chunked: true, end: reset, isWhole: true},
		"no length, end in order":              {head: "HTTP/1.1 200 OK\r\n\r\n", end: endAndRead, isRead: true, isWhole: true},
		"Connection: close, end in order":      {head: "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", end: endAndRead, isRead: true, isWhole: true},
		"HTTP/1.0, end in order":               {head: "HTTP/1.0 200 OK\r\n\r\n", end: endAndRead, isRead: true, isWhole: true},
		"no length, end in order, later reset": {head: "HTTP/1.1 200 OK\r\n\r\n", end: endAndReset, isWhole: true},
	} {
		for sent, do := range map[string]func(*http.Client, *http.Request) (*http.Response, error){"once": jujubehttp.SendOnce, "plainly": jujubehttp.Do} {
			t.Run(name+", sent "+sent, func(t *testing.T) {
				t.Parallel()
				server := newRawServer(t, func(_ string, conn net.Conn) bool {
					_, _ = io.WriteString(conn, c.head+map[bool]string{false: "part", true: "4\r\npart\r\n0\r\n\r\n"}[c.chunked])
					c.end(conn)
					return false
				})
				wrap := newFailedWriteConn
				if c.isRead {
					wrap = sameConn
				}
				request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+server.address+"/early", strings.NewReader(strings.Repeat("x", 16<<20)))
				assert.NilError(t, err)
				response, err := do(newTrackedClient(t, wrap), request)
				assert.NilError(t, err)
				body, err := io.ReadAll(response.Body)
				assert.NilError(t, response.Body.Close())
				assert.Equal(t, err == nil, c.isWhole, "%v", err)
				assert.Equal(t, string(body), "part")
			})
		}
	}
}
