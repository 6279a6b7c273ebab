// Package retry holds what every loop that tries again has in common: delays
// that grow with jitter, and a wait that ends with its context. How often, and
// whether, something may be tried again is decided by the loops themselves.
package retry

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Policy names the bounds of the delays between tries. Both must be above zero.
type Policy struct {
	// First is the delay after the first failure, before jitter.
	First time.Duration
	// Longest bounds the delay before jitter; jitter adds at most
	// backoff.DefaultRandomizationFactor (half) of it.
	Longest time.Duration
}

// Delays are the delays of one row of tries.
type Delays = backoff.ExponentialBackOff

// Delays returns new delays under the policy, which never end: each is
// backoff.DefaultMultiplier (1.5) times the one before. They serve one goroutine.
func (p Policy) Delays() *Delays {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = p.First
	delays.MaxInterval = p.Longest
	return delays
}

// Sleep waits for the duration; false when ctx ended first.
func Sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
