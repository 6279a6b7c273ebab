package crashes

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/fleet"
	"github.com/corkpulley/corkpulley/internal/core/quarantine"
)

// startIncarnation lists a new incarnation of the engine on all nodes.
func (c *cluster) startIncarnation(engine string, startMillis int64) fleet.Engine {
	started := engineStartedAt(engine, engine+":1", startMillis)
	for _, guard := range c.guards {
		guard.detector.options.Fleet.Put(started)
	}
	return started
}

// observeCrashOf makes a node observe the crash of an incarnation during the request.
func (c *cluster) observeCrashOf(node int, engine fleet.Engine) {
	c.t.Helper()
	assert.Assert(c.t, c.guards[node].ConnectionLost(c.t.Context(), LostConnection{Engine: engine, Fingerprint: crashingFingerprint}))
}

// TestCrashesOfTwoIncarnationsCountTwice: a service may have a single engine, which restarts under the same ID.
func TestCrashesOfTwoIncarnationsCountTwice(t *testing.T) {
	runCluster(t, 2, func(c *cluster) {
		c.observeCrashOf(0, c.startIncarnation("a", 1000))
		c.settle()
		c.assertQuarantined(false)
		c.observeCrashOf(1, c.startIncarnation("a", 2000))
		c.settle()
		c.assertQuarantined(true)
	})
}

// TestCrashObservedByTwoNodesCountsOnce: one node observes the crash before the next incarnation is listed, the
// other one after.
func TestCrashObservedByTwoNodesCountsOnce(t *testing.T) {
	runCluster(t, 2, func(c *cluster) {
		first := c.startIncarnation("a", 1000)
		c.observeCrashOf(0, first)
		c.startIncarnation("a", 2000)
		c.observeCrashOf(1, first)
		c.settle()
		c.assertQuarantined(false)
		assert.Equal(t, c.guards[0].Status(fingerprint).Crashes, 1)
	})
}

// TestClearingDoesNotCoverLaterIncarnations: an answer clears the crash of an incarnation, but crashes of later ones
// count.
func TestClearingDoesNotCoverLaterIncarnations(t *testing.T) {
	runCluster(t, 1, func(c *cluster) {
		c.observeCrashOf(0, c.startIncarnation("a", 1000))
		c.guards[0].Answered(fingerprint)
		c.observeCrashOf(0, c.startIncarnation("a", 2000))
		c.observeCrashOf(0, c.startIncarnation("a", 3000))
		c.settle()
		c.assertQuarantined(true)
	})
}

// TestRecordWithoutStartTime: an engine that does not report its start time is identified by its ID alone.
func TestRecordWithoutStartTime(t *testing.T) {
	record := quarantine.Record{Fingerprint: crashingFingerprint, Engine: engineAt("a", "").Incarnation().String()}
	assert.Equal(t, keyOf(record), crashingFingerprint.String()+"/engine/a")
	record.Engine = engineStartedAt("a", "", 1000).Incarnation().String()
	encoded, err := encode(record)
	assert.NilError(t, err)
	decoded, err := decode(encoded)
	assert.NilError(t, err)
	assert.Equal(t, decoded.Engine, "a@1000")
}
