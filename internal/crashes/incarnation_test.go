package crashes

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/fleet"
	"github.com/corkpulley/corkpulley/internal/core/quarantine"
)

// start lists a new incarnation of the engine at all nodes.
func (c *cluster) start(engine string, born int64) fleet.Engine {
	started := startOf(engine, engine+":1", born)
	for _, guard := range c.guards {
		guard.watch.options.Fleet.Put(started)
	}
	return started
}

// loseStart makes a node observe the end of an incarnation under the request.
func (c *cluster) loseStart(node int, engine fleet.Engine) {
	c.t.Helper()
	assert.Assert(c.t, c.guards[node].ConnectionLost(c.t.Context(), Loss{Engine: engine, Fingerprint: crashing}))
}

// TestTwoStartsOfOneEngineThatEndAreTwoEnds: a service may have a single engine, which restarts under its
// ID each time.
func TestTwoStartsOfOneEngineThatEndAreTwoEnds(t *testing.T) {
	inCluster(t, 2, func(c *cluster) {
		c.loseStart(0, c.start("a", 1000))
		c.settle()
		c.assertHeld(false)
		c.loseStart(1, c.start("a", 2000))
		c.settle()
		c.assertHeld(true)
	})
}

// TestAnEndThatTwoNodesSeeCountsOnce: one sees it before the next incarnation is listed, the other after.
func TestAnEndThatTwoNodesSeeCountsOnce(t *testing.T) {
	inCluster(t, 2, func(c *cluster) {
		first := c.start("a", 1000)
		c.loseStart(0, first)
		c.start("a", 2000)
		c.loseStart(1, first)
		c.settle()
		c.assertHeld(false)
		assert.Equal(t, c.guards[0].Standing(fingerprint).Crashes, 1)
	})
}

// TestTheNextStartOfAnEngineIsNotClearedWithTheOneBefore: an answer cleared the end of an incarnation; the
// ends of later ones count.
func TestTheNextStartOfAnEngineIsNotClearedWithTheOneBefore(t *testing.T) {
	inCluster(t, 1, func(c *cluster) {
		c.loseStart(0, c.start("a", 1000))
		c.guards[0].Answered(fingerprint)
		c.loseStart(0, c.start("a", 2000))
		c.loseStart(0, c.start("a", 3000))
		c.settle()
		c.assertHeld(true)
	})
}

// TestRecordsWithoutAStartAreRead: an engine that does not report its start time is identified by its ID alone.
func TestRecordsWithoutAStartAreRead(t *testing.T) {
	record := quarantine.Record{Fingerprint: crashing, Engine: engineAt("a", "").Incarnation().String()}
	assert.Equal(t, keyOf(record), crashing.String()+"/engine/a")
	record.Engine = startOf("a", "", 1000).Incarnation().String()
	encoded, err := encode(record)
	assert.NilError(t, err)
	decoded, err := decode(encoded)
	assert.NilError(t, err)
	assert.Equal(t, decoded.Engine, "a@1000")
}
