package integration

import (
	"fmt"
	"testing"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/bench/topology"
	standin "github.com/corkpulley/corkpulley/internal/standin/engine"
)

// TestInvariantVersionProvenance: each sample's segments equal what the engines
// really ran, token for token, through swaps in mid-sample, failed swaps and
// moves to another engine.
func TestInvariantVersionProvenance(t *testing.T) {
	deployment := deploy(t)
	ran := engineHistory{deployment: deployment}
	client := newTrainerClient(t, deployment)
	failures := 1
	const longTokens = 400
	for round := 0; !client.hasMixedSample(); round++ {
		assert.Assert(t, round < 10, "no sample was drawn under two versions")
		step := fmt.Sprintf("swap-%d", round)
		client.submit(step, stepPrompts, stepSamples, longTokens)
		first := deployment.Engine("e1")
		assert.NilError(t, first.Control(limit(t), standin.Control{FailNextLoads: &failures}))
		waitRunning(t, deployment)
		client.publish()
		moved := deployment.Engine("e2")
		moved.Link.Cut()
		client.collect(len(client.deliveries) + 1)
		assert.NilError(t, moved.Link.Restore())
		client.collectAll()
	}
	client.checkDeliveries(ran.executions(t), false)
}

// hasMixedSample reports whether a delivered sample has two versions.
func (c *trainerClient) hasMixedSample() bool {
	for i := range c.deliveries {
		if len(c.deliveries[i].Sample.Versions) > 1 {
			return true
		}
	}
	return false
}

// waitRunning waits until an engine runs samples.
func waitRunning(t *testing.T, deployment *topology.Deployment) {
	t.Helper()
	eventually(t, "samples to run", func() error {
		for _, engine := range deployment.Engines() {
			status, err := engine.Status(limit(t))
			if err == nil && status.Running > 0 {
				return nil
			}
		}
		return errors.New("all engines are idle")
	})
}
