package crashes

import (
	"fmt"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/fleet"
	"github.com/corkpulley/corkpulley/internal/core/quarantine"
	"github.com/corkpulley/corkpulley/internal/eventlog"
)

// olderRecord returns the record of a crash as builds before the field Live wrote it.
func olderRecord(t *testing.T, engine string, isolated bool) eventlog.KeyedRecord {
	t.Helper()
	raw, err := msgpack.Marshal(map[string]any{"a": time.Now().UnixMilli(), "i": isolated})
	assert.NilError(t, err)
	key := keyOf(quarantine.Record{Fingerprint: crashingFingerprint, Engine: engine})
	return eventlog.KeyedRecord{Key: key, Value: raw}
}

// Guards against requests that are held for crashes that older builds recorded under items: beside such builds and after
// a restart.
func TestRecordsOfOlderBuildsHoldNothing(t *testing.T) {
	runCluster(t, 2, func(c *cluster) {
		for i := range 6 {
			record := olderRecord(c.t, fmt.Sprint("old-", i), i == 0)
			assert.NilError(c.t, c.log.PutKeyed(c.t.Context(), topic, []eventlog.KeyedRecord{record}))
			c.guards[0].applyFromPeer(record)
		}
		c.settle()
		c.assertQuarantined(false)

		restarted, follower := c.addNode()
		go func() { _ = follower.Run(c.t.Context()) }()
		<-follower.Loaded()
		assert.Assert(c.t, restarted.Admit(c.t.Context(), fingerprint) == nil)

		c.observeCrash(0, "a")
		c.observeCrash(1, "b")
		c.settle()
		c.assertQuarantined(true)
	})
}

// Guards against live requests that are held, or cleared, for what an item or a scoring call of the same content went
// through, and against the reverse.
func TestExemptWorkNeitherRecordsNorReadsCrashes(t *testing.T) {
	runCluster(t, 1, func(c *cluster) {
		exempt := NewExempt(c.guards[0].detector)
		for _, engine := range []string{"a", "b", "c"} {
			assert.Assert(c.t, exempt.ConnectionLost(c.t.Context(), LostConnection{
				Engine: fleet.Engine{ID: engine, Service: "s", Address: engine + ":1"}, Fingerprint: crashingFingerprint,
			}))
		}
		c.settle()
		c.assertQuarantined(false)
		assert.Equal(c.t, c.log.End(eventlog.Partition{Topic: topic}), int64(0))

		c.observeCrash(0, "a")
		c.observeCrash(0, "b")
		exempt.Answered(fingerprint)
		c.settle()
		c.assertQuarantined(true)
		assert.Assert(c.t, exempt.Admit(c.t.Context(), fingerprint) == nil)
		assert.Equal(c.t, exempt.Status(fingerprint), quarantine.Status{})
	})
}
