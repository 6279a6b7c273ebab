// Package testwait lets tests poll for conditions instead of sleeping for fixed times.
package testwait

import (
	"testing"
	"time"

	"gotest.tools/v3/poll"
)

const (
	// timeout is far beyond what any condition takes on a busy machine.
	timeout      = 30 * time.Second
	pollInterval = 5 * time.Millisecond
)

// Until polls the condition until it holds. On a timeout it fails the test with a message that names what it waited
// for.
func Until(t testing.TB, what string, condition func() bool) {
	t.Helper()
	UntilExtended(t, what, 0, condition)
}

// UntilExtended is Until with extra added to the timeout, for conditions that the system under test may delay by that
// time.
func UntilExtended(t testing.TB, what string, extra time.Duration, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(extra+timeout), poll.WithDelay(pollInterval))
}
