package retry_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/common/retry"
)

// TestJitterBoundsDelays guards against delays that are shorter than a caller relies on to limit its rate, or longer than
// MaxDelay reports.
func TestJitterBoundsDelays(t *testing.T) {
	for _, policy := range []retry.Policy{
		{First: time.Second, Longest: time.Second, Jitter: 0.2},
		{First: time.Second, Longest: time.Second},
	} {
		shortest := 2*policy.Longest - policy.MaxDelay()
		delays := policy.Delays()
		for range 10_000 {
			delay := delays.NextBackOff()
			assert.Assert(t, delay >= shortest && delay <= policy.MaxDelay(), "%+v: %s", policy, delay)
		}
	}
	assert.Equal(t, retry.Policy{Longest: time.Second, Jitter: 0.2}.MaxDelay(), 1200*time.Millisecond)
	assert.Equal(t, retry.Policy{Longest: time.Second}.MaxDelay(), 1500*time.Millisecond)
}
