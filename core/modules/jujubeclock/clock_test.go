package jujubeclock_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubepier.example/core/modules/jujubeclock"
)

// Guards against an instant in other units than nanoseconds, which would make every view look recent or outdated.
func TestNowAdvancesWithTime(t *testing.T) {
	before := jujubeclock.Now()
	time.Sleep(20 * time.Millisecond)
	passed := jujubeclock.Now().Sub(before)
	assert.Assert(t, passed >= 20*time.Millisecond && passed < time.Minute, "%s passed", passed)
	assert.Equal(t, before.Add(passed).Sub(before), passed)
}
