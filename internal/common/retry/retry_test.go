package retry_test

import (
	"context"
	"testing"
	"time"

	"github.com/cenkalti/backoff/v5"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/common/retry"
)

func TestDelaysGrowToLongestWithoutLimit(t *testing.T) {
	policy := retry.Policy{First: 100 * time.Millisecond, Longest: 150 * time.Millisecond}
	delays := policy.Delays()
	assertWithinJitter := func(delay, base time.Duration) {
		t.Helper()
		jitter := time.Duration(float64(base) * backoff.DefaultRandomizationFactor)
		assert.Assert(t, delay >= base-jitter && delay <= base+jitter+1, "delay %s", delay)
	}
	assertWithinJitter(delays.NextBackOff(), policy.First)
	for range 1000 {
		assertWithinJitter(delays.NextBackOff(), policy.Longest)
	}
	delays.Reset()
	assertWithinJitter(delays.NextBackOff(), policy.First)
}

func TestSleepReturnsFalseWhenContextEnds(t *testing.T) {
	assert.Assert(t, retry.Sleep(context.Background(), time.Nanosecond))
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	assert.Assert(t, !retry.Sleep(ended, time.Hour))
}
