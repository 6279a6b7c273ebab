package crashes

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/quarantine"
	"github.com/corkpulley/corkpulley/internal/standin/memlog"
)

// TestLateRecordIsDeletedAgain: a node that starts later does not know of the deletion and would apply the record.
func TestLateRecordIsDeletedAgain(t *testing.T) {
	runCluster(t, 2, func(c *cluster) {
		c.observeCrash(0, "a")
		c.observeCrash(0, "b")
		c.settle()
		c.guards[1].Answered(fingerprint)
		c.settle()
		for _, engine := range []string{"a", "b"} {
			late, err := encode(quarantine.Record{Fingerprint: crashingFingerprint, Engine: engine, At: time.Now()})
			assert.NilError(t, err)
			c.log.Put(topic, late.Key, late.Value)
		}
		c.settle()
		c.assertQuarantined(false)
		newest, err := c.log.Newest(c.t.Context(), topic)
		assert.NilError(t, err)
		assert.Equal(t, len(newest.Records), 0)
	})
}

// TestDeletedPeerRecordIsNotWritten: the request is answered before the records received from a peer are written.
func TestDeletedPeerRecordIsNotWritten(t *testing.T) {
	runCluster(t, 2, func(c *cluster) {
		c.log.SetFault(func(memlog.Call) memlog.Fault { return memlog.Refused })
		c.observeCrash(0, "a")
		c.observeCrash(0, "b")
		c.settle()
		c.guards[0].Answered(fingerprint)
		c.settle()
		c.assertQuarantined(false)
		c.log.SetFault(nil)
		time.Sleep(peerWriteDelay + peerWriteJitter + 2*maintenanceInterval)
		c.assertQuarantined(false)
		newest, err := c.log.Newest(c.t.Context(), topic)
		assert.NilError(t, err)
		assert.Equal(t, len(newest.Records), 0)
	})
}

// TestTombstonesExpire guards against tombstones that accumulate.
func TestTombstonesExpire(t *testing.T) {
	runCluster(t, 1, func(c *cluster) {
		c.observeCrash(0, "a")
		c.settle()
		c.guards[0].Answered(fingerprint)
		time.Sleep(tombstoneTTL + 2*maintenanceInterval)
		c.guards[0].mu.Lock()
		defer c.guards[0].mu.Unlock()
		assert.Equal(t, len(c.guards[0].tombstones), 0)
	})
}
