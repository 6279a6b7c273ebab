package weights

import "time"

const (
	// At most one in initialLoadDivisor engines loads at a time until a load
	// duration is known.
	initialLoadDivisor = 3
	// The store is the bottleneck if loads take longer than bottleneckFactor times
	// the minimum duration plus bottleneckSlack, which allows for delayed counts.
	bottleneckFactor = 1.5
	bottleneckSlack  = 2 * time.Second
	// probeFactor raises the requested rate above the estimate to detect a faster
	// store.
	probeFactor = 1.25
	// rolloutGrowthFactor raises the minimum duration at each rollout, since weights
	// may have grown.
	rolloutGrowthFactor = 1.1
	maxSamples          = 256
)

// progressSample is the cumulative number of started and finished loads at a time.
type progressSample struct {
	at                time.Time
	started, finished int
}

// StoreRateEstimator estimates the rate at which the weight store serves loads of a
// model. The coordinator isn't informed of refused downloads, but they make loads take
// longer. Load durations are derived from counts alone: loads finish roughly in the
// order in which they started, so the n-th finish is matched with the n-th start.
//
// The zero value is ready to use. It is not safe for concurrent use.
type StoreRateEstimator struct {
	version uint64
	samples []progressSample
	// minDuration is the shortest load duration observed; zero if unknown.
	minDuration time.Duration
	// storeRate is the estimated store throughput in loads per second; zero until
	// the store was the bottleneck.
	storeRate float64
}

// Observe records the number of running loads and of engines that have reached
// the version. Calls must have non-decreasing times.
func (e *StoreRateEstimator) Observe(now time.Time, version uint64, running, reached int) {
	if version != e.version {
		e.version = version
		e.samples = nil
		e.minDuration = time.Duration(float64(e.minDuration) * rolloutGrowthFactor)
	}
	started := running + reached
	if last := len(e.samples) - 1; last >= 0 {
		started = max(started, e.samples[last].started)
		reached = max(reached, e.samples[last].finished)
	}
	e.samples = append(e.samples, progressSample{at: now, started: started, finished: reached})
	if len(e.samples) > maxSamples {
		e.samples = e.samples[1:]
	}
	e.updateEstimate()
}

// updateEstimate updates the estimates if loads finished since the previous sample.
func (e *StoreRateEstimator) updateEstimate() {
	last := len(e.samples) - 1
	if last < 1 || e.samples[last].finished == e.samples[last-1].finished {
		return
	}
	duration, known := e.lastLoadDuration()
	if !known {
		return
	}
	if e.minDuration == 0 || duration < e.minDuration {
		e.minDuration = duration
	}
	if duration > time.Duration(float64(e.minDuration)*bottleneckFactor)+bottleneckSlack {
		e.storeRate = e.completionRate()
	} else {
		e.storeRate *= probeFactor // not the bottleneck: the store may be faster
	}
}

// lastLoadDuration returns the duration of the load that finished last; false if it is
// unknown. For a load already running at the oldest sample, it returns the time since
// that sample, a lower bound.
func (e *StoreRateEstimator) lastLoadDuration() (time.Duration, bool) {
	last := e.samples[len(e.samples)-1]
	if last.finished <= e.samples[0].started {
		return last.at.Sub(e.samples[0].at),
			e.samples[0].finished < last.finished && e.samples[0].started > e.samples[0].finished
	}
	for _, earlier := range e.samples {
		if earlier.started >= last.finished {
			return last.at.Sub(earlier.at), true
		}
	}
	return 0, false
}

// completionRate returns the loads finished per second over the last minDuration.
func (e *StoreRateEstimator) completionRate() float64 {
	last := e.samples[len(e.samples)-1]
	windowStart := e.samples[0]
	for _, earlier := range e.samples {
		if last.at.Sub(earlier.at) >= e.minDuration {
			windowStart = earlier
		}
	}
	elapsed := last.at.Sub(windowStart.at).Seconds()
	if elapsed <= 0 {
		return 0
	}
	return float64(last.finished-windowStart.finished) / elapsed
}

// Limits returns the limits for the next wave, given the configured bound on
// concurrent loads and the number of engines.
func (e *StoreRateEstimator) Limits(maxConcurrent, engines int) Limits {
	limits := Limits{MaxConcurrent: maxConcurrent}
	if e.minDuration == 0 {
		limits.MaxConcurrent = min(maxConcurrent, max(1, (engines+initialLoadDivisor-1)/initialLoadDivisor))
		return limits
	}
	if e.storeRate > 0 {
		limits.StoreRate = e.storeRate * probeFactor
		limits.LoadDuration = e.minDuration
	}
	return limits
}
