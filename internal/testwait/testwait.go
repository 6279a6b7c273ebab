// Package testwait has tests wait for conditions instead of guessed times.
package testwait

import (
	"testing"
	"time"

	"gotest.tools/v3/poll"
)

const (
	// limit ends a wait whose condition never comes true; it is far beyond what any
	// test takes on a busy machine.
	limit = 30 * time.Second
	delay = 5 * time.Millisecond
)

// Until waits until the condition holds; the test fails, naming what was waited
// for, when it does not in time.
func Until(t testing.TB, what string, condition func() bool) {
	t.Helper()
	After(t, what, 0, condition)
}

// After is Until for what the product itself may put off for a time.
func After(t testing.TB, what string, putOff time.Duration, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(putOff+limit), poll.WithDelay(delay))
}
