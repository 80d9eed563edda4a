package jujubehttp

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// tcpClosed is Linux's TCP_CLOSE, the state of a socket whose connection was reset, or has ended in both directions.
const tcpClosed = 7

// tcpSocket is a *net.TCPConn.
type tcpSocket interface {
	net.Conn
	syscall.Conn
	SetLinger(seconds int) error
}

// resetConn is a TCP connection on which no read ends in order after a reset. The system reports a reset once, to the first read or write
// that asks. After a write that has got it, a read returns io.EOF, as if the other end had closed the connection, and a body that ends with its
// connection looks complete.
type resetConn struct {
	tcpSocket

	mu sync.Mutex
	// writing is the number of writes in progress. idle is signalled when it becomes zero.
	writing int
	idle    *sync.Cond
	// failure is the first error by which a read or a write has learnt that the connection is broken; nil for none.
	failure error
}

// KeepReset returns a connection on which no read returns io.EOF after a reset, whether a read or a write has learnt of it. Only TCP
// connections are wrapped.
func KeepReset(conn net.Conn) net.Conn {
	socket, ok := conn.(tcpSocket)
	if !ok {
		return conn
	}
	c := &resetConn{tcpSocket: socket}
	c.idle = sync.NewCond(&c.mu)
	return c
}

// Read reads from the connection.
func (c *resetConn) Read(p []byte) (int, error) {
	n, err := c.tcpSocket.Read(p)
	if err == nil {
		return n, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !errors.Is(err, io.EOF) {
		c.recordFailure(err)
		return n, err
	}
	// A write that has got the reset may not have returned yet. On a closed socket no write blocks.
	for c.writing > 0 && c.isClosed() {
		c.idle.Wait()
	}
	if c.failure != nil {
		return n, c.failure
	}
	return n, err
}

// Write writes to the connection.
func (c *resetConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.writing++
	c.mu.Unlock()
	n, err := c.tcpSocket.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.recordFailure(err)
	}
	c.writing--
	if c.writing == 0 {
		c.idle.Broadcast()
	}
	return n, err
}

// recordFailure records an error of the connection; the lock is held. EPIPE is the error of a reset after the other end has ended its side in
// order, so what was read until then is complete.
func (c *resetConn) recordFailure(err error) {
	isLocal := errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed)
	if c.failure == nil && !isLocal && !errors.Is(err, syscall.EPIPE) {
		c.failure = err
	}
}

// isClosed reports whether the socket can't send any more, because its connection has ended or was closed here.
func (c *resetConn) isClosed() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	isClosed := false
	err = raw.Control(func(descriptor uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
		isClosed = err == nil && info.State == tcpClosed
	})
	return isClosed || err != nil
}
