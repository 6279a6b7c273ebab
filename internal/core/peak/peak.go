// Package peak tracks the maximum over a sliding time window. It has no input, output or clock.
package peak

import (
	"slices"
	"time"
)

// Window tracks the maximum of the values observed within a time span. The zero value is ready to use.
//
// Invariant: values are strictly decreasing from the oldest to the newest, since a value that is followed by
// a larger one can never be the maximum again.
type Window struct {
	values []value
}

type value struct {
	at    time.Time
	value int
}

// Observe adds a value and drops those older than the span.
func (w *Window) Observe(now time.Time, observed int, span time.Duration) {
	w.values = slices.DeleteFunc(w.values, func(each value) bool {
		return each.value <= observed || now.Sub(each.at) > span
	})
	w.values = append(w.values, value{at: now, value: observed})
}

// Max returns the maximum over the span before the newest observation; zero without observations.
func (w *Window) Max() int {
	if len(w.values) == 0 {
		return 0
	}
	return w.values[0].value
}
