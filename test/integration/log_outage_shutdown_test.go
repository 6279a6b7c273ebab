package integration

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/standin/logservice"
	"github.com/corkpulley/corkpulley/test/history"
)

// TestInvariantGracefulShutdownWithoutTheLog: SIGTERM of a node that owns
// ledgers and orders, while the log is down and streams are in hand, cuts
// nothing short, and the process exits 0 without waiting for the log.
func TestInvariantGracefulShutdownWithoutTheLog(t *testing.T) {
	t.Parallel()
	deployment := deploy(t)
	load := startLoad(t, lookups(deployment, 30, 400))
	training := startTrainer(t, deployment, 6)
	load.waitOK(t, 20)
	assert.NilError(t, deployment.ControlLog(limit(t), logservice.Control{Down: true}))
	load.waitOK(t, 5)
	for _, node := range deployment.Nodes()[:2] {
		began := time.Now()
		code, err := node.Terminate(limit(t))
		assert.NilError(t, err)
		assert.Equal(t, code, 0, "node %s", node.ID)
		t.Logf("node %s ended after %s", node.ID, time.Since(began))
		load.waitOK(t, 5)
	}
	assert.NilError(t, deployment.ControlLog(limit(t), logservice.Control{}))
	for _, node := range deployment.Nodes()[:2] {
		restart(t, node)
	}
	training.check(t, deployment)
	outcomes := load.stop(t)
	executions := executionsOf(t, deployment)
	holds(t, history.CheckNotCut(outcomes, executions))
	checkAnswers(t, outcomes, executions, true)
	for i := range outcomes {
		outcome := &outcomes[i]
		whole := outcome.OK() || outcome.Refused() || outcome.Status == 0
		assert.Check(t, whole, "a planned stop broke a call: %+v", outcome)
	}
}
