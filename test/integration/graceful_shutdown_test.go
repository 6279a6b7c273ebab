package integration

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/test/history"
)

// A rolling restart under load must interrupt no call or step, and each process must exit with 0.
func TestInvariantGracefulShutdown(t *testing.T) {
	t.Parallel()
	deployment := deploy(t)
	lookupLoad := startLoad(t, newLookupLoad(deployment, 30, 200))
	permitLoad := startLoad(t, newPermitLoad(deployment, 5, 100))
	training := startTrainer(t, deployment, 6)
	lookupLoad.waitOK(t, 20)
	for _, node := range deployment.Nodes() {
		code, err := node.Terminate(waitContext(t))
		assert.NilError(t, err)
		assert.Equal(t, code, 0, "node %s", node.ID)
		lookupLoad.waitOK(t, 10)
		restart(t, node)
		lookupLoad.waitOK(t, 10)
	}
	training.check(t, deployment)
	lookupOutcomes, permitOutcomes := lookupLoad.stop(t), permitLoad.stop(t)
	executions := executionsOf(t, deployment)
	for _, outcomes := range []history.Outcomes{lookupOutcomes, permitOutcomes} {
		assertNoViolations(t, history.CheckNotInterrupted(outcomes, executions))
		checkAnswers(t, outcomes, executions, true)
		for i := range outcomes {
			outcome := &outcomes[i]
			uninterrupted := outcome.OK() || outcome.Refused() || outcome.Status == 0
			assert.Check(t, uninterrupted, "a planned stop interrupted a call: %+v", outcome)
		}
	}
	assertNoViolations(t, history.CheckAtMostOnce(promptsOf(permitOutcomes), executions))
}
