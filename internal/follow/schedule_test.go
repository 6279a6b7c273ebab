package follow

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var now = time.Unix(1000, 0)

func TestFullReadsFollowThePeriod(t *testing.T) {
	schedule := fullReadSchedule{postponed: true}
	assert.Assert(t, schedule.isDue(now), "the first is due at once")
	schedule.recordFullRead(now, time.Minute)
	assert.Assert(t, !schedule.isDue(now.Add(time.Second)))
	assert.Assert(t, schedule.isDue(now.Add(2*time.Minute)))
}

func TestFullReadDueInAnOutageIsPostponedOnce(t *testing.T) {
	var schedule fullReadSchedule
	schedule.recordFullRead(now, time.Second)
	schedule.recordFailure()
	now := now.Add(5 * time.Second)
	assert.Assert(t, !schedule.isDue(now), "changes are read first")
	schedule.recordSuccess(now, time.Second)
	assert.Assert(t, !schedule.isDue(now))
	schedule.recordFailure()
	schedule.recordSuccess(now, time.Second)
	assert.Assert(t, schedule.isDue(now.Add(2*time.Second)), "it is postponed only once")
	schedule.recordFailure()
	assert.Assert(t, schedule.isDue(now.Add(2*time.Second)))
}

func TestFailureDoesNotPostponeFullReadNotYetDue(t *testing.T) {
	var schedule fullReadSchedule
	schedule.recordFullRead(now, time.Second)
	schedule.recordFailure()
	schedule.recordSuccess(now, time.Minute)
	assert.Assert(t, schedule.isDue(now.Add(2*time.Second)))
}

func TestForceMakesFullReadDueAtOnce(t *testing.T) {
	var schedule fullReadSchedule
	schedule.recordFullRead(now, time.Minute)
	schedule.force()
	schedule.recordFailure()
	assert.Assert(t, schedule.isDue(now))
}
