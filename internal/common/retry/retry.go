// Package retry provides the common parts of retry loops: backoff delays with jitter, and a sleep that ends
// with its context. Callers decide whether and how often to retry.
package retry

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Policy sets the bounds of the delays between attempts. First and Longest must be positive.
type Policy struct {
	// First is the delay after the first failure, before jitter.
	First time.Duration
	// Longest limits the delay before jitter.
	Longest time.Duration
	// Jitter is the fraction by which a delay may be shorter or longer, below 1; zero for
	// backoff.DefaultRandomizationFactor (0.5).
	Jitter float64
}

// Delays is the sequence of delays of a retry loop.
type Delays = backoff.ExponentialBackOff

// Delays returns an unlimited sequence of delays, each backoff.DefaultMultiplier (1.5) times the previous
// one up to Longest. The sequence is not safe for concurrent use.
func (p Policy) Delays() *Delays {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = p.First
	delays.MaxInterval = p.Longest
	delays.RandomizationFactor = p.jitter()
	return delays
}

// MaxDelay returns the upper bound of the delays, including jitter.
func (p Policy) MaxDelay() time.Duration {
	return p.Longest + time.Duration(p.jitter()*float64(p.Longest))
}

func (p Policy) jitter() float64 {
	if p.Jitter == 0 {
		return backoff.DefaultRandomizationFactor
	}
	return p.Jitter
}

// Sleep waits for the duration. It returns false if ctx ends first.
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
