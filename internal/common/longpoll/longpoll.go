// Package longpoll determines the time as of which a long-poll response of the log is current. The time of
// arrival does not bound it, since another node or a suspension of this process or machine may have delayed
// the response.
package longpoll

import "time"

// AsOf returns the earliest time at which a long poll without records can have been answered: the end of its
// wait, or now if that is earlier. All times must be from the same clock.
func AsOf(sent time.Time, wait time.Duration, now time.Time) time.Time {
	if waitEnd := sent.Add(wait); waitEnd.Before(now) {
		return waitEnd
	}
	return now
}
