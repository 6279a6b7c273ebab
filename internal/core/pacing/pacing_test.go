package pacing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	base  = 500 * time.Millisecond
	limit = 10 * time.Second
)

func budget(reads, nodes int) Budget {
	return Budget{Limits: Limits{ReadsPerSecond: reads}, Nodes: func() int { return nodes }}
}

func TestScalePeriodGrowsWithNodesUpToLimit(t *testing.T) {
	const nodesAtBase = 20
	assert.Equal(t, budget(2000, 0).ScalePeriod(base, limit), base)
	assert.Equal(t, budget(2000, nodesAtBase).ScalePeriod(base, limit), base)
	assert.Equal(t, budget(2000, 10*nodesAtBase).ScalePeriod(base, limit), 10*base)
	assert.Equal(t, budget(2000, 1000*nodesAtBase).ScalePeriod(base, limit), limit)
	assert.Equal(t, budget(2000, 1000*nodesAtBase).ScalePeriod(base, base/2), base)
}

func TestScalePeriodWithoutLimitsReturnsBase(t *testing.T) {
	assert.Equal(t, budget(0, 1000).ScalePeriod(base, limit), base)
	assert.Equal(t, Budget{Limits: Limits{ReadsPerSecond: 1}}.ScalePeriod(base, limit), base)
}

// Checks the read rate of all nodes if each makes nodeReadsPerSecond at the base period.
func TestReadsAtScaledPeriodStayWithinPacedShare(t *testing.T) {
	for _, reads := range []int{250, 2000, 6000} {
		for _, nodes := range []int{2, 10, 89, 420} {
			scaled := budget(reads, nodes).ScalePeriod(base, time.Hour)
			perSecond := float64(nodes*nodeReadsPerSecond) * base.Seconds() / scaled.Seconds()
			assert.Assert(t, perSecond <= max(pacedShare*float64(reads), 1)*1.001,
				"%d nodes: %.0f reads per second, the log serves %d", nodes, perSecond, reads)
		}
	}
}

// Guards against a period that is too short for the log to serve large reads of all nodes.
func TestMinPeriodLimitsBytesOfAllNodes(t *testing.T) {
	bounded := Budget{Limits: Limits{BytesPerSecond: 80_000_000}, Nodes: func() int { return 300 }}
	assert.Equal(t, bounded.MinPeriod(1_000_000, time.Hour), 7500*time.Millisecond)
	assert.Equal(t, bounded.MinPeriod(1_000_000, time.Second), time.Second)
	assert.Equal(t, budget(2000, 300).MinPeriod(1_000_000, time.Hour), time.Duration(0))
}
