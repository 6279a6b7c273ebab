package weightplan

import "time"

const (
	// MinConcurrentLoads is the number of concurrent loads that are always permitted.
	MinConcurrentLoads = 2
	// maxLoadingDivisor bounds concurrent loads above MinConcurrentLoads to engines/maxLoadingDivisor of
	// a service, so that the other engines keep serving.
	maxLoadingDivisor = 4
	// initialLimitDivisor sets the initial limit of a new leader to engines/initialLimitDivisor, which
	// should be below what the source sustains.
	initialLimitDivisor = 8
	// maxInitialLimit bounds the initial limit. The duration of an unimpeded load is learned from the
	// first loads, which therefore must not saturate the source.
	maxInitialLimit = 16
	// slowRatio is the ratio to the fastest load above which a load counts as slowed down by
	// concurrent ones.
	slowRatio = 1.35
	// probeStep is the increase of the limit per fast load once a slow one was observed.
	probeStep = 0.15
)

// Limiter learns how many concurrent loads the source of the weights sustains at full
// speed. The limit starts at a share of the engines and doubles with each round of fast
// loads until the first slow one. It then falls to the number that the source was observed
// to sustain: if n concurrent loads take r times as long as one, that is n/r.
type Limiter struct {
	limit float64
	// fastest is the shortest duration of a load.
	fastest time.Duration
	// saturated is true once a slow load was observed.
	saturated bool
	// loweredAt is when the limit was last lowered. Slow loads that began before do not lower
	// it again.
	loweredAt time.Time
}

// NewLimiter returns a limiter without observations.
func NewLimiter() *Limiter { return &Limiter{limit: MinConcurrentLoads} }

// Limit returns the current estimate of the number of concurrent loads that the source sustains.
func (l *Limiter) Limit() int { return int(l.limit) }

// LimitOf returns the permitted number of concurrent loads of a service with the given number of engines. Until the
// first slow load, it also raises the limit to the initial one for that number.
func (l *Limiter) LimitOf(engines int) int {
	if !l.saturated {
		l.limit = max(l.limit, float64(min(engines/initialLimitDivisor, maxInitialLimit)))
	}
	return min(l.Limit(), max(MinConcurrentLoads, engines/maxLoadingDivisor))
}

// RecordLoad records a finished load; concurrent is the maximum number of concurrent loads during it, itself included.
func (l *Limiter) RecordLoad(began, ended time.Time, concurrent int) {
	duration := ended.Sub(began)
	if l.fastest == 0 || duration < l.fastest {
		l.fastest = duration
	}
	ratio := float64(duration) / float64(l.fastest)
	if ratio > slowRatio {
		if began.After(l.loweredAt) {
			l.lower(float64(concurrent)/ratio, ended)
		}
		return
	}
	switch {
	case l.saturated && concurrent >= l.Limit():
		l.limit += probeStep
	case !l.saturated && 2*concurrent > l.Limit():
		l.limit++
	}
}

// lower lowers the limit to the number of loads that the source sustains, but not below MinConcurrentLoads.
func (l *Limiter) lower(sustained float64, at time.Time) {
	l.limit = min(l.limit, max(sustained, MinConcurrentLoads))
	l.saturated = true
	l.loweredAt = at
}
