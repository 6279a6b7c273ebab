package pauses

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestPauseAppliesToOnePeerUntilItExpires(t *testing.T) {
	pauses := New()
	pauses.Begin("a", time.Hour)
	assert.Assert(t, pauses.Active("a"))
	assert.Assert(t, !pauses.Active("b"))
	pauses.Begin("a", 0)
	assert.Assert(t, !pauses.Active("a"))
}

func TestExpiredPausesAreRemoved(t *testing.T) {
	pauses := New()
	pauses.Begin("kept", time.Hour)
	for number := range 10 * pruneThreshold {
		pauses.Begin(fmt.Sprint("n", number), 0)
	}
	assert.Assert(t, pauses.Active("kept"))
	assert.Assert(t, len(pauses.until) <= pruneThreshold)
}
