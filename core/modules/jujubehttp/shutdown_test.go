package jujubehttp_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubepier.example/core/modules/jujubehttp"
)

// lateListener accepts its only connection after Close has been called.
type lateListener struct {
	net.Listener
	// accepting receives a value on each call of Accept.
	accepting chan struct{}
	closed    chan struct{}
	conns     chan net.Conn
}

func (l *lateListener) Accept() (net.Conn, error) {
	l.accepting <- struct{}{}
	<-l.closed
	// Let the server's Shutdown continue in the background.
	time.Sleep(20 * time.Millisecond)
	select {
	case conn := <-l.conns:
		return conn, nil
	default:
		return nil, net.ErrClosed
	}
}

func (l *lateListener) Close() error {
	select {
	case <-l.closed:
	default:
		close(l.closed)
	}
	return nil
}

// TestShutdownAnswersLateConnection guards against a request that is interrupted because its connection was accepted while
// the listener was being closed. In TestShutdownInterruptsNothing such a request, started after the shutdown, ended with EOF.
func TestShutdownAnswersLateConnection(t *testing.T) {
	client, conn := net.Pipe()
	assert.NilError(t, client.SetDeadline(time.Now().Add(10*time.Second)))
	listener := &lateListener{accepting: make(chan struct{}, 8), closed: make(chan struct{}), conns: make(chan net.Conn, 1)}
	listener.conns <- conn
	server := jujubehttp.Serve(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	})}, listener)
	<-listener.accepting
	ended := make(chan struct{})
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	go func() {
		server.Shutdown(ctx)
		server.Close() // as at the exit of the process
		close(ended)
	}()
	time.Sleep(60 * time.Millisecond)
	_, err := io.WriteString(client, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	assert.NilError(t, err)
	response, err := io.ReadAll(client)
	assert.NilError(t, err)
	assert.Assert(t, len(response) > 0, "the connection was closed without a response")
	<-ended
}
