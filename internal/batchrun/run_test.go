package batchrun

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The engine accepts the call but sends no event.
func TestRunWithoutEventsMovesToAnotherEngine(t *testing.T) {
	env := newTestEnv(t, "fast")
	env.engines.events["x"], env.engines.events["y"] = 30, 30
	env.engines.pause["fast"], env.engines.pause["silent"] = 10*time.Millisecond, time.Hour
	env.startRunner()
	env.submit("j", 1, "y")
	env.awaitResults(1)
	env.engines.setVersion("silent", 1)
	env.fleet.Put(engineOf("silent"))
	env.submit("j2", 1, "x")
	result := env.awaitResults(2)
	assert.Equal(t, string(result["j2/0"].Text), fullText("x", 30))
}
