package crashes

import (
	"testing"

	"github.com/corkpulley/corkpulley/internal/standin/memlog"
)

// TestLateRecordDoesNotRestoreQuarantine: the unanswered writes of two crashes take effect after the request was
// cleared.
func TestLateRecordDoesNotRestoreQuarantine(t *testing.T) {
	runCluster(t, 2, func(c *cluster) {
		c.log.SetFault(func(call memlog.Call) memlog.Fault {
			if call.Append {
				return memlog.DelayedEffect
			}
			return memlog.None
		})
		c.observeCrash(0, "a")
		c.observeCrash(0, "b")
		c.settle()
		c.log.SetFault(nil)
		c.settle()
		c.assertQuarantined(true)
		c.guards[0].Answered(fingerprint)
		c.settle()
		c.assertQuarantined(false)
		c.log.ReleaseDelayed()
		c.settle()
		c.assertQuarantined(false)
	})
}
