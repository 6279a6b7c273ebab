package integration

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/standin/logservice"
	"github.com/corkpulley/corkpulley/test/history"
)

// Nodes that own ledgers must drain their streams and exit with 0 on SIGTERM without waiting for the log.
func TestInvariantGracefulShutdownWithoutLog(t *testing.T) {
	t.Parallel()
	deployment := deploy(t)
	load := startLoad(t, newLookupLoad(deployment, 30, 400))
	training := startTrainer(t, deployment, 6)
	load.waitOK(t, 20)
	assert.NilError(t, deployment.ControlLog(waitContext(t), logservice.Control{Down: true}))
	load.waitOK(t, 5)
	for _, node := range deployment.Nodes()[:2] {
		began := time.Now()
		code, err := node.Terminate(waitContext(t))
		assert.NilError(t, err)
		assert.Equal(t, code, 0, "node %s", node.ID)
		t.Logf("node %s ended after %s", node.ID, time.Since(began))
		load.waitOK(t, 5)
	}
	assert.NilError(t, deployment.ControlLog(waitContext(t), logservice.Control{}))
	for _, node := range deployment.Nodes()[:2] {
		restart(t, node)
	}
	training.check(t, deployment)
	outcomes := load.stop(t)
	executions := executionsOf(t, deployment)
	assertNoViolations(t, history.CheckNotInterrupted(outcomes, executions))
	checkAnswers(t, outcomes, executions, true)
	for i := range outcomes {
		outcome := &outcomes[i]
		uninterrupted := outcome.OK() || outcome.Refused() || outcome.Status == 0
		assert.Check(t, uninterrupted, "a planned stop interrupted a call: %+v", outcome)
	}
}
