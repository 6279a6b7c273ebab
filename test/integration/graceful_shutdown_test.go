package integration

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/test/history"
)

// TestInvariantGracefulShutdown: SIGTERM under load cuts nothing short and the
// process exits 0, with streams in hand and ledgers owned, on a rolling restart
// of all nodes.
func TestInvariantGracefulShutdown(t *testing.T) {
	t.Parallel()
	deployment := deploy(t)
	lookupLoad := startLoad(t, lookups(deployment, 30, 200))
	permitLoad := startLoad(t, permits(deployment, 5, 100))
	training := startTrainer(t, deployment, 6)
	lookupLoad.waitOK(t, 20)
	for _, node := range deployment.Nodes() {
		code, err := node.Terminate(limit(t))
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
		holds(t, history.CheckNotCut(outcomes, executions))
		checkAnswers(t, outcomes, executions, true)
		for i := range outcomes {
			outcome := &outcomes[i]
			whole := outcome.OK() || outcome.Refused() || outcome.Status == 0
			assert.Check(t, whole, "a planned stop broke a call: %+v", outcome)
		}
	}
	holds(t, history.CheckAtMostOnce(promptsOf(permitOutcomes), executions))
}
