package batchrun

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestARunThatDoesNotBeginGoesOnElsewhere, though the engine took it.
func TestARunThatDoesNotBeginGoesOnElsewhere(t *testing.T) {
	w := newWorld(t, "fast")
	w.engines.events["x"], w.engines.events["y"] = 30, 30
	w.engines.pause["fast"], w.engines.pause["dark"] = 10*time.Millisecond, time.Hour
	w.lead()
	w.submit("j", 1, "y")
	w.awaitResults(1)
	w.engines.setVersion("dark", 1)
	w.fleet.Put(engineOf("dark"))
	w.submit("j2", 1, "x")
	result := w.awaitResults(2)
	assert.Equal(t, string(result["j2/0"].Text), wholeText("x", 30))
}
