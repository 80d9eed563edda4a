package jujubepeer_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"jujubepier.example/entry/modules/jujubepeer"
)

// startPeer serves tunnels and returns the address.
func startPeer(t *testing.T, open jujubepeer.OpenFunc) string {
	t.Helper()
	listener := listen(t)
	servePeer(t, listener, open)
	return listener.Addr().String()
}

func servePeer(t *testing.T, listener net.Listener, open jujubepeer.OpenFunc) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- jujubepeer.ServeWithTunnels(ctx, listener, Echo{}, open) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-ended)
	})
}

func dialDirect(ctx context.Context, address string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp", address)
}

// newTunnelClient returns an HTTP client whose connections go through a peer.
func newTunnelClient(t *testing.T, peer string) *http.Client {
	t.Helper()
	transport := &http.Transport{DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
		return jujubepeer.NewPool(nil).OpenTunnel(ctx, peer, jujubepeer.OpenArgs{Address: address, Timeout: time.Second})
	}}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// TestTunnelCarriesRequests guards against requests and responses that change or mix on their way through a peer, on connections
// that are used again.
func TestTunnelCarriesRequests(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		assert.Check(t, err)
		_, _ = w.Write(append([]byte(r.URL.Path+" "), body...))
	}))
	defer server.Close()
	client := newTunnelClient(t, startPeer(t, dialDirect))
	for i := range 20 {
		body := strings.Repeat(fmt.Sprint(i%10), i*20_000)
		response, err := client.Post(fmt.Sprintf("%s/%d", server.URL, i), "text/plain", strings.NewReader(body))
		assert.NilError(t, err)
		data, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		assert.Assert(t, string(data) == fmt.Sprintf("/%d %s", i, body))
	}
}

// TestTunnelEndsWithItsCaller guards against work that a server goes on with for a caller that has left, because the peer waits for
// the response and keeps the connection open.
func TestTunnelEndsWithItsCaller(t *testing.T) {
	for name, sendsFirst := range map[string]bool{"before the response": false, "within the response": true} {
		t.Run(name, func(t *testing.T) {
			received, ended := make(chan struct{}), make(chan struct{})
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if sendsFirst {
					_, _ = io.WriteString(w, "first")
					_ = http.NewResponseController(w).Flush()
				}
				close(received)
				<-r.Context().Done()
				close(ended)
			}))
			defer server.Close()
			client := newTunnelClient(t, startPeer(t, dialDirect))
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go func() {
				<-received
				cancel()
			}()
			request, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL, nil)
			assert.NilError(t, err)
			response, err := client.Do(request)
			if err == nil {
				_, err = io.ReadAll(response.Body)
				_ = response.Body.Close()
			}
			assert.Assert(t, errors.Is(err, context.Canceled), "%v", err)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				select {
				case <-ended:
					return poll.Success()
				default:
					return poll.Continue("the server still works")
				}
			}, poll.WithTimeout(10*time.Second))
		})
	}
}

// TestTunnelPassesDataOnAtOnce guards against events of a stream that wait at the peer for more of them.
func TestTunnelPassesDataOnAtOnce(t *testing.T) {
	received := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "first")
		_ = http.NewResponseController(w).Flush()
		<-received
	}))
	defer server.Close()
	response, err := newTunnelClient(t, startPeer(t, dialDirect)).Get(server.URL)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	data := make([]byte, 5)
	_, err = io.ReadFull(response.Body, data)
	assert.NilError(t, err)
	assert.Equal(t, string(data), "first")
	close(received)
}

// TestTunnelEndsWithServer guards against a response that is reset at the server and looks complete behind the peer: it has no
// length and ends with its connection.
func TestTunnelEndsWithServer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	answered := make(chan struct{})
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 4096))
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nfirst")
		<-answered
		_ = conn.(*net.TCPConn).SetLinger(0) // closing resets the connection
		_ = conn.Close()
	}()
	response, err := newTunnelClient(t, startPeer(t, dialDirect)).Get("http://" + listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	close(answered)
	_, err = io.ReadAll(response.Body)
	assert.Assert(t, err != nil)
}

// TestResetReportedToAWrite guards against a response that is reset at the server and looks complete behind the peer, because the peer's
// system has reported the reset to a write of the upload. A response that has ended in order before stays complete.
func TestResetReportedToAWrite(t *testing.T) {
	for name, isOrderly := range map[string]bool{"reset": false, "reset after an end in order": true} {
		t.Run(name, func(t *testing.T) {
			listener := listen(t)
			received := make(chan struct{})
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				_, _ = io.WriteString(conn, "part")
				<-received
				if isOrderly {
					_ = conn.(*net.TCPConn).CloseWrite()
				}
				_ = conn.(*net.TCPConn).SetLinger(0) // closing resets the connection
				_ = conn.Close()
			}()
			args := jujubepeer.OpenArgs{Address: listener.Addr().String(), Timeout: time.Second}
			conn, err := jujubepeer.NewPool(nil).OpenTunnel(t.Context(), startPeer(t, dialDirect), args)
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			_, err = io.ReadFull(conn, make([]byte, 4))
			assert.NilError(t, err)
			close(received)
			for err == nil {
				_, err = conn.Write(make([]byte, 64<<10))
			}
			_, err = conn.Read(make([]byte, 1))
			assert.Equal(t, errors.Is(err, io.EOF), isOrderly, "%v", err)
		})
	}
}

// TestTunnelRefusals checks that a caller can distinguish a peer that couldn't connect to the endpoint from one that opens no
// connections for others, which says nothing about the endpoint.
func TestTunnelRefusals(t *testing.T) {
	refused := startPeer(t, func(context.Context, string) (net.Conn, error) { return nil, errors.New("no route") })
	_, err := jujubepeer.NewPool(nil).OpenTunnel(t.Context(), refused, jujubepeer.OpenArgs{Address: "x", Timeout: time.Second})
	var peerRefused jujubepeer.ErrPeerRefused
	assert.Assert(t, errors.As(err, &peerRefused))
	assert.Equal(t, peerRefused.Reason, "no route")
	unable := startPeer(t, func(context.Context, string) (net.Conn, error) {
		return nil, jujubepeer.ErrPeerUnable{Reason: "leaving"}
	})
	_, err = jujubepeer.NewPool(nil).OpenTunnel(t.Context(), unable, jujubepeer.OpenArgs{Address: "x", Timeout: time.Second})
	var peerUnable jujubepeer.ErrPeerUnable
	assert.Assert(t, errors.As(err, &peerUnable))
}
