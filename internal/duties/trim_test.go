package duties

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/usage"
	"github.com/corkpulley/corkpulley/internal/standin/fakelease"
	"github.com/corkpulley/corkpulley/internal/standin/memlog"
)

// TestWindowIsReportedOnceAfterTrim: the log is trimmed before the next holder starts, and a node that was partitioned
// writes counts of a reported window.
func TestWindowIsReportedOnceAfterTrim(t *testing.T) {
	t.Parallel()
	log, platform := memlog.New(), newFakePlatform()
	one, _ := startCounter(t, log, "one")
	now := time.Now()
	window := usage.WindowOf(now, span)
	one.CountRequest("a", now)
	first := &fakelease.Term{}
	stop := startReporter(t, log, platform, first, 1)
	awaitReport(t, platform, window)
	first.SetEnded(true)
	stop()
	log.Trim(reportPartition, log.End(reportPartition))
	log.Trim(countPartition, log.End(countPartition))
	two, _ := startCounter(t, log, "two")
	two.CountRequest("a", now)
	two.CountRequest("a", now)
	startReporter(t, log, platform, &fakelease.Term{}, 2)
	awaitReport(t, platform, usage.WindowOf(time.Now(), span)+2)
	platform.mu.Lock()
	defer platform.mu.Unlock()
	assert.Equal(t, platform.changed, 0, "two reports of a window")
}
