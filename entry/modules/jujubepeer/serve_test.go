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
	pool := jujubepeer.NewPool(nil)
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

// lateListener accepts a connection immediately after it has been closed, as a listener may whose queue wasn't empty.
type lateListener struct {
	net.Listener
	closed chan struct{}
	late   chan net.Conn
}

func (l *lateListener) Accept() (net.Conn, error) {
	<-l.closed
	if conn, ok := <-l.late; ok {
		return conn, nil
	}
	return nil, net.ErrClosed
}

func (l *lateListener) Close() error {
	close(l.closed)
	return l.Listener.Close()
}

// TestServeEndsWithALateConnection guards against a process that doesn't end, as a connection was accepted while all others were closed and
// its peer keeps it open.
func TestServeEndsWithALateConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	kept, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = kept.Close() }()
	accepted, err := listener.Accept()
	assert.NilError(t, err)
	l := &lateListener{Listener: listener, closed: make(chan struct{}), late: make(chan net.Conn, 1)}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- jujubepeer.Serve(ctx, l, new(Echo)) }()
	cancel()
	<-l.closed
	time.Sleep(20 * time.Millisecond) // the connections have been closed
	l.late <- accepted
	close(l.late)
	select {
	case err := <-ended:
		assert.NilError(t, err)
	case <-time.After(10 * time.Second):
		t.Fatal("serving doesn't end")
	}
}
