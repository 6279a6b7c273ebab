package pacing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestPeriodsGrowWithTheNodesUpToALimit(t *testing.T) {
	const base, limit = 500 * time.Millisecond, 10 * time.Second
	assert.Equal(t, Stretch(base, limit, 0), base)
	assert.Equal(t, Stretch(base, limit, nodesAtBase), base)
	assert.Equal(t, Stretch(base, limit, 10*nodesAtBase), 10*base)
	assert.Equal(t, Stretch(base, limit, 1000*nodesAtBase), limit)
	assert.Equal(t, Stretch(base, base/2, 1000*nodesAtBase), base)
}

// TestReadsOfAllNodesStayBounded: the reads a second of all nodes together.
func TestReadsOfAllNodesStayBounded(t *testing.T) {
	for _, nodes := range []int{12, 60, 120, 240} {
		period := Stretch(500*time.Millisecond, 10*time.Second, nodes)
		assert.Assert(t, float64(nodes)/period.Seconds() <= 2*nodesAtBase, "%d nodes", nodes)
	}
}
