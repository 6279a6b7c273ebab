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

// resetLatency keeps calls in flight so that a reset interrupts some of them.
const resetLatency = 40 * time.Millisecond

// resetAllLinks resets each link to a node or an engine once under load.
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

// killAllEngines kills all engines under load and restarts them once the interrupted calls have ended. Calls that
// had started must not be reported as not run.
func killAllEngines(t *testing.T, deployment *topology.Deployment, load *runningLoad) {
	t.Helper()
	busiestEngine(t, deployment)
	for _, engine := range deployment.Engines() {
		engine.Kill()
	}
	load.waitInterruptedCalls(t, deployment)
	for _, engine := range deployment.Engines() {
		assert.NilError(t, engine.Start(waitContext(t)))
	}
	load.waitOK(t, 10)
}

// waitInterruptedCalls waits until every lookup that was running on a killed engine has ended at its caller.
func (r *runningLoad) waitInterruptedCalls(t *testing.T, deployment *topology.Deployment) {
	t.Helper()
	executions := executionsOf(t, deployment)
	eventually(t, "the interrupted calls to end", func() error {
		ended := map[uint64]bool{}
		for _, outcome := range r.recorder.Outcomes() {
			ended[history.PromptHash(outcome.Call.Prompt)] = true
		}
		for _, execution := range executions {
			wasRunning := execution.Service == lookupService && execution.Outcome == standin.OutcomeRunning
			if wasRunning && !ended[execution.PromptHash] {
				return errors.Errorf("request %s has not ended", execution.RequestID)
			}
		}
		return nil
	})
}

// Calls rejected as not run must not be in any engine's history, under overload, a killed dispatcher, link resets,
// lost engines and a planned stop.
func TestInvariantRefusalNotExecuted(t *testing.T) {
	t.Parallel()
	deployment := deploy(t, func(config *topology.Config) {
		for i := range config.Engines {
			config.Engines[i].MaxBatch = 2
			config.Engines[i].TokenInterval = 5 * time.Millisecond
			config.Engines[i].Arguments = append(config.Engines[i].Arguments, "--max-waiting", "2")
		}
	})
	overload := newLookupLoad(deployment, 60, 30)
	overload.CallTimeout = 20 * time.Second
	load := startLoad(t, overload)
	permitLoad := newPermitLoad(deployment, 20, 30)
	permitLoad.WithIdempotencyKeys = false
	permitLoad.CallTimeout = 20 * time.Second
	permits := startLoad(t, permitLoad)
	load.waitOK(t, 10)

	// One of these nodes is the dispatcher of their zone's cell.
	for _, id := range []string{"n1", "n2"} {
		killed := deployment.Node(id)
		killed.Kill()
		load.waitOK(t, 10)
		// Under overload the node may reject every call, so this waits for readiness only.
		assert.NilError(t, killed.Start(waitContext(t)))
		assert.NilError(t, killed.WaitReady(waitContext(t)))
	}
	for _, node := range deployment.Nodes() {
		assert.NilError(t, node.PeerLink.SetLatency(resetLatency))
	}
	for _, engine := range deployment.Engines() {
		assert.NilError(t, engine.Link.SetLatency(resetLatency))
	}
	for range 3 {
		resetAllLinks(t, deployment, load)
	}
	killAllEngines(t, deployment, load)
	stopped := deployment.Node("n3")
	code, err := stopped.Terminate(waitContext(t))
	assert.NilError(t, err)
	assert.Equal(t, code, 0)
	load.waitOK(t, 10)

	permitOutcomes := permits.stop(t)
	outcomes := append(load.stop(t), permitOutcomes...)
	executions := executionsOf(t, deployment)
	assertNoViolations(t, history.CheckAtMostOnce(promptsOf(permitOutcomes), executions))
	refusals := 0
	for i := range outcomes {
		if outcomes[i].Refused() {
			refusals++
		}
	}
	assert.Assert(t, refusals > 0, "no call was rejected, so the test covered nothing")
	checkAnswers(t, outcomes, executions, true)
}
