// Package answered dates answers of the log. An answer may lie on its way, by way of another node
// or while this process or machine stands still: what it says is as old as itself, not as its
// arrival.
package answered

import "time"

// At is when a read that found nothing was answered at the earliest: once it had waited, or now if
// that has not passed. Times are of any one clock.
func At(sent time.Time, wait time.Duration, now time.Time) time.Time {
	if waited := sent.Add(wait); waited.Before(now) {
		return waited
	}
	return now
}
