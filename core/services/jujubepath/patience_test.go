package jujubepath_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubepier.example/core/services/jujubepath"
)

// TestPatience plays reads that share a busy store: those that fail together double the limit once, it stays below its
// bound, and quick answers bring it back.
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
