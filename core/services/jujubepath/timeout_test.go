package jujubepath_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubepier.example/core/services/jujubepath"
)

// TestAdaptiveTimeout guards against a timeout that grows too fast or doesn't shrink again: reads that time out together double
// it once, it stays within its bound, and quick responses reduce it.
func TestAdaptiveTimeout(t *testing.T) {
	p := jujubepath.AdaptiveTimeout{Min: 2 * time.Second, Max: 8 * time.Second}
	assert.Equal(t, p.Limit(), 2*time.Second)
	p.RecordTimeout(2 * time.Second)
	p.RecordTimeout(2 * time.Second)
	assert.Equal(t, p.Limit(), 4*time.Second)
	p.RecordTimeout(4 * time.Second)
	p.RecordTimeout(8 * time.Second)
	assert.Equal(t, p.Limit(), 8*time.Second)
	p.RecordResponse(3 * time.Second)
	assert.Equal(t, p.Limit(), 8*time.Second)
	for range 4 {
		p.RecordResponse(100 * time.Millisecond)
	}
	assert.Equal(t, p.Limit(), 2*time.Second)
}
