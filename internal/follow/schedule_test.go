package follow

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var now = time.Unix(1000, 0)

func TestWholeReadsFollowThePeriod(t *testing.T) {
	schedule := refreshSchedule{postponed: true}
	assert.Assert(t, schedule.isDue(now), "the first is due at once")
	schedule.done(now, time.Minute)
	assert.Assert(t, !schedule.isDue(now.Add(time.Second)))
	assert.Assert(t, schedule.isDue(now.Add(2*time.Minute)))
}

func TestWholeReadThatCameDueInAnOutageIsPostponedOnce(t *testing.T) {
	var schedule refreshSchedule
	schedule.done(now, time.Second)
	schedule.failed()
	now := now.Add(5 * time.Second)
	assert.Assert(t, !schedule.isDue(now), "changes are read first")
	schedule.worked(now, time.Second)
	assert.Assert(t, !schedule.isDue(now))
	schedule.failed()
	schedule.worked(now, time.Second)
	assert.Assert(t, schedule.isDue(now.Add(2*time.Second)), "no second failure puts it off")
	schedule.failed()
	assert.Assert(t, schedule.isDue(now.Add(2*time.Second)))
}

func TestAFailureDoesNotPutOffWhatIsNotDue(t *testing.T) {
	var schedule refreshSchedule
	schedule.done(now, time.Second)
	schedule.failed()
	schedule.worked(now, time.Minute)
	assert.Assert(t, schedule.isDue(now.Add(2*time.Second)))
}

func TestLostRecordsMakeAWholeReadDueAtOnce(t *testing.T) {
	var schedule refreshSchedule
	schedule.done(now, time.Minute)
	schedule.force()
	schedule.failed()
	assert.Assert(t, schedule.isDue(now))
}
