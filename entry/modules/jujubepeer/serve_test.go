package jujubepeer_test

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubepier.example/entry/modules/jujubepeer"
)

// scarce is a listener that has no descriptor for its first connections.
type scarce struct {
	net.Listener
	failures atomic.Int32
}

func (s *scarce) Accept() (net.Conn, error) {
	if s.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return s.Listener.Accept()
}

// Echo answers calls.
type Echo struct{}

// Say returns what it is told.
func (Echo) Say(text string, reply *string) error {
	*reply = text
	return nil
}

// TestServeOutlivesAcceptErrors goes on after connections that couldn't be accepted: an error of one connection must not
// end the process.
func TestServeOutlivesAcceptErrors(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &scarce{Listener: listener}
	s.failures.Store(4)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- jujubepeer.Serve(ctx, s, Echo{}) }()
	pool := jujubepeer.NewPool()
	var reply string
	call, stop := context.WithTimeout(ctx, 20*time.Second)
	defer stop()
	assert.NilError(t, pool.Call(call, listener.Addr().String(), "Echo.Say", "x", &reply))
	assert.Equal(t, reply, "x")
	cancel()
	assert.NilError(t, <-ended)
}

// TestServeEndsWithItsListener reports a listener that was closed by somebody else.
func TestServeEndsWithItsListener(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, listener.Close())
	assert.ErrorContains(t, jujubepeer.Serve(t.Context(), listener, Echo{}), "accept peer")
}
