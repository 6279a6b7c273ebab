package boottime

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Both clocks advance at the same rate while the machine is not suspended.
func TestNowAdvancesWithTheMonotonicClock(t *testing.T) {
	monotonic, start := time.Now(), Now()
	time.Sleep(20 * time.Millisecond)
	elapsed := Now().Sub(start)
	assert.Assert(t, elapsed >= 20*time.Millisecond, "%s", elapsed)
	assert.Assert(t, elapsed <= time.Since(monotonic)+time.Millisecond, "%s", elapsed)
}
