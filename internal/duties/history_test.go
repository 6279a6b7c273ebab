package duties

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/usage"
	"github.com/corkpulley/corkpulley/internal/standin/leaseterm"
	"github.com/corkpulley/corkpulley/internal/standin/memlog"
)

// TestAWindowIsReportedOnceThoughTheLogForgot: the log has dropped its records when the next
// holder starts, and a node that was partitioned writes its old counts.
func TestAWindowIsReportedOnceThoughTheLogForgot(t *testing.T) {
	t.Parallel()
	log, platform := memlog.New(), newFakePlatform()
	one, _ := counting(t, log, "one")
	now := time.Now()
	window := usage.WindowOf(now, span)
	one.Began("a", now)
	first := &leaseterm.Term{}
	stop := reporting(t, log, platform, first, 1)
	awaitReport(t, platform, window)
	first.SetOver(true)
	stop()
	log.Trim(reportPartition, log.End(reportPartition))
	log.Trim(countPartition, log.End(countPartition))
	two, _ := counting(t, log, "two")
	two.Began("a", now)
	two.Began("a", now)
	reporting(t, log, platform, &leaseterm.Term{}, 2)
	awaitReport(t, platform, usage.WindowOf(time.Now(), span)+2)
	platform.mu.Lock()
	defer platform.mu.Unlock()
	assert.Equal(t, platform.changed, 0, "two reports of a window")
}
