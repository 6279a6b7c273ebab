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

// TestInvariantCompleteResponse: each caller gets all of its own answer, in
// order, through engine crashes, cut, stalled and slow links, and duplicated and
// late chunks.
func TestInvariantCompleteResponse(t *testing.T) {
	t.Parallel()
	deployment := deploy(t)
	answers := lookups(deployment, 30, 100)
	answers.TokenSpread = 36
	load := startLoad(t, answers)
	load.waitOK(t, 20)

	crashInMidAnswer(t, deployment, load)

	cut := busiest(t, deployment)
	for range 3 {
		assert.NilError(t, cut.Link.Reset())
		load.waitOK(t, 10)
	}
	assert.NilError(t, cut.Link.Stall())
	load.waitOK(t, 20)
	assert.NilError(t, cut.Link.Restore())

	slow := busiest(t, deployment)
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
		assert.NilError(t, repeating.Control(limit(t), standin.Control{RepeatChunks: &repeat}))
	}
	load.waitOK(t, 40)
	outcomes := load.stop(t)
	checkAnswers(t, outcomes, executionsOf(t, deployment), false)
	for i := range outcomes {
		outcome := &outcomes[i]
		assert.Check(t, outcome.OK() || outcome.Refused(), "a repeatable call was given up: %+v", outcome)
	}
}

// crashInMidAnswer kills engines until one had begun an answer and not ended it,
// and goes on until other calls are answered.
func crashInMidAnswer(t *testing.T, deployment *topology.Deployment, load *runningLoad) {
	t.Helper()
	eventually(t, "an engine to crash in the middle of an answer", func() error {
		crashed := busiest(t, deployment)
		crashed.Kill()
		cut := cutAnswers(executionsOf(t, deployment), crashed.ID)
		load.waitOK(t, 20)
		assert.NilError(t, crashed.Start(limit(t)))
		if cut == 0 {
			return errors.New("the engine was between answers")
		}
		return nil
	})
}

// cutAnswers counts the answers that processes of an engine began and, being
// killed, did not end.
func cutAnswers(executions []history.Execution, engineID string) int {
	count := 0
	for _, execution := range executions {
		if execution.Engine == engineID && execution.Outcome == standin.OutcomeRunning && len(execution.Spans) > 0 {
			count++
		}
	}
	return count
}
