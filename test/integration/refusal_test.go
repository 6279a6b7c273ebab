package integration

import (
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/bench/topology"
	standin "github.com/corkpulley/corkpulley/internal/standin/engine"
	"github.com/corkpulley/corkpulley/test/history"
)

// cutLatency keeps calls on their way, sent and not yet answered, so that a cut
// meets some of them.
const cutLatency = 40 * time.Millisecond

// resetAllLinks cuts each link into a node or an engine once, while calls are
// being sent over it.
func resetAllLinks(t *testing.T, deployment *topology.Deployment, load *runningLoad) {
	t.Helper()
	for _, node := range deployment.Nodes() {
		assert.NilError(t, node.PeerLink.Reset())
		load.waitOK(t, 3)
	}
	for _, engine := range deployment.Engines() {
		assert.NilError(t, engine.Link.Reset())
		load.waitOK(t, 3)
	}
}

// loseAllEngines kills every engine with calls in hand and keeps them away until
// calls are given up: those that had begun may then not be called not run.
func loseAllEngines(t *testing.T, deployment *topology.Deployment, load *runningLoad) {
	t.Helper()
	busiest(t, deployment)
	for _, engine := range deployment.Engines() {
		engine.Kill()
	}
	load.waitCutEnded(t, deployment)
	for _, engine := range deployment.Engines() {
		assert.NilError(t, engine.Start(limit(t)))
	}
	load.waitOK(t, 10)
}

// waitCutEnded waits until every call of the load that engines had begun and,
// being killed, did not end has ended at its caller, however it did.
func (r *runningLoad) waitCutEnded(t *testing.T, deployment *topology.Deployment) {
	t.Helper()
	executions := executionsOf(t, deployment)
	eventually(t, "the calls that were cut to end", func() error {
		ended := map[uint64]bool{}
		for _, outcome := range r.recorder.Outcomes() {
			ended[history.PromptHash(outcome.Call.Prompt)] = true
		}
		for _, execution := range executions {
			cut := execution.Service == lookupService && execution.Outcome == standin.OutcomeRunning
			if cut && !ended[execution.PromptHash] {
				return errors.Errorf("request %s has not", execution.RequestID)
			}
		}
		return nil
	})
}

// TestInvariantRefusalNotExecuted: no call that was refused as not run stands
// in any engine's history, under overload, a killed dispatcher, cuts while
// sending and a node that leaves.
func TestInvariantRefusalNotExecuted(t *testing.T) {
	t.Parallel()
	deployment := deploy(t, func(config *topology.Config) {
		for i := range config.Engines {
			config.Engines[i].MaxBatch = 2
			config.Engines[i].TokenInterval = 5 * time.Millisecond
			config.Engines[i].Arguments = append(config.Engines[i].Arguments, "--max-waiting", "2")
		}
	})
	overload := lookups(deployment, 60, 30)
	overload.CallTimeout = 20 * time.Second
	load := startLoad(t, overload)
	single := permits(deployment, 20, 30)
	single.Keyed = false
	single.CallTimeout = 20 * time.Second
	unrepeatable := startLoad(t, single)
	load.waitOK(t, 10)

	// One of the two dispatches the cell of their zone.
	for _, id := range []string{"n1", "n2"} {
		killed := deployment.Node(id)
		killed.Kill()
		load.waitOK(t, 10)
		// It may refuse all that it is asked, so only its readiness is awaited.
		assert.NilError(t, killed.Start(limit(t)))
		assert.NilError(t, killed.WaitReady(limit(t)))
	}
	for _, node := range deployment.Nodes() {
		assert.NilError(t, node.PeerLink.SetLatency(cutLatency))
	}
	for _, engine := range deployment.Engines() {
		assert.NilError(t, engine.Link.SetLatency(cutLatency))
	}
	for range 3 {
		resetAllLinks(t, deployment, load)
	}
	loseAllEngines(t, deployment, load)
	leaving := deployment.Node("n3")
	code, err := leaving.Terminate(limit(t))
	assert.NilError(t, err)
	assert.Equal(t, code, 0)
	load.waitOK(t, 10)

	singles := unrepeatable.stop(t)
	outcomes := append(load.stop(t), singles...)
	executions := executionsOf(t, deployment)
	holds(t, history.CheckAtMostOnce(promptsOf(singles), executions))
	refusals := 0
	for i := range outcomes {
		if outcomes[i].Refused() {
			refusals++
		}
	}
	assert.Assert(t, refusals > 0, "nothing was refused, so nothing was proved")
	checkAnswers(t, outcomes, executions, true)
}
