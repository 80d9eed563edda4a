package jujubepeer_test

import (
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/rpc"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"jujubepier.example/core/modules/jujubeclock"
	"jujubepier.example/core/modules/jujubehttp"
	"jujubepier.example/entry/modules/jujubepeer"
)

// slowListener accepts connections that delay what they read and what they write.
type slowListener struct {
	net.Listener
	reads, writes atomic.Int64
}

func (l *slowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return slowConn{conn, l}, err
}

type slowConn struct {
	net.Conn
	delays *slowListener
}

func (c slowConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	time.Sleep(time.Duration(c.delays.reads.Load()))
	return n, err
}

func (c slowConn) Write(p []byte) (int, error) {
	time.Sleep(time.Duration(c.delays.writes.Load()))
	return c.Conn.Write(p)
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// newReceiver returns the address of a server that reads one connection, and the count of the bytes that it has read.
func newReceiver(t *testing.T) (address string, received *atomic.Int64) {
	t.Helper()
	listener := listen(t)
	received = new(atomic.Int64)
	go func() {
		conn, err := listener.Accept()
		for buffer := make([]byte, 1024); err == nil; {
			var n int
			n, err = conn.Read(buffer)
			received.Add(int64(n))
		}
	}()
	return listener.Addr().String(), received
}

// waitForBytes waits until a receiver has read a number of bytes, and fails if it reads more.
func waitForBytes(t *testing.T, received *atomic.Int64, count int) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); received.Load() < int64(count) && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond)
	assert.Equal(t, received.Load(), int64(count))
}

// TestLateCarrierWritesNothing guards against bytes of a request that another instance delivers after the permit to send it has
// expired, because that instance or the link to it was slow, whatever the delays before.
func TestLateCarrierWritesNothing(t *testing.T) {
	for seed := range int64(16) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewSource(seed))
			upTo := func(limit time.Duration) time.Duration { return time.Duration(random.Int63n(int64(limit))) }
			listener := &slowListener{Listener: listen(t)}
			servePeer(t, listener, dialDirect)
			address, received := newReceiver(t)
			listener.writes.Store(int64(upTo(60 * time.Millisecond)))
			conn, err := jujubepeer.NewPool(nil).OpenTunnel(t.Context(), listener.Addr().String(), jujubepeer.OpenArgs{Address: address, Timeout: 10 * time.Second})
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			written := 0
			for range 4 {
				time.Sleep(upTo(80 * time.Millisecond))
				delay, valid := upTo(120*time.Millisecond), time.Millisecond+upTo(120*time.Millisecond)
				if random.Intn(2) == 0 {
					valid = time.Minute
				}
				listener.reads.Store(int64(delay))
				n, err := conn.(jujubehttp.LimitedConn).WriteBefore([]byte("bytes"), jujubeclock.Now().Add(valid))
				if isRefused := errors.As(err, new(jujubehttp.ErrWriteExpired)); isRefused {
					assert.Assert(t, n == 0 && valid < time.Minute, "%d bytes were written, within %s", n, valid)
				} else {
					assert.NilError(t, err)
					assert.Assert(t, delay <= valid, "written %s after the permit, which was valid for %s", delay, valid)
				}
				written += n
			}
			assert.NilError(t, conn.Close())
			waitForBytes(t, received, written)
		})
	}
}

// TestCarrierTakesBack guards against bytes of a request that the system of another instance delivers long after their permit has
// expired, as the link to the server was cut.
func TestCarrierTakesBack(t *testing.T) {
	listener := listen(t)
	servePeer(t, listener, dialDirect)
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
	}}
	server, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = server.Close() }()
	conn, err := jujubepeer.NewPool(nil).OpenTunnel(t.Context(), listener.Addr().String(), jujubepeer.OpenArgs{Address: server.Addr().String(), Timeout: 10 * time.Second})
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	request := make([]byte, 64<<10)
	_, err = conn.(jujubehttp.LimitedConn).WriteBefore(request, jujubeclock.Now().Add(500*time.Millisecond))
	assert.NilError(t, err)
	time.Sleep(500*time.Millisecond + jujubehttp.SendMargin)
	accepted, err := server.Accept()
	assert.NilError(t, err)
	assert.NilError(t, accepted.SetReadDeadline(time.Now().Add(time.Second)))
	read, err := io.Copy(io.Discard, accepted)
	assert.Assert(t, err != nil && read < int64(len(request)), "%d bytes", read)
}

// TestIdleTunnelWritesInTime guards against a carrier that takes the time for which a connection was idle for a delay of the write.
func TestIdleTunnelWritesInTime(t *testing.T) {
	t.Parallel()
	address, received := newReceiver(t)
	conn, err := jujubepeer.NewPool(nil).OpenTunnel(t.Context(), startPeer(t, dialDirect), jujubepeer.OpenArgs{Address: address, Timeout: 10 * time.Second})
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	for i := range 2 {
		time.Sleep(2500 * time.Millisecond)
		_, err := conn.(jujubehttp.LimitedConn).WriteBefore([]byte("bytes"), jujubeclock.Now().Add(2*time.Second))
		assert.NilError(t, err)
		waitForBytes(t, received, 5*(i+1))
	}
}

// EarlierWrite and EarlierReply are the messages of builds without limits.
type (
	EarlierWrite struct{ Data []byte }
	EarlierReply struct{ Unable, Refused, Broken string }
)

// EarlierTunnel is the tunnel of such a build.
type EarlierTunnel struct{ writtenCh chan string }

// Open opens nothing.
func (e EarlierTunnel) Open(jujubepeer.OpenArgs, *EarlierReply) error { return nil }

// Write passes the data to the test.
func (e EarlierTunnel) Write(args EarlierWrite, _ *EarlierReply) error {
	e.writtenCh <- string(args.Data)
	return nil
}

// TestEarlierCarrier guards against writes that a carrier of a build without limits can't use.
func TestEarlierCarrier(t *testing.T) {
	listener, carrier, server := listen(t), EarlierTunnel{make(chan string, 1)}, rpc.NewServer()
	assert.NilError(t, server.RegisterName("Tunnel", carrier))
	go server.Accept(listener)
	conn, err := jujubepeer.NewPool(nil).OpenTunnel(t.Context(), listener.Addr().String(), jujubepeer.OpenArgs{Timeout: time.Second})
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = conn.(jujubehttp.LimitedConn).WriteBefore([]byte("bytes"), jujubeclock.Now().Add(time.Minute))
	assert.NilError(t, err)
	assert.Equal(t, <-carrier.writtenCh, "bytes")
}
