package suspension

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// testClocks provides settable clocks for a Detector.
type testClocks struct{ wall, boot time.Time }

func (c *testClocks) detector() *Detector {
	return newDetector(clocks{wall: func() time.Time { return c.wall }, boot: func() time.Time { return c.boot }})
}

func (c *testClocks) advance(wall, boot time.Duration) {
	c.wall, c.boot = c.wall.Add(wall), c.boot.Add(boot)
}

func TestSuspensionIsDetectedBeforeNextTick(t *testing.T) {
	c := &testClocks{wall: time.Unix(1000, 0), boot: time.Unix(50, 0)}
	detector := c.detector()
	c.advance(minSuspension-1, minSuspension-1)
	assert.Assert(t, detector.ResumedAt().IsZero(), "a short delay was detected as a suspension")
	c.advance(minSuspension, minSuspension)
	resumedAt := c.boot
	assert.Equal(t, detector.ResumedAt(), resumedAt)
	c.advance(tickInterval, tickInterval)
	assert.Equal(t, detector.ResumedAt(), resumedAt)
}

func TestWallClockJumpIsNotASuspension(t *testing.T) {
	c := &testClocks{wall: time.Unix(1000, 0), boot: time.Unix(50, 0)}
	detector := c.detector()
	c.advance(time.Hour, tickInterval)
	assert.Assert(t, detector.ResumedAt().IsZero())
}

// Guards against false detections on a busy machine, where the ticker may be seconds late while callers run.
func TestLateTickerIsNotASuspension(t *testing.T) {
	c := &testClocks{wall: time.Unix(1000, 0), boot: time.Unix(50, 0)}
	detector := c.detector()
	for range 20 {
		c.advance(minSuspension/2, minSuspension/2)
		assert.Assert(t, detector.ResumedAt().IsZero(), "a late ticker was detected as a suspension")
	}
	c.advance(minSuspension, minSuspension)
	assert.Equal(t, detector.ResumedAt(), c.boot)
}
