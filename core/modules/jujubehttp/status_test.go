package jujubehttp_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"jujubepier.example/core/modules/jujubehttp"
)

// byteConn is a connection that returns one byte with each read.
type byteConn struct{ net.Conn }

func (c byteConn) Read(p []byte) (int, error) { return c.Conn.Read(p[:min(1, len(p))]) }

// TestInvalidResponses guards against responses being taken for answers although their status is none, as net/http accepts any three characters
// that are a number, or the name of a field is none: net/http passes it on if it has blanks, and decides without it where the body ends.
func TestInvalidResponses(t *testing.T) {
	const body = "Content-Length: 2\r\n\r\nok"
	type invalid int
	const (
		sound invalid = iota
		status
		head
	)
	responses := map[string]invalid{
		"HTTP/1.1 200\r\n" + body: sound, "HTTP/1.1  200 X\r\n" + body: sound, "HTTP/1.1 200 X\nContent-Length: 2\n\nok": sound,
		"HTTP/1.1 103 X\r\nA: b\r\n\r\nHTTP/1.1 200 X\r\n" + body: sound, "HTTP/1.1  100\r\n\r\nHTTP/1.1 200 X\r\n" + body: sound,
		"HTTP/1.1 103 X\r\nA B: c\r\n\r\nHTTP/1.1 200 X\r\n" + body: head,
		"HTTP/1.1 200 X\r\nContent-Length : 2\r\n\r\nok":            head,
		"HTTP/1.1 200 X\r\nTransfer-Encoding : chunked\r\n" + body:  head,
		"HTTP/1.1 200 X\r\nA: b\r\n Content-Length: 2\r\n\r\nok":    head,
	}
	for _, code := range []string{"000", "001", "042", "099", "+20", "101", "600", "999"} {
		responses["HTTP/1.1 "+code+" X\r\n"+body] = status
	}
	for _, code := range []string{"302", "404", "500", "599"} {
		responses["HTTP/1.1 "+code+" X\r\n"+body] = sound
	}
	for _, line := range []string{"A:", "A:b", "A:\tb c : d", "!#$%&'*+-.^_`|~09Az: b"} {
		responses["HTTP/1.1 200 X\r\n"+line+"\r\n"+body] = sound
	}
	for _, line := range []string{
		"A B: c", "A : b", " A: b", "\tA: b", "A\t: b", "A\x00: b", "A\x01B: c", "A\x7f: b", "A\rB: c", "\rA: b", "\u00c4: b", "A(B): c", "A\x0b: b", ": b", "A",
	} {
		responses["HTTP/1.1 200 X\r\n"+line+"\r\n"+body] = head
		responses["HTTP/1.1 200 X\r\nA: b\r\n"+line+"\r\n"+body] = head
	}
	server := newRawServer(t, func(target string, conn net.Conn) bool {
		response, err := url.PathUnescape(target[1:])
		assert.Check(t, err)
		_, _ = io.WriteString(conn, response)
		return true
	})
	for name, do := range map[string]func(*http.Client, *http.Request) (*http.Response, error){"once": jujubehttp.SendOnce, "plainly": jujubehttp.Do} {
		for arrives, wrap := range map[string]func(net.Conn) net.Conn{"whole": sameConn, "byte by byte": func(conn net.Conn) net.Conn { return byteConn{conn} }} {
			client := newTrackedClient(t, wrap)
			client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
			opened := server.countConnections()
			want := opened + 1
			for text, kind := range responses {
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+server.address+"/"+url.PathEscape(text), http.NoBody)
				assert.NilError(t, err)
				response, err := do(client, request)
				got := sound
				switch {
				case errors.As(err, new(jujubehttp.ErrInvalidStatus)):
					got = status
				case errors.As(err, new(jujubehttp.ErrInvalidHead)):
					got = head
					assert.Check(t, !strings.Contains(err.Error(), "ok"), "the body is logged: %v", err)
				}
				assert.Check(t, got == kind && (err == nil) == (kind == sound), "%q sent %s, arrives %s: %v", text, name, arrives, err)
				if err == nil {
					data, err := io.ReadAll(response.Body)
					assert.Check(t, err == nil && string(data) == "ok", "%q: %q, %v", text, data, err)
					assert.NilError(t, response.Body.Close())
				} else {
					want++ // an invalid response ends its connection
				}
				cancel()
			}
			opened = server.countConnections()
			assert.Check(t, opened == want || opened == want-1, "%d connections, not %d", opened, want)
		}
	}
	for target, count := range server.received {
		assert.Check(t, count == 4, "%s was sent %d times", target, count)
	}
}

// earlyTransport responds to each request on the same connection, without reading from it.
type earlyTransport struct{ conn net.Conn }

func (t earlyTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	httptrace.ContextClientTrace(request.Context()).GotConn(httptrace.GotConnInfo{Conn: t.conn})
	return &http.Response{StatusCode: http.StatusOK, Body: http.NoBody, Request: request}, nil
}

// TestResponseBeforeRequest guards against an unchecked head: a server sends more than one response to a request, and the next request on the
// connection gets the second, which was read together with the first.
func TestResponseBeforeRequest(t *testing.T) {
	client, server := net.Pipe()
	go func() { _, _ = io.WriteString(server, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n") }()
	conn := jujubehttp.TrackConn(client)
	_, err := io.ReadFull(conn, make([]byte, len("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")))
	assert.NilError(t, err)
	for _, isFirst := range []bool{true, false} {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://server/", http.NoBody)
		assert.NilError(t, err)
		_, err = jujubehttp.Do(&http.Client{Transport: earlyTransport{conn}}, request)
		assert.Equal(t, errors.As(err, new(jujubehttp.ErrInvalidHead)), !isFirst, "%v", err)
	}
}

// TestHandlerPanic guards against a panic of a handler that ends without a trace, or that leaves a response behind which looks complete.
func TestHandlerPanic(t *testing.T) {
	var reports []any
	handler := jujubehttp.ReportPanics(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusOK)
		switch r.URL.Path {
		case "/abort":
			panic(http.ErrAbortHandler)
		case "/fault":
			panic("a fault")
		}
	}), func(_ *http.Request, value any, stack []byte) {
		assert.Check(t, len(stack) > 0)
		reports = append(reports, value)
	})
	server := httptest.NewServer(handler)
	defer server.Close()
	for _, c := range []struct {
		path       string
		isComplete bool
		reports    int
	}{{"/sound", true, 0}, {"/abort", false, 0}, {"/fault", false, 1}, {"/sound", true, 1}} {
		response, err := http.Get(server.URL + c.path)
		if err == nil {
			_, err = io.ReadAll(response.Body)
			_ = response.Body.Close()
		}
		assert.Check(t, (err == nil) == c.isComplete && len(reports) == c.reports, "%s: %v, %v", c.path, err, reports)
	}
}
