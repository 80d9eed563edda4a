// Package jujubepeer makes and serves net/rpc calls between instances.
package jujubepeer

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// dialTimeout bounds a new connection to a peer. It is below the probe timeout of the membership protocol.
const dialTimeout = 450 * time.Millisecond

// maxKeptPeers bounds the connections that are kept open to other instances. A kept connection takes about 28 KB at
// either end, and with 370 instances each is used once in six minutes.
const maxKeptPeers = 32

// connection is a connection to a peer. Guarded by the pool's mu.
type connection struct {
	client *rpc.Client
	// calls counts the calls in progress.
	calls int
	used  time.Time
}

// Pool keeps the connections that were used last, one to each peer address.
type Pool struct {
	mu    sync.Mutex
	peers map[string]*connection
	// The counters are those of Traffic.
	calls, sent, received atomic.Int64
}

// Traffic counts what this instance's calls to others have cost.
type Traffic struct {
	Calls int64
	// Sent and Received are bytes within TCP.
	Sent     int64
	Received int64
}

// Traffic returns the counters since the start.
func (p *Pool) Traffic() Traffic {
	return Traffic{Calls: p.calls.Load(), Sent: p.sent.Load(), Received: p.received.Load()}
}

// countedConnection adds the bytes of a connection to the pool's counters.
type countedConnection struct {
	net.Conn
	pool *Pool
}

func (c countedConnection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.pool.received.Add(int64(n))
	return n, err
}

func (c countedConnection) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.pool.sent.Add(int64(n))
	return n, err
}

// NewPool returns an empty pool.
func NewPool() *Pool { return &Pool{peers: make(map[string]*connection)} }

// Call makes a call over a kept connection.
func (p *Pool) Call(ctx context.Context, address, method string, args, reply any) error {
	peer, err := p.acquire(ctx, address)
	if err != nil {
		return err
	}
	defer p.release(peer)
	p.calls.Add(1)
	call := peer.client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case done := <-call.Done:
		var answered rpc.ServerError
		if done.Error != nil && !errors.As(done.Error, &answered) {
			p.drop(address, peer)
		}
		return errors.Wrap(done.Error, method)
	case <-ctx.Done():
		// A connection that doesn't answer may be dead; the next call opens another one.
		p.drop(address, peer)
		return errors.Wrap(ctx.Err(), method)
	}
}

// acquire returns a connection for one call, which release ends.
func (p *Pool) acquire(ctx context.Context, address string) (*connection, error) {
	p.mu.Lock()
	peer, known := p.peers[address]
	if known {
		peer.calls++
	}
	p.mu.Unlock()
	if known {
		return peer, nil
	}
	dialed, err := dialPeer(ctx, address)
	if err != nil {
		return nil, err
	}
	client := rpc.NewClient(countedConnection{Conn: dialed, pool: p})
	p.mu.Lock()
	defer p.mu.Unlock()
	if kept, known := p.peers[address]; known {
		_ = client.Close()
		kept.calls++
		return kept, nil
	}
	peer = &connection{client: client, calls: 1}
	p.peers[address] = peer
	return peer, nil
}

// release ends a call and closes the connection that has been idle for the longest time when too many are kept.
func (p *Pool) release(peer *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	peer.calls--
	peer.used = time.Now()
	if len(p.peers) <= maxKeptPeers {
		return
	}
	oldest := ""
	for address, other := range p.peers {
		if other.calls == 0 && (oldest == "" || other.used.Before(p.peers[oldest].used)) {
			oldest = address
		}
	}
	if oldest != "" {
		_ = p.peers[oldest].client.Close()
		delete(p.peers, oldest)
	}
}

func dialPeer(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	dialed, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "connect to peer")
	}
	return dialed, nil
}

// CallAlone makes a call on a connection of its own: a long call must not end because a short one on the same connection
// timed out.
func CallAlone(ctx context.Context, address, method string, args, reply any) error {
	dialed, err := dialPeer(ctx, address)
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

func (p *Pool) drop(address string, peer *connection) {
	p.mu.Lock()
	if p.peers[address] == peer {
		delete(p.peers, address)
	}
	p.mu.Unlock()
	_ = peer.client.Close()
}

// Close closes the kept connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, peer := range p.peers {
		_ = peer.client.Close()
		delete(p.peers, address)
	}
}
