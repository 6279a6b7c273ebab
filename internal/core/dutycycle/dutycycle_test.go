package dutycycle

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

func TestShortRoundsAreLimitedByPeriod(t *testing.T) {
	cycle := New(50*time.Millisecond, 0.2)
	assert.Assert(t, cycle.Due(start))
	cycle.Ended(start, start.Add(time.Millisecond))
	assert.Assert(t, !cycle.Due(start.Add(49*time.Millisecond)))
	assert.Equal(t, cycle.Wait(start.Add(20*time.Millisecond)), 30*time.Millisecond)
	assert.Assert(t, cycle.Due(start.Add(50*time.Millisecond)))
}

func TestLongRoundsAreLimitedByShare(t *testing.T) {
	cycle := New(50*time.Millisecond, 0.2)
	now, worked := start, time.Duration(0)
	const round = 30 * time.Millisecond
	for range 100 {
		now = now.Add(cycle.Wait(now))
		cycle.Ended(now, now.Add(round))
		now = now.Add(round)
		worked += round
	}
	share := worked.Seconds() / now.Sub(start).Seconds()
	assert.Assert(t, share > 0.19 && share < 0.21, "%.2f of the time", share)
}

// Guards against a long wait after a round during which the process was paused for seconds.
func TestWaitAfterStalledRoundIsBounded(t *testing.T) {
	cycle := New(50*time.Millisecond, 0.05)
	const stall = 3400 * time.Millisecond
	cycle.Ended(start, start.Add(stall))
	assert.Equal(t, cycle.Wait(start.Add(stall)), 2*time.Second)
}
