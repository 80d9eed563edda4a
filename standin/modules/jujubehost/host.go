// Package jujubehost runs the HTTP server of an emulator and can simulate a crash and a restart at the same address.
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

// listenRetryInterval is the pause between attempts to listen at the old address again after a crash.
const listenRetryInterval = 20 * time.Millisecond

// Host manages an HTTP server, its running handlers and the goroutines of the emulator.
type Host struct {
	address string
	handler http.Handler
	tomb    *tomb.Tomb
	ctx     context.Context

	mu sync.Mutex
	// server is nil while the host is down after a crash.
	server *http.Server
	// cancelRequests cancels the request contexts of server.
	cancelRequests context.CancelFunc
	// closing is true once the shutdown of the host has begun; no handler or goroutine starts after that.
	closing  bool
	handlers sync.WaitGroup
}

// Listen starts serving at an address. The host shuts down when ctx ends or Close is called.
func Listen(ctx context.Context, address string, handler http.Handler) (*Host, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	h := &Host{address: listener.Addr().String(), handler: handler}
	h.tomb, h.ctx = tomb.WithContext(ctx)
	h.tomb.Go(func() error {
		<-h.tomb.Dying()
		h.shutDown()
		return nil
	})
	h.serve(listener)
	return h, nil
}

// Address returns the host and port of the listener. It stays the same after a crash.
func (h *Host) Address() string { return h.address }

// Go starts a goroutine whose context ends when the host shuts down; Close waits for it. Go does nothing once the host is
// closing, because tomb.Go panics after all goroutines of the tomb have ended.
func (h *Host) Go(run func(ctx context.Context)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closing {
		return
	}
	h.tomb.Go(func() error {
		run(h.ctx)
		return nil
	})
}

// Close shuts the host down and waits for its handlers and goroutines.
func (h *Host) Close() {
	h.tomb.Kill(nil)
	_ = h.tomb.Wait()
}

// IsListening reports whether the host is serving; it isn't between a crash and the restart.
func (h *Host) IsListening() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.server != nil
}

// Crash closes the listener and all connections, calls reset, and listens again at the same address after the downtime.
// It returns false without any effect if the host is already down.
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
			logrus.WithError(err).WithField("Address", h.address).Warn("failed to listen after crash, retrying")
			if !Sleep(ctx, listenRetryInterval) {
				return
			}
		}
	})
	return true
}

// ServeHTTP tracks the running handlers, so that Close can wait for them.
func (h *Host) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	if h.closing {
		h.mu.Unlock()
		Abort()
	}
	h.handlers.Add(1)
	h.mu.Unlock()
	defer h.handlers.Done()
	h.handler.ServeHTTP(w, r)
}

// serve starts an HTTP server on a listener, or closes the listener if the host is closing.
func (h *Host) serve(listener net.Listener) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closing {
		_ = listener.Close()
		return
	}
	requestCtx, cancel := context.WithCancel(h.ctx)
	server := &http.Server{
		Handler:           h,
		BaseContext:       func(net.Listener) context.Context { return requestCtx },
		ReadHeaderTimeout: time.Minute,
		ErrorLog:          log.New(io.Discard, "", 0),
	}
	h.server, h.cancelRequests = server, cancel
	h.tomb.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "serve")
		}
		return nil
	})
}

// closeServer closes the listener and all connections and cancels the request contexts. It reports whether the host was
// serving.
func (h *Host) closeServer() bool {
	h.mu.Lock()
	server, cancel := h.server, h.cancelRequests
	h.server = nil
	h.mu.Unlock()
	if server == nil {
		return false
	}
	_ = server.Close()
	cancel()
	return true
}

func (h *Host) shutDown() {
	h.mu.Lock()
	h.closing = true
	h.mu.Unlock()
	h.closeServer()
	h.handlers.Wait()
}

// Sleep waits for a duration and reports whether it elapsed before ctx ended.
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
