package standstill

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// machine provides the clocks of a watch.
type machine struct{ wall, boot time.Time }

func (m *machine) watch() *Watch {
	return newWatch(clocks{wall: func() time.Time { return m.wall }, boot: func() time.Time { return m.boot }})
}

func (m *machine) pass(wall, boot time.Duration) {
	m.wall, m.boot = m.wall.Add(wall), m.boot.Add(boot)
}

// TestAStandstillIsNoticedByWhoeverAsksFirst: even before the ticker runs again.
func TestAStandstillIsNoticedByWhoeverAsksFirst(t *testing.T) {
	m := &machine{wall: time.Unix(1000, 0), boot: time.Unix(50, 0)}
	watch := m.watch()
	m.pass(minStandstill-1, minStandstill-1)
	assert.Assert(t, watch.WokeAt().IsZero(), "a delay counts as a standstill")
	m.pass(minStandstill, minStandstill)
	woke := m.boot
	assert.Equal(t, watch.WokeAt(), woke)
	m.pass(tickPeriod, tickPeriod)
	assert.Equal(t, watch.WokeAt(), woke)
}

// TestAClockThatIsSetIsNoStandstill: the wall clock jumps while the machine runs.
func TestAClockThatIsSetIsNoStandstill(t *testing.T) {
	m := &machine{wall: time.Unix(1000, 0), boot: time.Unix(50, 0)}
	watch := m.watch()
	m.pass(time.Hour, tickPeriod)
	assert.Assert(t, watch.WokeAt().IsZero())
}

// TestAProcessThatServesHasNotStoodStill: on a busy machine the ticker may be late by seconds while callers
// run.
func TestAProcessThatServesHasNotStoodStill(t *testing.T) {
	m := &machine{wall: time.Unix(1000, 0), boot: time.Unix(50, 0)}
	watch := m.watch()
	for range 20 {
		m.pass(minStandstill/2, minStandstill/2)
		assert.Assert(t, watch.WokeAt().IsZero(), "a late ticker counts as a standstill")
	}
	m.pass(minStandstill, minStandstill)
	assert.Equal(t, watch.WokeAt(), m.boot)
}
