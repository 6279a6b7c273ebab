package weightplan

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// source sustains a number of loads at full speed and divides its bandwidth among more.
type source struct {
	feeds int
	alone time.Duration
}

func (s source) took(together int) time.Duration {
	return max(s.alone, s.alone*time.Duration(together)/time.Duration(s.feeds))
}

// play runs batches of as many loads as the limiter allows, from a time on, and
// returns when they have ended.
func play(limiter *Limiter, from source, rounds int, now time.Time) time.Time {
	for range rounds {
		together := limiter.Limit()
		began := now.Add(time.Millisecond)
		now = began.Add(from.took(together))
		for range together {
			limiter.Ended(began, now, together)
		}
	}
	return now
}

var start = time.Unix(1000, 0)

func TestLimitFindsWhatTheSourceFeeds(t *testing.T) {
	for _, feeds := range []int{2, 4, 10, 60} {
		limiter := NewLimiter()
		from := source{feeds: feeds, alone: time.Second}
		play(limiter, from, 60, start)
		assert.Assert(t, limiter.Limit() >= feeds*9/10 && float64(limiter.Limit()) <= float64(feeds)*slowRatio+1,
			"%d loads together where the source feeds %d", limiter.Limit(), feeds)
	}
}

func TestLimitDoublesUntilTheFirstSlowLoad(t *testing.T) {
	limiter := NewLimiter()
	play(limiter, source{feeds: 100, alone: time.Second}, 3, start)
	assert.Equal(t, limiter.Limit(), 8*MinLoadsAtOnce)
}

func TestLimitFollowsASourceThatFeedsLess(t *testing.T) {
	limiter := NewLimiter()
	now := play(limiter, source{feeds: 20, alone: time.Second}, 10, start)
	play(limiter, source{feeds: 5, alone: time.Second}, 3, now)
	assert.Assert(t, limiter.Limit() <= 7, "%d", limiter.Limit())
}

func TestOneSlowEngineNeverEndsAllLoading(t *testing.T) {
	limiter := NewLimiter()
	limiter.Ended(start, start.Add(time.Second), 1)
	limiter.Ended(start, start.Add(30*time.Second), 2)
	assert.Equal(t, limiter.Limit(), MinLoadsAtOnce)
}

// TestLoadsBelowTheLimitSayNothingOfIt: they must not raise it.
func TestLoadsBelowTheLimitSayNothingOfIt(t *testing.T) {
	limiter := NewLimiter()
	for range 10 {
		limiter.Ended(start, start.Add(time.Second), 1)
	}
	assert.Equal(t, limiter.Limit(), MinLoadsAtOnce)
}

// TestLoadsOfOneRoundLowerTheLimitOnce: loads that began before the limit was lowered
// were slow for the same reason.
func TestLoadsOfOneRoundLowerTheLimitOnce(t *testing.T) {
	limiter := NewLimiter()
	now := play(limiter, source{feeds: 100, alone: time.Second}, 3, start)
	for _, took := range []time.Duration{1500, 1800, 2500, 3000} {
		limiter.Ended(now, now.Add(took*time.Millisecond), 15)
	}
	assert.Equal(t, limiter.Limit(), 10)
}

// TestMostEnginesOfAServiceGoOnServing: even if the source sustains any number of loads,
// most engines of a small service keep serving.
func TestMostEnginesOfAServiceGoOnServing(t *testing.T) {
	limiter := NewLimiter()
	play(limiter, source{feeds: 100, alone: time.Second}, 4, start)
	assert.Equal(t, limiter.LimitOf(3), MinLoadsAtOnce)
	assert.Equal(t, limiter.LimitOf(9), MinLoadsAtOnce)
	assert.Equal(t, limiter.LimitOf(48), 12)
	assert.Equal(t, limiter.LimitOf(3000), limiter.Limit())
}

// TestALargeServiceBeginsWithManyLoads: doubling from two would take five batches for a
// hundred engines. A limit lowered by a slow load is kept.
func TestALargeServiceBeginsWithManyLoads(t *testing.T) {
	limiter := NewLimiter()
	assert.Equal(t, limiter.LimitOf(11), MinLoadsAtOnce)
	assert.Equal(t, limiter.LimitOf(122), 15)
	limiter.Ended(start, start.Add(time.Second), 1)
	limiter.Ended(start, start.Add(3*time.Second), 15)
	assert.Equal(t, limiter.LimitOf(122), 5)
}

// TestALargeFleetDoesNotDrownASourceThatFeedsFew: the first loads must end soon, so that the limiter learns
// what the source sustains.
func TestALargeFleetDoesNotDrownASourceThatFeedsFew(t *testing.T) {
	const engines = 2880
	limiter := NewLimiter()
	from := source{feeds: 10, alone: 900 * time.Millisecond}
	now, loaded := start, 0
	for now.Before(start.Add(10 * time.Second)) {
		together := limiter.LimitOf(engines)
		now = play(limiter, from, 1, now)
		loaded += together
	}
	assert.Assert(t, loaded >= 90, "%d engines loaded in ten seconds, the source feeds 110", loaded)
	assert.Assert(t, limiter.LimitOf(engines) <= 2*from.feeds, "%d at once", limiter.LimitOf(engines))
}
