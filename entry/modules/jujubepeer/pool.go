// Package jujubepeer provides the client and server sides of net/rpc calls between instances.
package jujubepeer

import (
	"context"
	"net"
	"net/rpc"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// dialTimeout bounds the time to connect to a peer. It is below the probe timeout of the membership protocol.
const dialTimeout = 450 * time.Millisecond

// Bounds of the open connections to other instances. A connection takes about 28 KB and a file descriptor at either end, and with
// 370 quiet instances each of them would be used only once in six minutes.
const (
	// minPooledConnections are kept however long they are idle.
	minPooledConnections = 32
	// maxPooledConnections bounds all of them; an instance of a busy site calls each of its gateways within maxIdleTime.
	maxPooledConnections = 128
	// maxIdleTime is how long the connections beyond minPooledConnections are kept after a call.
	maxIdleTime = 10 * time.Second
)

// DialFunc opens a connection to the peer at an address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// connection is a connection to a peer. Guarded by the pool's mu.
type connection struct {
	client *rpc.Client
	// activeCalls is the number of calls in progress.
	activeCalls int
	lastUsed    time.Time
}

// Pool keeps the most recently used connections open, at most one per peer address. Their number follows the number of peers that are
// called regularly.
type Pool struct {
	dial        DialFunc
	mu          sync.Mutex
	connections map[string]*connection
	// These are the fields of Traffic.
	calls, sent, received atomic.Int64
}

// ErrConnect is returned for a call that wasn't sent, because the connection to the peer couldn't be opened.
type ErrConnect struct {
	Cause error
}

// Error returns the cause.
func (e ErrConnect) Error() string { return "connect to peer: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e ErrConnect) Unwrap() error { return e.Cause }

// Traffic holds the number of calls that this instance made to others, and their bytes.
type Traffic struct {
	Calls int64
	// Sent and Received count the bytes of TCP payload.
	Sent     int64
	Received int64
}

// Traffic returns the counters since the start.
func (p *Pool) Traffic() Traffic {
	return Traffic{Calls: p.calls.Load(), Sent: p.sent.Load(), Received: p.received.Load()}
}

// countingConn adds the bytes of a connection to the pool's traffic counters.
type countingConn struct {
	net.Conn
	pool *Pool
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.pool.received.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.pool.sent.Add(int64(n))
	return n, err
}

// NewPool returns an empty pool. A nil dial stands for TCP.
func NewPool(dial DialFunc) *Pool {
	if dial == nil {
		dial = dialTCP
	}
	return &Pool{dial: dial, connections: make(map[string]*connection)}
}

// Call makes a call over the pooled connection to an address and opens one if there is none. The reply is set only if the call succeeds: a
// response may still be decoded when Call has returned because its context has ended.
func (p *Pool) Call(ctx context.Context, address, method string, args, reply any) error {
	conn, err := p.acquire(ctx, address)
	if err != nil {
		return err
	}
	defer p.release(conn)
	p.calls.Add(1)
	received := reflect.New(reflect.TypeOf(reply).Elem())
	call := conn.client.Go(method, args, received.Interface(), make(chan *rpc.Call, 1))
	select {
	case done := <-call.Done:
		var serverErr rpc.ServerError
		if done.Error != nil && !errors.As(done.Error, &serverErr) {
			p.remove(address, conn)
		}
		if done.Error == nil {
			reflect.ValueOf(reply).Elem().Set(received.Elem())
		}
		return errors.Wrap(done.Error, method)
	case <-ctx.Done():
		// The connection may be dead, so it is removed and the next call opens a new one.
		p.remove(address, conn)
		return errors.Wrap(ctx.Err(), method)
	}
}

// acquire returns a connection for one call. The caller must release it.
func (p *Pool) acquire(ctx context.Context, address string) (*connection, error) {
	p.mu.Lock()
	conn, known := p.connections[address]
	if known {
		conn.activeCalls++
	}
	p.mu.Unlock()
	if known {
		return conn, nil
	}
	dialed, err := p.dial(ctx, address)
	if err != nil {
		return nil, ErrConnect{Cause: err}
	}
	client := rpc.NewClient(countingConn{Conn: dialed, pool: p})
	p.mu.Lock()
	defer p.mu.Unlock()
	if kept, known := p.connections[address]; known {
		_ = client.Close()
		kept.activeCalls++
		return kept, nil
	}
	conn = &connection{client: client, activeCalls: 1}
	p.connections[address] = conn
	return conn, nil
}

// release returns a connection after a call and closes the idle ones that aren't to be kept, the least recently used first.
func (p *Pool) release(conn *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	conn.activeCalls--
	conn.lastUsed = now
	for len(p.connections) > minPooledConnections {
		address, idle := p.leastRecentlyUsed()
		if idle == nil || len(p.connections) <= maxPooledConnections && now.Sub(idle.lastUsed) < maxIdleTime {
			return
		}
		_ = idle.client.Close()
		delete(p.connections, address)
	}
}

// leastRecentlyUsed returns the idle connection that was used least recently; nil if there is none. The lock is held.
func (p *Pool) leastRecentlyUsed() (address string, found *connection) {
	for other, conn := range p.connections {
		if conn.activeCalls == 0 && (found == nil || conn.lastUsed.Before(found.lastUsed)) {
			address, found = other, conn
		}
	}
	return address, found
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: newKeepAlive()}
	dialed, err := dialer.DialContext(ctx, "tcp", address)
	return dialed, err
}

// CallDedicated makes a call on a dedicated connection: Call closes a connection when a call on it times out, which would abort
// a long call on the same connection.
func (p *Pool) CallDedicated(ctx context.Context, address, method string, args, reply any) error {
	dialed, err := p.dial(ctx, address)
	if err != nil {
		return err
	}
	client := rpc.NewClient(dialed)
	defer func() { _ = client.Close() }()
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case done := <-call.Done:
		return errors.Wrap(done.Error, method)
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), method)
	}
}

// remove closes a connection and removes it from the pool.
func (p *Pool) remove(address string, conn *connection) {
	p.mu.Lock()
	if p.connections[address] == conn {
		delete(p.connections, address)
	}
	p.mu.Unlock()
	_ = conn.client.Close()
}

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conn := range p.connections {
		_ = conn.client.Close()
		delete(p.connections, address)
	}
}
