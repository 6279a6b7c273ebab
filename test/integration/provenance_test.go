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
	// maxRounds bounds the steps until all required cases have occurred.
	maxRounds = 12
	// longSampleTokens makes samples long enough to be interrupted midway.
	longSampleTokens = 800
)

// Segments of samples must match what the engines ran, token by token, through weight swaps within a sample,
// failed swaps and moves to another engine.
func TestInvariantVersionProvenance(t *testing.T) {
	t.Parallel()
	deployment := deploy(t)
	client := newTrainerClient(t, deployment)
	loadFailed := false
	covered := func() bool {
		return loadFailed && client.hasMultiVersionSample() && client.hasResumedSample(executionsOf(t, deployment))
	}
	for round := 0; !covered(); round++ {
		assert.Assert(t, round < maxRounds,
			"no sample under two versions, no resumed sample or no failed load, so the test covered too little")
		client.submit(fmt.Sprintf("swap-%d", round), stepPrompts, stepSamples, longSampleTokens)
		moved := busiestEngine(t, deployment)
		failing := otherEngine(deployment, moved)
		failures := 1
		assert.NilError(t, failing.Control(waitContext(t), standin.Control{FailNextLoads: &failures}))
		client.publish()
		moved.Link.Cut()
		client.collect(len(client.deliveries) + 1)
		assert.NilError(t, moved.Link.Restore())
		moved.Kill()
		client.collectAll()
		loadFailed = loadFailed || hasFailedLoad(t, failing)
		assert.NilError(t, moved.Start(waitContext(t)))
	}
	client.checkDeliveries(executionsOf(t, deployment))
}

// otherEngine returns another engine of the same zone.
func otherEngine(deployment *topology.Deployment, engine *topology.Engine) *topology.Engine {
	for _, other := range deployment.Engines() {
		if other != engine && other.Zone == engine.Zone {
			return other
		}
	}
	return deployment.Engines()[0]
}

// hasResumedSample reports whether a delivered sample was resumed on another engine.
func (c *trainerClient) hasResumedSample(executions []history.Execution) bool {
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

// hasFailedLoad reports whether an ordered weight load failed on the engine.
func hasFailedLoad(t *testing.T, engine *topology.Engine) bool {
	t.Helper()
	recorded, err := engine.History(waitContext(t))
	assert.NilError(t, err)
	return slices.ContainsFunc(recorded.Orders, func(order standin.OrderHistory) bool {
		return order.Result == standin.ResultFailed
	})
}

// hasMultiVersionSample reports whether a delivered sample has segments of several versions.
func (c *trainerClient) hasMultiVersionSample() bool {
	for i := range c.deliveries {
		if len(c.deliveries[i].Sample.Versions) > 1 {
			return true
		}
	}
	return false
}
