package jujubehttp_test

import (
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubepier.example/core/modules/jujubehttp"
)

// TestPipelinedHeadFillsBuffer guards against lines of a pipelined head that are given back while net/http holds them: its buffer ends with
// a whole line, so it is empty when the rest of the head is read.
func TestPipelinedHeadFillsBuffer(t *testing.T) {
	g := startGuarded(t, jujubehttp.GuardSettings{}, echo)
	data := "GET / HTTP/1.1\r\nHost: h\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n" + lines(700)
	data += strings.Repeat("x", 4096-len(data)-2) + ":\n"
	g.dial(t, data)
	g.eventually(t, "the first request has run", func(jujubehttp.GuardStats) bool { return g.runs.Load() == 1 })
	time.Sleep(100 * time.Millisecond) // until net/http reads on
	assert.Assert(t, g.guard.Stats().HeldBytes > 700*256, "%+v", g.guard.Stats())
}

// TestClientsDontDisplacePeers guards against calls of other instances that are cut off for a crowd of clients, each of which holds little.
func TestClientsDontDisplacePeers(t *testing.T) {
	g := startGuarded(t, jujubehttp.GuardSettings{MaxHeldBytes: 1 << 20}, echo)
	peers, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = peers.Close() }()
	dialed, err := net.Dial("tcp", peers.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = dialed.Close() }()
	accepted, err := g.guard.ListenPeers(peers).Accept()
	assert.NilError(t, err)
	defer func() { _ = accepted.Close() }()
	call, ok := accepted.(interface {
		BeginCall()
		Charge(size int) bool
	})
	assert.Assert(t, ok)
	call.BeginCall()
	assert.Assert(t, call.Charge(512<<10))
	for range 60 {
		conn, err := net.Dial("tcp", g.address)
		assert.NilError(t, err)
		defer func() { _ = conn.Close() }()
	}
	g.eventually(t, "clients are refused", func(stats jujubehttp.GuardStats) bool { return stats.Refused[jujubehttp.CauseMemory] > 0 })
	_, err = accepted.Write([]byte("response"))
	assert.NilError(t, err)
	assert.Equal(t, g.guard.Stats().PeerConnections, 1)
}
