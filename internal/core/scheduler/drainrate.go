package scheduler

import (
	"math"
	"time"
)

const (
	// drainWindow is the time constant of the estimate of the drain rate.
	drainWindow = 10 * time.Second
	// Bounds of a suggested retry delay.
	minimumRetryAfter = 100 * time.Millisecond
	maximumRetryAfter = 30 * time.Second
)

// drainRate estimates how many requests finish per second, by a count that
// decays exponentially.
type drainRate struct {
	count float64
	at    time.Time
}

func (r *drainRate) decay(now time.Time) {
	if elapsed := now.Sub(r.at); elapsed > 0 {
		r.count *= math.Exp(-elapsed.Seconds() / drainWindow.Seconds())
		r.at = now
	}
}

// finished counts one request that finished.
func (r *drainRate) finished(now time.Time) {
	r.decay(now)
	r.count++
}

// retryAfter estimates how long it takes until so many requests have
// finished; 0 when nothing finished of late.
func (r *drainRate) retryAfter(now time.Time, requests int) time.Duration {
	r.decay(now)
	perSecond := r.count / drainWindow.Seconds()
	if perSecond <= 0 {
		return 0
	}
	seconds := float64(max(requests, 1)) / perSecond
	seconds = min(seconds, maximumRetryAfter.Seconds())
	return max(time.Duration(seconds*float64(time.Second)), minimumRetryAfter)
}
