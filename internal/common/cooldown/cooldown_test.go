package cooldown

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestPauseAppliesToOnePeerUntilItExpires(t *testing.T) {
	pauses := New()
	pauses.Start("a", time.Hour)
	assert.Assert(t, pauses.Active("a"))
	assert.Assert(t, !pauses.Active("b"))
	pauses.Start("a", 0)
	assert.Assert(t, !pauses.Active("a"))
}

func TestExpiredPausesAreRemoved(t *testing.T) {
	pauses := New()
	pauses.Start("kept", time.Hour)
	for number := range 10 * pruneThreshold {
		pauses.Start(fmt.Sprint("n", number), 0)
	}
	assert.Assert(t, pauses.Active("kept"))
	assert.Assert(t, len(pauses.until) <= pruneThreshold)
}
