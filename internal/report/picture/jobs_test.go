package picture

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/report/timeline"
)

// Guards against a full bar for a job whose submission or end is not in the logs.
func TestJobWithUnknownBoundsHasThinBar(t *testing.T) {
	axis := &timeAxis{first: time.UnixMilli(0), span: 10 * time.Second}
	submitted, ended, last := time.UnixMilli(1000), time.UnixMilli(4000), time.UnixMilli(9000)
	for _, known := range []struct {
		job      timeline.Job
		from, to float64
		share    float64
	}{
		{timeline.Job{FirstSubmitAttempt: submitted, Submitted: submitted, EndRequested: ended}, 1, 4, barShare},
		{timeline.Job{FirstSubmitAttempt: submitted, Submitted: submitted}, 1, 9, thinBarShare},
		{timeline.Job{Ended: ended, EndRequested: ended}, 4, 4, thinBarShare},
		{timeline.Job{FirstEndRefused: ended, LastEndRefused: ended, EndsRefused: 1}, 4, 9, thinBarShare},
	} {
		drawn := &barChart{}
		drawn.addJob(axis, &known.job, 0, last)
		assert.Equal(t, len(drawn.bars), 1)
		assert.Equal(t, drawn.bars[0].from, known.from)
		assert.Equal(t, drawn.bars[0].to, known.to)
		assert.Equal(t, drawn.bars[0].share, known.share)
	}
}
