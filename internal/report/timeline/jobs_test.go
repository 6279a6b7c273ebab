package timeline

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a job shown as ended although every call for its end was refused.
func TestRefusedEndCallDoesNotEndJob(t *testing.T) {
	built := readLines(t, Options{MinimumGap: time.Second},
		line(1000, "n1", `"job":"j","step":3,"model":"m","items":8,`, messageJobSubmitted),
		line(2000, "n2", `"job":"j","error":"log_unavailable: no contact",`, messageJobEndRequested),
		line(3000, "n3", `"job":"j","error":"log_unavailable: no contact",`, messageJobEndRequested))
	job := built.Jobs[0]
	assert.Assert(t, job.EndRequested.IsZero())
	assert.Equal(t, job.EndsRefused, 2)
	assert.Equal(t, job.FirstEndRefused.UnixMilli(), int64(2000))
	assert.Equal(t, job.LastEndRefused.UnixMilli(), int64(3000))
	assert.Assert(t, strings.Contains(strings.Join(built.NotInLogs, "\n"), "the accepted end of 1 jobs"))
}

// Guards against a job submitted at a refused call, and against a repeated end call moving its end.
func TestOnlyAcceptedCallsSetJobTimes(t *testing.T) {
	built := readLines(t, Options{MinimumGap: time.Second},
		line(1000, "n1", `"job":"j","model":"m","error":"log_unavailable",`, messageJobSubmitted),
		line(1500, "n2", `"job":"j","model":"m",`, messageJobSubmitted),
		line(1600, "n3", `"job":"j","model":"m",`, messageJobAccepted),
		line(1700, "n3", `"job":"j","item":"i",`, messageItemStarted),
		line(4000, "n1", `"job":"j",`, messageJobEndRequested),
		line(5000, "n1", `"job":"j",`, messageJobEndRequested))
	job := built.Jobs[0]
	assert.Equal(t, job.SubmitsRefused, 1)
	assert.Equal(t, job.Submitted.UnixMilli(), int64(1500))
	assert.Equal(t, job.FirstStart.UnixMilli(), int64(1700))
	assert.Equal(t, job.EndRequested.UnixMilli(), int64(4000))
	assert.Equal(t, job.First().UnixMilli(), int64(1000))
}
