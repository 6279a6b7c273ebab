package duties

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/pacing"
	"github.com/corkpulley/corkpulley/internal/core/usage"
	"github.com/corkpulley/corkpulley/internal/eventlog"
	"github.com/corkpulley/corkpulley/internal/standin/fakelease"
	"github.com/corkpulley/corkpulley/internal/standin/memlog"
	"github.com/corkpulley/corkpulley/internal/testwait"
)

const (
	span        = 400 * time.Millisecond
	reportDelay = 800 * time.Millisecond
)

// runInBackground runs a function until the test ends or stop is called.
func runInBackground(t *testing.T, run func(ctx context.Context)) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		run(ctx)
	}()
	stop = func() {
		cancel()
		<-done
	}
	t.Cleanup(stop)
	return stop
}

func startCounter(t *testing.T, log *memlog.Log, source string) (counter *Counter, stop func()) {
	t.Helper()
	counter = NewCounter(log, source, span, pacing.Budget{}, zerolog.Nop())
	return counter, runInBackground(t, func(ctx context.Context) { _ = counter.Run(ctx) })
}

func startReporter(t *testing.T, log *memlog.Log, platform Platform, term *fakelease.Term, fence int64) (stop func()) {
	t.Helper()
	reporter := NewReporter(ReporterOptions{
		Log: log, Platform: platform, Term: term, Holder: Holder{Node: "n", Fence: fence},
		Span: span, ReportDelay: reportDelay, Logger: zerolog.Nop(),
	})
	return runInBackground(t, reporter.Run)
}

func awaitReport(t *testing.T, platform *fakePlatform, window usage.Window) usage.Counts {
	t.Helper()
	testwait.Until(t, "the window is reported", func() bool {
		_, found := platform.reported(window)
		return found
	})
	counts, _ := platform.reported(window)
	return counts
}

func TestReportSumsCountsOfAllNodes(t *testing.T) {
	t.Parallel()
	log, platform, term := memlog.New(), newFakePlatform(), &fakelease.Term{}
	one, _ := startCounter(t, log, "one")
	two, _ := startCounter(t, log, "two")
	now := time.Now()
	startReporter(t, log, platform, term, 1)
	for range 3 {
		one.CountRequest("a", now)
	}
	two.CountRequest("a", now)
	two.CountRequest("b", now)
	two.CountRequest("", now)
	assert.DeepEqual(t, awaitReport(t, platform, usage.WindowOf(now, span)), usage.Counts{"a": 4, "b": 1})
	// A window without requests is reported as well.
	assert.DeepEqual(t, awaitReport(t, platform, usage.WindowOf(now, span)+1), usage.Counts{})
	assert.Assert(t, len(term.Permitted()) >= 2)
	assert.Equal(t, term.Permitted()[0], usageSubject)
}

func TestCounterWritesCountsAtShutdown(t *testing.T) {
	t.Parallel()
	log, platform := memlog.New(), newFakePlatform()
	counter, stop := startCounter(t, log, "one")
	now := time.Now()
	counter.CountRequest("a", now)
	stop()
	startReporter(t, log, platform, &fakelease.Term{}, 1)
	assert.DeepEqual(t, awaitReport(t, platform, usage.WindowOf(now, span)), usage.Counts{"a": 1})
}

// unresponsiveLog blocks appends until their context ends.
type unresponsiveLog struct{ *memlog.Log }

func (unresponsiveLog) Append(ctx context.Context, _ eventlog.Partition, _ [][]byte) (int64, error) {
	<-ctx.Done()
	return 0, ctx.Err()
}

// TestCounterShutdownWithUnresponsiveLog guards against a last write that outlasts the 350 ms (hosted.minTaskTime) that
// a stopping node leaves for it.
func TestCounterShutdownWithUnresponsiveLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		counter := NewCounter(unresponsiveLog{memlog.New()}, "one", span, pacing.Budget{}, zerolog.Nop())
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = counter.Run(ctx)
		}()
		counter.CountRequest("a", time.Now())
		time.Sleep(10 * time.Second)
		stopped := time.Now()
		cancel()
		<-ended
		assert.Assert(t, time.Since(stopped) < 350*time.Millisecond, "%s", time.Since(stopped))
	})
}

// TestCountsSurviveAppendFaults guards against lost counts, and against double counting of records that are written
// twice.
func TestCountsSurviveAppendFaults(t *testing.T) {
	t.Parallel()
	for name, fault := range map[string]memlog.Fault{
		"lost answers": memlog.LostResponse, "refused": memlog.Refused, "lost calls": memlog.LostCall,
		"late effects": memlog.DelayedEffect,
	} {
		t.Run(name, func(t *testing.T) {
			log, platform := memlog.New(), newFakePlatform()
			log.SetFault(func(call memlog.Call) memlog.Fault {
				if call.Append {
					return fault
				}
				return memlog.None
			})
			counter, _ := startCounter(t, log, "one")
			// The report of this window is decided after the faults have ended.
			now := time.Now().Add(reportDelay)
			counter.CountRequest("a", now)
			startReporter(t, log, platform, &fakelease.Term{}, 1)
			time.Sleep(2 * countDelay)
			counter.CountRequest("a", now)
			time.Sleep(2 * countDelay)
			log.SetFault(nil)
			log.ReleaseDelayed()
			assert.DeepEqual(t, awaitReport(t, platform, usage.WindowOf(now, span)), usage.Counts{"a": 2})
			assert.Equal(t, platform.changed, 0)
		})
	}
}

// TestNewHolderRepeatsReportUnchanged: the previous holder decided the report, and its call got no answer. Later
// counts must not change the report.
func TestNewHolderRepeatsReportUnchanged(t *testing.T) {
	t.Parallel()
	log, platform := memlog.New(), newFakePlatform()
	platform.answer = func() (Answer, bool) { return Unanswered, true }
	counter, _ := startCounter(t, log, "one")
	now := time.Now()
	window := usage.WindowOf(now, span)
	counter.CountRequest("a", now)
	first := &fakelease.Term{}
	stop := startReporter(t, log, platform, first, 1)
	awaitReport(t, platform, window)
	first.SetEnded(true)
	stop()
	counter.CountRequest("a", now)
	time.Sleep(2 * countDelay)
	platform.mu.Lock()
	platform.answer = nil
	before := platform.calls
	platform.mu.Unlock()
	startReporter(t, log, platform, &fakelease.Term{}, 2)
	awaitReport(t, platform, window+2)
	platform.mu.Lock()
	defer platform.mu.Unlock()
	assert.Equal(t, platform.changed, 0, "two reports of a window")
	assert.Assert(t, platform.calls > before)
	assert.DeepEqual(t, platform.reports[window], usage.Counts{"a": 1})
}

// TestConcurrentLeadersDecideOneReport: two nodes act as leader and have read different counts.
func TestConcurrentLeadersDecideOneReport(t *testing.T) {
	t.Parallel()
	log, platform := memlog.New(), newFakePlatform()
	counter, _ := startCounter(t, log, "one")
	stopped := make(chan struct{})
	runInBackground(t, func(ctx context.Context) {
		defer close(stopped)
		for ctx.Err() == nil {
			counter.CountRequest("a", time.Now().Add(-reportDelay))
			time.Sleep(time.Millisecond)
		}
	})
	startReporter(t, log, platform, &fakelease.Term{}, 1)
	startReporter(t, log, platform, &fakelease.Term{}, 2)
	awaitReport(t, platform, usage.WindowOf(time.Now(), span)+4)
	platform.mu.Lock()
	defer platform.mu.Unlock()
	assert.Equal(t, platform.changed, 0, "two reports of a window")
}

// TestReporterWaitsAfterConflict guards against retrying at once while another node has a higher fencing token.
func TestReporterWaitsAfterConflict(t *testing.T) {
	t.Parallel()
	log, platform, term := memlog.New(), newFakePlatform(), &fakelease.Term{}
	platform.fence[usageSubject] = 9
	startReporter(t, log, platform, term, 1)
	testwait.Until(t, "one call", func() bool {
		platform.mu.Lock()
		defer platform.mu.Unlock()
		return platform.calls == 1
	})
	time.Sleep(4 * span)
	term.SetEnded(true)
	platform.mu.Lock()
	defer platform.mu.Unlock()
	assert.Equal(t, platform.calls, 1)
	assert.Equal(t, len(platform.reports), 0)
}

func TestReporterStopsAfterMaxConflicts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, platform := memlog.New(), newFakePlatform()
		platform.fence[usageSubject] = 9
		stop := startReporter(t, log, platform, &fakelease.Term{}, 1)
		time.Sleep(6 * conflictDelay)
		synctest.Wait()
		platform.mu.Lock()
		calls := platform.calls
		platform.mu.Unlock()
		assert.Equal(t, calls, maxConflicts)
		stop()
	})
}

func TestReporterWaitsForQuietPeriod(t *testing.T) {
	t.Parallel()
	log, platform := memlog.New(), newFakePlatform()
	quietUntil := time.Now().Add(3 * reportDelay)
	term := &fakelease.Term{QuietUntilFunc: func(string) time.Time { return quietUntil }}
	now := time.Now()
	startReporter(t, log, platform, term, 2)
	awaitReport(t, platform, usage.WindowOf(now, span))
	assert.Assert(t, time.Now().After(quietUntil))
}

// TestZeroSpanDisablesCounter checks that nothing is written, not even at shutdown.
func TestZeroSpanDisablesCounter(t *testing.T) {
	t.Parallel()
	log := memlog.New()
	counter := NewCounter(log, "one", 0, pacing.Budget{}, zerolog.Nop())
	counter.CountRequest("a", time.Now())
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.NilError(t, counter.Run(ctx))
	assert.Equal(t, log.End(countPartition), int64(0))
}
