package settings

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a node that does not start because it rejects the platform's order_quiet.
func TestCheckAcceptsTypicalOrderQuietValues(t *testing.T) {
	for _, quiet := range []time.Duration{0, 500 * time.Millisecond, 10 * time.Second, 90 * time.Second} {
		settings := Default()
		settings.Node = Node{ID: "n1", Zone: "tumwater", Region: "pnw"}
		settings.Hosted.Log = "127.0.0.1:1"
		settings.Hosted.OrderQuiet = Duration(quiet)
		assert.Equal(t, len(Check(settings)), 0, "%s: %v", quiet, Check(settings))
	}
}
