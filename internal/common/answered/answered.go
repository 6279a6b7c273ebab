// Package answered determines the time as of which an answer of the log is current. An answer may be
// delayed by another node or by a suspension of this process or machine, so its arrival is no bound.
package answered

import "time"

// At returns the earliest time at which a long poll without records was answered: after its wait, or now
// if that has not passed. All times must be of the same clock.
func At(sent time.Time, wait time.Duration, now time.Time) time.Time {
	if waited := sent.Add(wait); waited.Before(now) {
		return waited
	}
	return now
}
