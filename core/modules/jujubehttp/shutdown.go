package jujubehttp

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Server serves HTTP on a listener and ends without cutting off a request.
type Server struct {
	server   *http.Server
	listener net.Listener
	done     chan struct{}
	// failed receives why serving ended early; nil after Shutdown or Close.
	failed chan error

	mu sync.Mutex
	// busy holds the connections that have been accepted or carry a request, with the time since when.
	busy map[net.Conn]time.Time
	// ending is true from the beginning of Shutdown or Close.
	ending bool
}

const (
	// newConnection is how long an accepted connection without a request counts as busy: its request is on its way.
	newConnection = time.Second
	// busyPoll is the time between two looks at the busy connections.
	busyPoll = 10 * time.Millisecond
)

// Serve serves on a listener until Shutdown or Close. It sets the server's ConnState.
func Serve(server *http.Server, listener net.Listener) *Server {
	s := &Server{
		server: server, listener: listener, done: make(chan struct{}), failed: make(chan error, 1), busy: make(map[net.Conn]time.Time),
	}
	server.ConnState = s.note
	go func() {
		err := server.Serve(listener)
		close(s.done)
		if s.isEnding() {
			err = nil
		}
		s.failed <- errors.Wrap(err, "serve HTTP")
	}()
	return s
}

// Failed receives one value when serving has ended.
func (s *Server) Failed() <-chan error { return s.failed }

func (s *Server) isEnding() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ending
}

func (s *Server) note(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.busy[conn] = time.Now().Add(newConnection)
	case http.StateActive:
		s.busy[conn] = time.Time{}
	default:
		delete(s.busy, conn)
	}
}

// countBusy counts the connections that carry a request or have been accepted a moment ago.
func (s *Server) countBusy(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, until := range s.busy {
		if until.IsZero() || now.Before(until) {
			count++
		}
	}
	return count
}

// Shutdown stops accepting connections and waits, until the context ends, for the requests on those that were accepted.
// The listener is closed first and http.Server.Shutdown comes last: once that has begun, net/http drops a request that it
// reads without an answer.
func (s *Server) Shutdown(ctx context.Context) {
	s.mu.Lock()
	s.ending = true
	s.mu.Unlock()
	// An error says that the listener was closed before.
	_ = s.listener.Close()
	<-s.done
	s.server.SetKeepAlivesEnabled(false)
	ticker := time.NewTicker(busyPoll)
	defer ticker.Stop()
	for s.countBusy(time.Now()) > 0 {
		select {
		case <-ctx.Done():
			return // what is left is cut off by Close
		case <-ticker.C:
		}
	}
	_ = s.server.Shutdown(ctx)
}

// Close ends all connections at once.
func (s *Server) Close() {
	s.mu.Lock()
	s.ending = true
	s.mu.Unlock()
	_ = s.server.Close()
	<-s.done
}
