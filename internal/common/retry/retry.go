// Package retry provides the common parts of retry loops: delays that grow with
// jitter, and a wait that ends with its context. The loops decide whether and how
// often they retry.
package retry

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Policy bounds the delays between attempts. Both bounds must be above zero.
type Policy struct {
	// First is the delay after the first failure, before jitter.
	First time.Duration
	// Longest bounds the delay before jitter; jitter adds at most
	// backoff.DefaultRandomizationFactor (half) of it.
	Longest time.Duration
}

// Delays are the delays of one sequence of attempts.
type Delays = backoff.ExponentialBackOff

// Delays returns an unlimited sequence of delays: each is backoff.DefaultMultiplier
// (1.5) times its predecessor. It is not safe for concurrent use.
func (p Policy) Delays() *Delays {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = p.First
	delays.MaxInterval = p.Longest
	return delays
}

// Sleep waits for the duration and reports whether it passed before ctx ended.
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
