package integration

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/bench/topology"
	standin "github.com/corkpulley/corkpulley/internal/standin/engine"
	"github.com/corkpulley/corkpulley/test/history"
)

const (
	// maxRounds bounds the steps until all that must be proved has happened.
	maxRounds = 12
	// longTokens make a sample run long enough to be met in the middle.
	longTokens = 800
)

// TestInvariantVersionProvenance: each sample's segments equal what the engines
// really ran, token for token, through swaps in mid-sample, failed swaps and
// moves to another engine.
func TestInvariantVersionProvenance(t *testing.T) {
	t.Parallel()
	deployment := deploy(t)
	client := newTrainerClient(t, deployment)
	loadFailed := false
	proved := func() bool {
		return loadFailed && client.hasMixedSample() && client.hasMovedSample(executionsOf(t, deployment))
	}
	for round := 0; !proved(); round++ {
		assert.Assert(t, round < maxRounds, "no sample under two versions, no moved sample or no failed load, so too little was proved")
		client.submit(fmt.Sprintf("swap-%d", round), stepPrompts, stepSamples, longTokens)
		moved := busiest(t, deployment)
		failing := otherEngine(deployment, moved)
		failures := 1
		assert.NilError(t, failing.Control(limit(t), standin.Control{FailNextLoads: &failures}))
		client.publish()
		moved.Link.Cut()
		client.collect(len(client.deliveries) + 1)
		assert.NilError(t, moved.Link.Restore())
		moved.Kill()
		client.collectAll()
		loadFailed = loadFailed || hasFailedLoad(t, failing)
		assert.NilError(t, moved.Start(limit(t)))
	}
	client.checkDeliveries(executionsOf(t, deployment))
}

// otherEngine returns an engine of the same zone.
func otherEngine(deployment *topology.Deployment, engine *topology.Engine) *topology.Engine {
	for _, other := range deployment.Engines() {
		if other != engine && other.Zone == engine.Zone {
			return other
		}
	}
	return deployment.Engines()[0]
}

// hasMovedSample reports whether a delivered sample was begun on one engine and
// continued on another.
func (c *trainerClient) hasMovedSample(executions []history.Execution) bool {
	delivered := map[uint64]bool{}
	for i := range c.deliveries {
		delivered[history.PromptHash(c.deliveries[i].PromptText)] = true
	}
	for _, execution := range executions {
		if execution.StartIndex > 0 && delivered[execution.PromptHash] {
			return true
		}
	}
	return false
}

// hasFailedLoad reports whether an ordered load failed on the engine.
func hasFailedLoad(t *testing.T, engine *topology.Engine) bool {
	t.Helper()
	recorded, err := engine.History(limit(t))
	assert.NilError(t, err)
	return slices.ContainsFunc(recorded.Orders, func(order standin.OrderHistory) bool {
		return order.Result == standin.ResultFailed
	})
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
