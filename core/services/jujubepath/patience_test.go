package jujubepath_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubepier.example/core/services/jujubepath"
)

// TestPatience guards against a timeout that grows too fast or doesn't shrink again: reads that time out together double it
// once, it stays within its bound, and quick responses reduce it.
func TestPatience(t *testing.T) {
	p := jujubepath.Patience{Least: 2 * time.Second, Most: 8 * time.Second}
	assert.Equal(t, p.Limit(), 2*time.Second)
	p.NoteTimeout(2 * time.Second)
	p.NoteTimeout(2 * time.Second)
	assert.Equal(t, p.Limit(), 4*time.Second)
	p.NoteTimeout(4 * time.Second)
	p.NoteTimeout(8 * time.Second)
	assert.Equal(t, p.Limit(), 8*time.Second)
	p.NoteAnswer(3 * time.Second)
	assert.Equal(t, p.Limit(), 8*time.Second)
	for range 4 {
		p.NoteAnswer(100 * time.Millisecond)
	}
	assert.Equal(t, p.Limit(), 2*time.Second)
}
