package integration

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/test/history"
)

// TestInvariantCompleteResponse: each caller gets all of its own answer, in
// order, through engine crashes and cut, stalled and slow links.
func TestInvariantCompleteResponse(t *testing.T) {
	deployment := deploy(t)
	load := startLoad(t, lookups(deployment, 30, 100))
	load.waitOK(t, 20)

	crashed := deployment.Engine("e1")
	crashed.Kill()
	load.waitOK(t, 20)
	assert.NilError(t, crashed.Start(limit(t)))

	cut := deployment.Engine("e2")
	for range 3 {
		assert.NilError(t, cut.Link.Reset())
		load.waitOK(t, 10)
	}
	assert.NilError(t, cut.Link.Stall())
	load.waitOK(t, 20)
	assert.NilError(t, cut.Link.Restore())

	slow := deployment.Engine("e3")
	assert.NilError(t, slow.Link.SetBandwidth(16))
	assert.NilError(t, slow.Link.Slice(8, time.Millisecond))
	load.waitOK(t, 20)
	assert.NilError(t, slow.Link.Restore())

	for _, node := range deployment.Nodes() {
		assert.NilError(t, node.PeerLink.SetLatency(5*time.Millisecond))
		assert.NilError(t, node.PeerLink.Reset())
		load.waitOK(t, 20)
	}
	outcomes := load.stop(t)
	holds(t, history.CheckComplete(outcomes, false))
	for i := range outcomes {
		outcome := &outcomes[i]
		assert.Check(t, outcome.OK() || outcome.Refused(), "a repeatable call was given up: %+v", outcome)
	}
}
