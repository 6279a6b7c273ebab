package boottime

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestTheClockGoesOn compares it with the monotonic clock, which advances at the same rate
// while the machine is not suspended.
func TestTheClockGoesOn(t *testing.T) {
	steady, began := time.Now(), Now()
	time.Sleep(20 * time.Millisecond)
	passed := Now().Sub(began)
	assert.Assert(t, passed >= 20*time.Millisecond, "%s", passed)
	assert.Assert(t, passed <= time.Since(steady)+time.Millisecond, "%s", passed)
}
