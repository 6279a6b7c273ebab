package integration

import (
	"net/http"
	"testing"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/api"
	"github.com/corkpulley/corkpulley/internal/bench/topology"
)

// Guards against an abandoned step that keeps running on engines or blocks the next step. Abandoning is
// idempotent and works at any node.
func TestAbandonedStepIsCanceledOnEngines(t *testing.T) {
	t.Parallel()
	// A sample that is not canceled outlasts every wait of this test.
	const longTokens = 4000
	deployment := deploy(t, func(config *topology.Config) {
		for i := range config.Engines {
			config.Engines[i].TokenInterval = 2 * waitTimeout / longTokens
		}
	})
	client := newTrainerClient(t, deployment)
	client.submit("given-up", stepPrompts, stepSamples, longTokens)
	eventually(t, "samples to run", func() error {
		if runningRequests(t, deployment) == 0 {
			return errors.New("all engines are idle")
		}
		return nil
	})
	for range 2 {
		var status api.StepStatus
		client.call(http.MethodDelete, "/steps/given-up", struct{}{}, &status)
		assert.Assert(t, status.Abandoned && status.Open == 0, "%+v", status)
	}
	eventually(t, "the engines to be idle", func() error {
		if running := runningRequests(t, deployment); running > 0 {
			return errors.Errorf("%d requests run", running)
		}
		return nil
	})
	assert.Assert(t, client.status("given-up").Abandoned)

	next := newTrainerClient(t, deployment)
	next.submit("kept", stepPrompts, stepSamples, 20)
	next.collectAll()
	next.checkDeliveries(executionsOf(t, deployment))
}

// runningRequests counts the requests that run or wait on the engines.
func runningRequests(t *testing.T, deployment *topology.Deployment) int {
	t.Helper()
	running := 0
	for _, engine := range deployment.Engines() {
		status, err := engine.Status(waitContext(t))
		assert.NilError(t, err)
		running += status.Running + status.Waiting
	}
	return running
}
