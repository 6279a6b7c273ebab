package crashes

import (
	"testing"

	"github.com/corkpulley/corkpulley/internal/standin/memlog"
)

// TestALateRecordDoesNotHoldARequestThatWasCleared: the writes of two ends got no answer and take
// effect after the request was answered and cleared.
func TestALateRecordDoesNotHoldARequestThatWasCleared(t *testing.T) {
	inCluster(t, 2, func(c *cluster) {
		c.log.SetFault(func(call memlog.Call) memlog.Fault {
			if call.Append {
				return memlog.LateEffect
			}
			return memlog.None
		})
		c.lose(0, "a")
		c.lose(0, "b")
		c.settle()
		c.log.SetFault(nil)
		c.settle()
		c.assertHeld(true)
		c.guards[0].Answered(fingerprint)
		c.settle()
		c.assertHeld(false)
		c.log.Release()
		c.settle()
		c.assertHeld(false)
	})
}
