package scheduler

import (
	"math"
	"time"
)

const (
	// drainWindow is the time constant of the exponential decay.
	drainWindow = 10 * time.Second
	// Bounds of RetryAfter.
	minimumRetryAfter = 100 * time.Millisecond
	maximumRetryAfter = 30 * time.Second
)

// drainRate estimates the rate of finished requests by an exponentially decaying
// count.
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

func (r *drainRate) recordFinished(now time.Time) {
	r.decay(now)
	r.count++
}

// retryAfter estimates the time until the given number of requests have finished;
// 0 if there is no estimate because none finished recently.
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
