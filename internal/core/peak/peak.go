// Package peak keeps the largest value of a span of time. It has no input, output or clock.
package peak

import (
	"slices"
	"time"
)

// Window keeps the largest of the values observed within a span of time. The zero value has observed none.
//
// Invariant: the values fall from the oldest to the newest, since one that is followed by a larger one never
// counts again.
type Window struct {
	values []value
}

type value struct {
	at    time.Time
	value int
}

// Observe takes the value at a moment; those observed longer ago than the span are dropped.
func (w *Window) Observe(now time.Time, observed int, span time.Duration) {
	w.values = slices.DeleteFunc(w.values, func(each value) bool {
		return each.value <= observed || now.Sub(each.at) > span
	})
	w.values = append(w.values, value{at: now, value: observed})
}

// Most returns the largest value of the span that ended with the newest one; zero when there was none.
func (w *Window) Most() int {
	if len(w.values) == 0 {
		return 0
	}
	return w.values[0].value
}
