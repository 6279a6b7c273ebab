package crashes

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/quarantine"
	"github.com/corkpulley/corkpulley/internal/standin/memlog"
)

// TestALateRecordIsTakenOutOfTheLogAgain: a node that starts later does not know of its deletion.
func TestALateRecordIsTakenOutOfTheLogAgain(t *testing.T) {
	inCluster(t, 2, func(c *cluster) {
		c.lose(0, "a")
		c.lose(0, "b")
		c.settle()
		c.guards[1].Answered(fingerprint)
		c.settle()
		for _, engine := range []string{"a", "b"} {
			late, err := encode(quarantine.Record{Fingerprint: crashing, Engine: engine, At: time.Now()})
			assert.NilError(t, err)
			c.log.Put(topic, late.Key, late.Value)
		}
		c.settle()
		c.assertHeld(false)
		newest, err := c.log.Newest(c.t.Context(), topic)
		assert.NilError(t, err)
		assert.Equal(t, len(newest.Records), 0)
	})
}

// TestWhatWasClearedIsNotAdopted: a peer's records are not written yet when this node learns that the
// request was answered.
func TestWhatWasClearedIsNotAdopted(t *testing.T) {
	inCluster(t, 2, func(c *cluster) {
		c.log.SetFault(func(memlog.Call) memlog.Fault { return memlog.Refused })
		c.lose(0, "a")
		c.lose(0, "b")
		c.settle()
		c.guards[0].Answered(fingerprint)
		c.settle()
		c.assertHeld(false)
		c.log.SetFault(nil)
		time.Sleep(adoptAfter + adoptSpread + 2*adoptPeriod)
		c.assertHeld(false)
		newest, err := c.log.Newest(c.t.Context(), topic)
		assert.NilError(t, err)
		assert.Equal(t, len(newest.Records), 0)
	})
}

// TestClearingsAreForgotten: they would accumulate.
func TestClearingsAreForgotten(t *testing.T) {
	inCluster(t, 1, func(c *cluster) {
		c.lose(0, "a")
		c.settle()
		c.guards[0].Answered(fingerprint)
		time.Sleep(clearedTTL + 2*adoptPeriod)
		c.guards[0].mu.Lock()
		defer c.guards[0].mu.Unlock()
		assert.Equal(t, len(c.guards[0].cleared), 0)
	})
}
