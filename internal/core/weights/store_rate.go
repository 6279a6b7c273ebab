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

// StoreRateEstimator estimates the rate at which the weight store serves loads of a model. The
// coordinator isn't informed of refused downloads, but they make loads take longer.
// Load durations are derived from counts alone: loads finish roughly in the order
// in which they started, so the n-th finish is matched with the n-th start.
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
func (p *StoreRateEstimator) Observe(now time.Time, version uint64, running, reached int) {
	if version != p.version {
		p.version = version
		p.samples = nil
		p.minDuration = time.Duration(float64(p.minDuration) * rolloutGrowthFactor)
	}
	started := running + reached
	if last := len(p.samples) - 1; last >= 0 {
		started = max(started, p.samples[last].started)
		reached = max(reached, p.samples[last].finished)
	}
	p.samples = append(p.samples, progressSample{at: now, started: started, finished: reached})
	if len(p.samples) > maxSamples {
		p.samples = p.samples[1:]
	}
	p.updateEstimate()
}

// updateEstimate updates the estimates if loads finished since the previous sample.
func (p *StoreRateEstimator) updateEstimate() {
	last := len(p.samples) - 1
	if last < 1 || p.samples[last].finished == p.samples[last-1].finished {
		return
	}
	took, known := p.lastLoadDuration()
	if !known {
		return
	}
	if p.minDuration == 0 || took < p.minDuration {
		p.minDuration = took
	}
	if took > time.Duration(float64(p.minDuration)*bottleneckFactor)+bottleneckSlack {
		p.storeRate = p.completionRate()
	} else {
		p.storeRate *= probeFactor // not the bottleneck: the store may be faster
	}
}

// lastLoadDuration returns the duration of the load that finished last; false if it is
// unknown. For a load already running at the oldest sample, it is the time since then.
func (p *StoreRateEstimator) lastLoadDuration() (time.Duration, bool) {
	last := p.samples[len(p.samples)-1]
	if last.finished <= p.samples[0].started {
		return last.at.Sub(p.samples[0].at),
			p.samples[0].finished < last.finished && p.samples[0].started > p.samples[0].finished
	}
	for _, earlier := range p.samples {
		if earlier.started >= last.finished {
			return last.at.Sub(earlier.at), true
		}
	}
	return 0, false
}

// completionRate returns the loads finished per second over the last minDuration.
func (p *StoreRateEstimator) completionRate() float64 {
	last := p.samples[len(p.samples)-1]
	from := p.samples[0]
	for _, earlier := range p.samples {
		if last.at.Sub(earlier.at) >= p.minDuration {
			from = earlier
		}
	}
	elapsed := last.at.Sub(from.at).Seconds()
	if elapsed <= 0 {
		return 0
	}
	return float64(last.finished-from.finished) / elapsed
}

// Limits returns the limits for the next wave, given the configured bound on
// concurrent loads and the number of engines.
func (p *StoreRateEstimator) Limits(maxConcurrent, engines int) Limits {
	limits := Limits{MaxConcurrent: maxConcurrent}
	if p.minDuration == 0 {
		limits.MaxConcurrent = min(maxConcurrent, max(1, (engines+initialLoadDivisor-1)/initialLoadDivisor))
		return limits
	}
	if p.storeRate > 0 {
		limits.StoreRate = p.storeRate * probeFactor
		limits.LoadDuration = p.minDuration
	}
	return limits
}
