package boottime

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestTheClockGoesOn compares it with the steady clock, which a machine that is not
// suspended meanwhile moves on as fast.
func TestTheClockGoesOn(t *testing.T) {
	steady, began := time.Now(), Now()
	time.Sleep(20 * time.Millisecond)
	passed := Now().Sub(began)
	assert.Assert(t, passed >= 20*time.Millisecond, "%s", passed)
	assert.Assert(t, passed <= time.Since(steady)+time.Millisecond, "%s", passed)
}
