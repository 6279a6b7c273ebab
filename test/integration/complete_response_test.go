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

// Each caller gets its complete response in order despite engine crashes, reset, stalled and slow links, and repeated
// chunks.
func TestInvariantCompleteResponse(t *testing.T) {
	t.Parallel()
	deployment := deploy(t)
	lookups := newLookupLoad(deployment, 30, 100)
	lookups.TokenSpread = 36
	load := startLoad(t, lookups)
	load.waitOK(t, 20)

	crashMidResponse(t, deployment, load)

	reset := busiestEngine(t, deployment)
	for range 3 {
		assert.NilError(t, reset.Link.Reset())
		load.waitOK(t, 10)
	}
	assert.NilError(t, reset.Link.Stall())
	load.waitOK(t, 20)
	assert.NilError(t, reset.Link.Restore())

	slow := busiestEngine(t, deployment)
	assert.NilError(t, slow.Link.SetBandwidth(16))
	assert.NilError(t, slow.Link.Slice(8, time.Millisecond))
	load.waitOK(t, 20)
	assert.NilError(t, slow.Link.Restore())

	for _, node := range deployment.Nodes() {
		assert.NilError(t, node.PeerLink.SetLatency(5*time.Millisecond))
		assert.NilError(t, node.PeerLink.Reset())
		load.waitOK(t, 20)
	}
	repeat := true
	for _, repeating := range deployment.Engines() {
		assert.NilError(t, repeating.Control(waitContext(t), standin.Control{RepeatChunks: &repeat}))
	}
	load.waitOK(t, 40)
	outcomes := load.stop(t)
	checkAnswers(t, outcomes, executionsOf(t, deployment), false)
	for i := range outcomes {
		outcome := &outcomes[i]
		assert.Check(t, outcome.OK() || outcome.Refused(), "a repeatable call failed: %+v", outcome)
	}
}

// crashMidResponse kills engines until one was in the middle of a response, each time waiting for other calls to
// be answered.
func crashMidResponse(t *testing.T, deployment *topology.Deployment, load *runningLoad) {
	t.Helper()
	eventually(t, "an engine to crash in the middle of a response", func() error {
		crashed := busiestEngine(t, deployment)
		crashed.Kill()
		interrupted := interruptedResponses(executionsOf(t, deployment), crashed.ID)
		load.waitOK(t, 20)
		assert.NilError(t, crashed.Start(waitContext(t)))
		if interrupted == 0 {
			return errors.New("the engine was not sending a response")
		}
		return nil
	})
}

// interruptedResponses counts the responses that an engine began and, being killed, did not end.
func interruptedResponses(executions []history.Execution, engineID string) int {
	count := 0
	for _, execution := range executions {
		if execution.Engine == engineID && execution.Outcome == standin.OutcomeRunning && len(execution.Spans) > 0 {
			count++
		}
	}
	return count
}
