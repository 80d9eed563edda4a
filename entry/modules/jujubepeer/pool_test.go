package jujubepeer_test

import (
	"context"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"jujubepier.example/entry/modules/jujubepeer"
)

// Repeat is a net/rpc receiver.
type Repeat struct{}

// Lines returns a number of lines.
func (Repeat) Lines(count int, reply *[]string) error {
	for range count {
		*reply = append(*reply, "a line of a reply")
	}
	return nil
}

// TestLateReplyIsDropped guards against a reply that changes after its call has ended: the response is decoded while the caller, whose
// context has ended, uses the reply.
func TestLateReplyIsDropped(t *testing.T) {
	listener := listen(t)
	go func() { _ = jujubepeer.ServeWithTunnels(t.Context(), listener, Repeat{}, dialDirect) }()
	pool := jujubepeer.NewPool(nil)
	defer pool.Close()
	const lines = 200_000 // they take some time to decode
	failed := 0
	for i := range 40 {
		ctx, cancel := context.WithTimeout(t.Context(), time.Duration(i)*4*time.Millisecond)
		var reply []string
		err := pool.Call(ctx, listener.Addr().String(), "Repeat.Lines", lines, &reply)
		cancel()
		if err == nil {
			assert.Equal(t, len(reply), lines)
			continue
		}
		failed++
		time.Sleep(50 * time.Millisecond)
		assert.Equal(t, len(reply), 0, "call %d", i)
	}
	assert.Assert(t, failed > 0)
	var reply []string
	assert.NilError(t, pool.Call(t.Context(), listener.Addr().String(), "Repeat.Lines", lines, &reply))
	assert.Equal(t, len(reply), lines)
}

// trackedConn counts itself as open until it is closed.
type trackedConn struct {
	net.Conn
	open  *atomic.Int64
	close func() error
}

func trackConn(conn net.Conn, open *atomic.Int64) trackedConn {
	open.Add(1)
	return trackedConn{conn, open, sync.OnceValue(func() error {
		open.Add(-1)
		return conn.Close()
	})}
}

func (c trackedConn) Close() error { return c.close() }

// TestConnectionsFollowUse guards against a pool that dials again for each call when an instance calls more peers in turn than it keeps
// connections for, as gateways do under load, and against connections that stay open at a site that has become quiet.
func TestConnectionsFollowUse(t *testing.T) {
	type phase struct {
		peers, calls int
		interval     time.Duration
		// maxDials and maxOpen bound the dials of the phase and the connections that are open at its end.
		maxDials, maxOpen int64
	}
	busy := phase{peers: 100, calls: 3000, interval: 10 * time.Millisecond, maxDials: 100, maxOpen: 100}
	for name, phases := range map[string][]phase{
		"86 gateways called by the second":      {{peers: 86, calls: 2580, interval: time.Second / 86, maxDials: 86, maxOpen: 86}},
		"quiet: 370 peers probed in turn":       {{peers: 370, calls: 740, interval: time.Second, maxDials: 740, maxOpen: 32}},
		"more peers than connections":           {{peers: 300, calls: 3000, interval: time.Millisecond, maxDials: 3000, maxOpen: 128}},
		"busy, then quiet with the same peers":  {busy, {peers: 100, calls: 60, interval: time.Second, maxDials: 60, maxOpen: 32}},
		"busy, then idle but for a single peer": {busy, {peers: 1, calls: 30, interval: time.Second, maxDials: 0, maxOpen: 32}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				server := rpc.NewServer()
				assert.NilError(t, server.Register(Echo{}))
				var dials, open atomic.Int64
				pool := jujubepeer.NewPool(func(context.Context, string) (net.Conn, error) {
					client, accepted := net.Pipe()
					go server.ServeConn(accepted)
					dials.Add(1)
					return trackConn(client, &open), nil
				})
				for i, phase := range phases {
					before := dials.Load()
					for call := range phase.calls {
						var reply string
						assert.NilError(t, pool.Call(t.Context(), fmt.Sprint(call%phase.peers), "Echo.Say", "x", &reply))
						time.Sleep(phase.interval)
					}
					dialed := dials.Load() - before
					t.Logf("phase %d: %d calls, %d dials, %d open", i, phase.calls, dialed, open.Load())
					assert.Check(t, dialed <= phase.maxDials, "%d dials", dialed)
					assert.Check(t, open.Load() <= phase.maxOpen, "%d open", open.Load())
				}
				pool.Close()
				synctest.Wait()
				assert.Equal(t, open.Load(), int64(0))
			})
		})
	}
}
