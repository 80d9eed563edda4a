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

// failingListener is a listener whose first calls of Accept fail for lack of file descriptors.
type failingListener struct {
	net.Listener
	failures atomic.Int32
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// Echo is a net/rpc receiver.
type Echo struct{}

// Say returns its argument.
func (Echo) Say(text string, reply *string) error {
	*reply = text
	return nil
}

// TestServeOutlivesAcceptErrors guards against a server that stops after an error of Accept, which would end the process
// because of one failed connection.
func TestServeOutlivesAcceptErrors(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	failing := &failingListener{Listener: listener}
	failing.failures.Store(4)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- jujubepeer.Serve(ctx, failing, Echo{}) }()
	pool := jujubepeer.NewPool()
	var reply string
	callCtx, cancelCall := context.WithTimeout(ctx, 20*time.Second)
	defer cancelCall()
	assert.NilError(t, pool.Call(callCtx, listener.Addr().String(), "Echo.Say", "x", &reply))
	assert.Equal(t, reply, "x")
	cancel()
	assert.NilError(t, <-ended)
}

// TestServeEndsWithItsListener guards against a server that keeps running without a listener: when the listener was closed
// other than by the end of the context, Serve returns the error.
func TestServeEndsWithItsListener(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, listener.Close())
	assert.ErrorContains(t, jujubepeer.Serve(t.Context(), listener, Echo{}), "accept peer")
}
