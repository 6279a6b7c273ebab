package weightplan

import "time"

const (
	// MinLoadsAtOnce is the number of loads that are always permitted concurrently.
	MinLoadsAtOnce = 2
	// maxLoadingDivisor: above MinLoadsAtOnce at most engines/maxLoadingDivisor of a service load
	// concurrently, so that the others keep serving.
	maxLoadingDivisor = 4
	// startDivisor: the initial limit is engines/startDivisor, which should be below what the
	// source sustains. Each leader starts to learn anew.
	startDivisor = 8
	// maxStart bounds the initial limit. The duration of an unimpeded load is learned from the first
	// loads, so these must not saturate the source.
	maxStart = 16
	// slowRatio is the ratio to the fastest load above which a load counts as slowed down by
	// concurrent ones.
	slowRatio = 1.35
	// probeStep is the increase of the limit by a fast load once a slow one was seen.
	probeStep = 0.15
)

// Limiter learns how many concurrent loads the source of the weights sustains at full
// speed. The limit starts at a share of the engines and doubles with each batch of fast
// loads until the first slow one. It then falls to the observed throughput: if n concurrent
// loads take r times as long as one, the source sustains n/r of them.
type Limiter struct {
	limit float64
	// fastest is the shortest load seen.
	fastest time.Duration
	// saturated is true once a slow load was seen.
	saturated bool
	// loweredAt is when the limit was last lowered. Loads that began before do not count
	// for the new limit.
	loweredAt time.Time
}

// NewLimiter returns a limiter without observations.
func NewLimiter() *Limiter { return &Limiter{limit: MinLoadsAtOnce} }

// Limit returns the number of concurrent loads that the source sustains.
func (l *Limiter) Limit() int { return int(l.limit) }

// LimitOf returns the number of concurrent loads for a service with the given number of
// engines.
func (l *Limiter) LimitOf(engines int) int {
	if !l.saturated {
		l.limit = max(l.limit, float64(min(engines/startDivisor, maxStart)))
	}
	return min(l.Limit(), max(MinLoadsAtOnce, engines/maxLoadingDivisor))
}

// Ended records a load; together is the maximum number of concurrent loads during it, itself included.
func (l *Limiter) Ended(began, ended time.Time, together int) {
	took := ended.Sub(began)
	if l.fastest == 0 || took < l.fastest {
		l.fastest = took
	}
	ratio := float64(took) / float64(l.fastest)
	if ratio > slowRatio {
		if began.After(l.loweredAt) {
			l.lower(float64(together)/ratio, ended)
		}
		return
	}
	switch {
	case l.saturated && together >= l.Limit():
		l.limit += probeStep
	case !l.saturated && 2*together > l.Limit():
		l.limit++
	}
}

// lower lowers the limit to the number of sustained loads.
func (l *Limiter) lower(sustained float64, at time.Time) {
	l.limit = min(l.limit, max(sustained, MinLoadsAtOnce))
	l.saturated = true
	l.loweredAt = at
}
