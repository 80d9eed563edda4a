// Package jujubehost runs the HTTP listener of an emulator, including its crash and restart at the same address.
package jujubehost

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"gopkg.in/tomb.v2"
)

// listenRetry is the pause between attempts to take the old address again after a crash.
const listenRetry = 20 * time.Millisecond

// Host is one listener with its handler and the goroutines that belong to it.
type Host struct {
	address string
	handler http.Handler
	tomb    *tomb.Tomb
	ctx     context.Context

	mu sync.Mutex
	// server is nil while the host is down after a crash.
	server *http.Server
	// abort ends the request contexts of server.
	abort context.CancelFunc
	// closed is true once the host is going away; no handler starts after that.
	closed   bool
	handlers sync.WaitGroup
}

// Listen starts serving at the address. The host stops when ctx ends or Close is called.
func Listen(ctx context.Context, address string, handler http.Handler) (*Host, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	h := &Host{address: listener.Addr().String(), handler: handler}
	h.tomb, h.ctx = tomb.WithContext(ctx)
	h.tomb.Go(func() error {
		<-h.tomb.Dying()
		h.stop()
		return nil
	})
	h.serve(listener)
	return h, nil
}

// Address returns the host and port that clients connect to.
func (h *Host) Address() string { return h.address }

// Go runs a goroutine whose context ends with the host; Close waits for it. It does nothing once the host is closing,
// because a tomb whose goroutines have ended accepts no more.
func (h *Host) Go(run func(ctx context.Context)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return
	}
	h.tomb.Go(func() error {
		run(h.ctx)
		return nil
	})
}

// Close stops the host and waits for its handlers and goroutines.
func (h *Host) Close() {
	h.tomb.Kill(nil)
	_ = h.tomb.Wait()
}

// Up tells whether the listener is open.
func (h *Host) Up() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.server != nil
}

// Crash closes the listener and all connections, calls reset, and listens again at the same address after the downtime.
// It reports false when the host is already down.
func (h *Host) Crash(downtime time.Duration, reset func()) bool {
	if !h.closeServer() {
		return false
	}
	reset()
	h.Go(func(ctx context.Context) {
		if !Sleep(ctx, downtime) {
			return
		}
		for {
			listener, err := net.Listen("tcp", h.address)
			if err == nil {
				h.serve(listener)
				return
			}
			logrus.WithError(err).WithField("Address", h.address).Warn("address is still in use; retrying")
			if !Sleep(ctx, listenRetry) {
				return
			}
		}
	})
	return true
}

// ServeHTTP counts the running handlers so that Close can wait for them.
func (h *Host) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	if h.closed {
		h.mu.Unlock()
		Abort()
	}
	h.handlers.Add(1)
	h.mu.Unlock()
	defer h.handlers.Done()
	h.handler.ServeHTTP(w, r)
}

func (h *Host) serve(listener net.Listener) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		_ = listener.Close()
		return
	}
	base, abort := context.WithCancel(h.ctx)
	server := &http.Server{
		Handler:           h,
		BaseContext:       func(net.Listener) context.Context { return base },
		ReadHeaderTimeout: time.Minute,
		ErrorLog:          log.New(io.Discard, "", 0),
	}
	h.server, h.abort = server, abort
	h.tomb.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "serve")
		}
		return nil
	})
}

func (h *Host) closeServer() bool {
	h.mu.Lock()
	server, abort := h.server, h.abort
	h.server = nil
	h.mu.Unlock()
	if server == nil {
		return false
	}
	_ = server.Close()
	abort()
	return true
}

func (h *Host) stop() {
	h.mu.Lock()
	h.closed = true
	h.mu.Unlock()
	h.closeServer()
	h.handlers.Wait()
}

// Sleep waits for the duration and reports false when ctx ended first.
func Sleep(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
