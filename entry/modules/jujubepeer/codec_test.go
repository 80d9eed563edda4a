package jujubepeer_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/gob"
	"io"
	"math/rand"
	"net"
	"net/rpc"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"jujubepier.example/core/modules/jujubehttp"
	"jujubepier.example/entry/modules/jujubepeer"
)

// smallReader returns a few bytes at a time.
type smallReader struct {
	data   []byte
	random *rand.Rand
}

func (r *smallReader) Read(p []byte) (int, error) {
	if len(r.data) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.data[:1+r.random.Intn(min(len(r.data), 7))])
	r.data = r.data[n:]
	return n, nil
}

// FuzzFrameReader guards against messages within the limit that are refused, and those beyond it that aren't, in whatever parts they
// arrive.
func FuzzFrameReader(f *testing.F) {
	f.Add([]byte("text"), uint16(100), int64(1))
	f.Add(bytes.Repeat([]byte("a"), 300), uint16(100), int64(2))
	f.Add([]byte{}, uint16(0), int64(3))
	f.Fuzz(func(t *testing.T, content []byte, limit uint16, seed int64) {
		var stream bytes.Buffer
		encoder := gob.NewEncoder(&stream)
		for range 3 {
			assert.NilError(t, encoder.Encode(content))
		}
		largest := uint64(len(content)) + 16 // with its prefixes
		for _, bound := range []uint64{largest, uint64(limit)} {
			sum := 0
			reader := &jujubepeer.FrameReader{
				Reader: &smallReader{data: stream.Bytes(), random: rand.New(rand.NewSource(seed))}, Limit: bound,
				OnBytes: func(size int) bool { sum += size; return true },
			}
			decoder := gob.NewDecoder(reader)
			var decoded []byte
			var err error
			for err == nil {
				err = decoder.Decode(&decoded)
			}
			switch {
			case bound >= largest || bound == 0:
				assert.Assert(t, errors.Is(err, io.EOF), "%v", err)
				assert.Equal(t, sum, stream.Len())
			case bound < uint64(len(content)):
				assert.Assert(t, errors.As(err, new(jujubepeer.ErrMessageTooLarge)), "%v", err)
			}
		}
	})
}

// Hold is a receiver whose calls last until it is told.
type Hold struct{ block chan struct{} }

// Wait waits, and returns the size of its argument.
func (h Hold) Wait(data []byte, size *int) error {
	<-h.block
	*size = len(data)
	return nil
}

// TestPeersAreBounded guards against peers that make an instance hold messages without a bound: one message that is too large, many
// messages whose calls last, and memory that stays reserved afterwards.
func TestPeersAreBounded(t *testing.T) {
	guard := jujubehttp.NewGuard(jujubehttp.GuardSettings{MaxHeldBytes: 4 << 20, MaxMessageBytes: 1 << 20, MaxPeerConnections: 8})
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	block := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- jujubepeer.Serve(ctx, guard.ListenPeers(plain), Hold{block}) }()
	dial := func() (net.Conn, *rpc.Client) {
		conn, err := net.Dial("tcp", plain.Addr().String())
		assert.NilError(t, err)
		assert.NilError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
		t.Cleanup(func() { _ = conn.Close() })
		return conn, rpc.NewClient(conn)
	}
	conn, _ := dial()
	_, err = conn.Write(binary.BigEndian.AppendUint32([]byte{256 - 4}, 1<<30))
	assert.NilError(t, err)
	_, err = conn.Read(make([]byte, 1))
	assert.Assert(t, err != nil, "a message of 1 GB is refused")
	assert.Equal(t, guard.Stats().Refused[jujubehttp.CauseMessage], 1)

	_, client := dial()
	var calls []*rpc.Call
	for range 40 {
		calls = append(calls, client.Go("Hold.Wait", make([]byte, 100<<10), new(int), nil))
	}
	refused := <-calls[len(calls)-1].Done
	assert.Assert(t, refused.Error != nil, "there is no memory for 40 messages")
	assert.Equal(t, guard.Stats().Refused[jujubehttp.CauseMemory], 1)
	assert.Assert(t, guard.Stats().HeldBytes <= 4<<20)
	close(block)
	_, client = dial()
	for range 100 {
		var size int
		assert.NilError(t, client.Call("Hold.Wait", make([]byte, 100<<10), &size))
		assert.Equal(t, size, 100<<10)
	}
	cancel()
	assert.NilError(t, <-ended)
	assert.Equal(t, guard.Stats().HeldBytes, 0)
}
