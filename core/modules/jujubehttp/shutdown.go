package jujubehttp

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Server serves HTTP on a listener and shuts down without interrupting a request.
type Server struct {
	server   *http.Server
	listener net.Listener
	// done is closed when serving has ended.
	done chan struct{}
	// serveErr receives the error that ended serving, or nil after Shutdown or Close.
	serveErr chan error

	mu sync.Mutex
	// busyConns maps each new or active connection to the time until which it counts as busy. The zero time, for a connection
	// with a request, means no limit.
	busyConns map[net.Conn]time.Time
	// shuttingDown is true once Shutdown or Close has been called.
	shuttingDown bool
}

const (
	// newConnGrace is how long a new connection without a request counts as busy, because its request may be in transit.
	newConnGrace = time.Second
	// busyPollInterval is how often Shutdown counts the busy connections.
	busyPollInterval = 10 * time.Millisecond
)

// Serve starts serving on a listener until Shutdown or Close. It sets the server's ConnState.
func Serve(server *http.Server, listener net.Listener) *Server {
	s := &Server{
		server: server, listener: listener, done: make(chan struct{}), serveErr: make(chan error, 1),
		busyConns: make(map[net.Conn]time.Time),
	}
	server.ConnState = s.trackConn
	go func() {
		err := server.Serve(listener)
		close(s.done)
		if s.isShuttingDown() {
			err = nil
		}
		s.serveErr <- errors.Wrap(err, "serve HTTP")
	}()
	return s
}

// ServeError returns a channel that receives one value when serving has ended: the error, or nil after Shutdown or Close.
func (s *Server) ServeError() <-chan error { return s.serveErr }

func (s *Server) isShuttingDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shuttingDown
}

// trackConn updates busyConns when the state of a connection changes.
func (s *Server) trackConn(conn net.Conn, state http.ConnState) {
	if guarded, ok := conn.(*guardedConn); ok {
		guarded.observeState(state)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.busyConns[conn] = time.Now().Add(newConnGrace)
	case http.StateActive:
		s.busyConns[conn] = time.Time{}
	default:
		delete(s.busyConns, conn)
	}
}

// countBusyConns counts the connections that have a request or were accepted less than newConnGrace ago.
func (s *Server) countBusyConns(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, busyUntil := range s.busyConns {
		if busyUntil.IsZero() || now.Before(busyUntil) {
			count++
		}
	}
	return count
}

// Shutdown stops accepting connections and waits for the requests on accepted connections until the context is done. It
// closes the listener first and calls http.Server.Shutdown last: once that has started, net/http drops requests that it
// reads, without a response.
func (s *Server) Shutdown(ctx context.Context) {
	s.mu.Lock()
	s.shuttingDown = true
	s.mu.Unlock()
	// Close only fails if the listener is already closed.
	_ = s.listener.Close()
	<-s.done
	s.server.SetKeepAlivesEnabled(false)
	ticker := time.NewTicker(busyPollInterval)
	defer ticker.Stop()
	for s.countBusyConns(time.Now()) > 0 {
		select {
		case <-ctx.Done():
			return // Close interrupts the remaining requests
		case <-ticker.C:
		}
	}
	_ = s.server.Shutdown(ctx)
}

// Close closes all connections immediately.
func (s *Server) Close() {
	s.mu.Lock()
	s.shuttingDown = true
	s.mu.Unlock()
	_ = s.server.Close()
	<-s.done
}
