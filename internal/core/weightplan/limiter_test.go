package weightplan

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// source sustains a number of concurrent loads at full speed and divides its bandwidth among more.
type source struct {
	sustained int
	loadTime  time.Duration
}

func (s source) duration(concurrent int) time.Duration {
	return max(s.loadTime, s.loadTime*time.Duration(concurrent)/time.Duration(s.sustained))
}

// runRounds runs rounds of as many concurrent loads as the limiter permits, and returns the time when they end.
func runRounds(limiter *Limiter, src source, rounds int, now time.Time) time.Time {
	for range rounds {
		concurrent := limiter.Limit()
		began := now.Add(time.Millisecond)
		now = began.Add(src.duration(concurrent))
		for range concurrent {
			limiter.RecordLoad(began, now, concurrent)
		}
	}
	return now
}

var start = time.Unix(1000, 0)

func TestLimitConvergesToWhatTheSourceSustains(t *testing.T) {
	for _, sustained := range []int{2, 4, 10, 60} {
		limiter := NewLimiter()
		src := source{sustained: sustained, loadTime: time.Second}
		runRounds(limiter, src, 60, start)
		assert.Assert(t, limiter.Limit() >= sustained*9/10 && float64(limiter.Limit()) <= float64(sustained)*slowRatio+1,
			"limit is %d, but the source sustains %d concurrent loads", limiter.Limit(), sustained)
	}
}

func TestLimitDoublesUntilTheFirstSlowLoad(t *testing.T) {
	limiter := NewLimiter()
	runRounds(limiter, source{sustained: 100, loadTime: time.Second}, 3, start)
	assert.Equal(t, limiter.Limit(), 8*MinConcurrentLoads)
}

func TestLimitFallsWhenTheSourceSlowsDown(t *testing.T) {
	limiter := NewLimiter()
	now := runRounds(limiter, source{sustained: 20, loadTime: time.Second}, 10, start)
	runRounds(limiter, source{sustained: 5, loadTime: time.Second}, 3, now)
	assert.Assert(t, limiter.Limit() <= 7, "%d", limiter.Limit())
}

func TestSlowLoadNeverLowersTheLimitBelowTheMinimum(t *testing.T) {
	limiter := NewLimiter()
	limiter.RecordLoad(start, start.Add(time.Second), 1)
	limiter.RecordLoad(start, start.Add(30*time.Second), 2)
	assert.Equal(t, limiter.Limit(), MinConcurrentLoads)
}

// Guards against a limit raised by loads that did not use it up.
func TestFastLoadsBelowTheLimitDoNotRaiseIt(t *testing.T) {
	limiter := NewLimiter()
	for range 10 {
		limiter.RecordLoad(start, start.Add(time.Second), 1)
	}
	assert.Equal(t, limiter.Limit(), MinConcurrentLoads)
}

// Guards against lowering the limit again for loads that began before it was lowered.
func TestConcurrentSlowLoadsLowerTheLimitOnce(t *testing.T) {
	limiter := NewLimiter()
	now := runRounds(limiter, source{sustained: 100, loadTime: time.Second}, 3, start)
	for _, duration := range []time.Duration{1500, 1800, 2500, 3000} {
		limiter.RecordLoad(now, now.Add(duration*time.Millisecond), 15)
	}
	assert.Equal(t, limiter.Limit(), 10)
}

// Guards against interrupting most engines of a small service at once when the source sustains many loads.
func TestLimitLeavesMostEnginesServing(t *testing.T) {
	limiter := NewLimiter()
	runRounds(limiter, source{sustained: 100, loadTime: time.Second}, 4, start)
	assert.Equal(t, limiter.LimitOf(3), MinConcurrentLoads)
	assert.Equal(t, limiter.LimitOf(9), MinConcurrentLoads)
	assert.Equal(t, limiter.LimitOf(48), 12)
	assert.Equal(t, limiter.LimitOf(3000), limiter.Limit())
}

// Guards against too few concurrent loads at first in a large service, and against an initial limit that overrides a
// lowered one.
func TestInitialLimitScalesWithTheServiceUntilASlowLoad(t *testing.T) {
	limiter := NewLimiter()
	assert.Equal(t, limiter.LimitOf(11), MinConcurrentLoads)
	assert.Equal(t, limiter.LimitOf(122), 15)
	limiter.RecordLoad(start, start.Add(time.Second), 1)
	limiter.RecordLoad(start, start.Add(3*time.Second), 15)
	assert.Equal(t, limiter.LimitOf(122), 5)
}

// Guards against first loads that saturate the source, so that the limiter learns too late what it sustains.
func TestInitialLimitOfALargeFleetDoesNotSaturateASlowSource(t *testing.T) {
	const engines = 2880
	limiter := NewLimiter()
	src := source{sustained: 10, loadTime: 900 * time.Millisecond}
	now, loaded := start, 0
	for now.Before(start.Add(10 * time.Second)) {
		concurrent := limiter.LimitOf(engines)
		now = runRounds(limiter, src, 1, now)
		loaded += concurrent
	}
	assert.Assert(t, loaded >= 90, "%d engines loaded in 10 s, but the source sustains 110", loaded)
	assert.Assert(t, limiter.LimitOf(engines) <= 2*src.sustained, "limit is %d", limiter.LimitOf(engines))
}
