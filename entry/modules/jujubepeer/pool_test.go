package jujubepeer_test

import (
	"context"
	"testing"
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
