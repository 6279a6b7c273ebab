package weights

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// simulateRollout loads the engines from a store that serves storeRate loads per
// second (0: unlimited), observed once per second. It returns the rollout's duration
// in seconds and the peak number of concurrent loads.
func simulateRollout(e *StoreRateEstimator, version uint64, engines, maxConcurrent, storeRate, loadSeconds int) (seconds, peak int) {
	start := time.Unix(1_000_000*int64(version), 0)
	var ends []int // second at which each running load ends
	waiting, reached := 0, 0
	for seconds = 0; reached < engines; seconds++ {
		remaining := ends[:0]
		for _, end := range ends {
			if end > seconds {
				remaining = append(remaining, end)
			} else {
				reached++
			}
		}
		ends = remaining
		e.Observe(start.Add(time.Duration(seconds)*time.Second), version, len(ends)+waiting, reached)
		limit := e.Limits(maxConcurrent, engines).concurrency()
		waiting += max(0, min(limit, engines-reached)-len(ends)-waiting)
		peak = max(peak, len(ends)+waiting)
		served := waiting
		if storeRate > 0 {
			served = min(waiting, storeRate)
		}
		for range served {
			ends = append(ends, seconds+loadSeconds)
		}
		waiting -= served
	}
	return seconds, peak
}

func TestEstimatorLetsFastStoreBeUsedFully(t *testing.T) {
	var estimator StoreRateEstimator
	first, peak := simulateRollout(&estimator, 2, 6100, 10_000, 0, 5)
	assert.Assert(t, peak >= 6100/initialLoadDivisor && first <= 16, "%d s, peak %d", first, peak)
	again, _ := simulateRollout(&estimator, 3, 6100, 3050, 0, 5)
	assert.Assert(t, again <= 12, "%d s", again)
}

func TestEstimatorFindsRateOfSaturatedStore(t *testing.T) {
	var estimator StoreRateEstimator
	_, _ = simulateRollout(&estimator, 2, 1000, 10_000, 20, 5)
	estimated := estimator.Limits(10_000, 1000).concurrency()
	// 20 loads per second of 5 s each saturate the store at 100 concurrent loads.
	assert.Assert(t, estimated >= 90 && estimated <= 200, "%d", estimated)
	seconds, _ := simulateRollout(&estimator, 3, 1000, 10_000, 20, 5)
	assert.Assert(t, seconds <= 60, "a saturated store takes 50 s + 5 s, this took %d s", seconds)
}

func TestEstimatorDetectsFasterStore(t *testing.T) {
	var estimator StoreRateEstimator
	_, _ = simulateRollout(&estimator, 2, 1000, 10_000, 20, 5)
	slow, _ := simulateRollout(&estimator, 3, 1000, 10_000, 0, 5)
	fast, _ := simulateRollout(&estimator, 4, 1000, 10_000, 0, 5)
	assert.Assert(t, fast <= slow && fast <= 20, "%d s, then %d s", slow, fast)
}

func TestEstimatorKeepsConfiguredBound(t *testing.T) {
	var estimator StoreRateEstimator
	_, peak := simulateRollout(&estimator, 2, 500, 8, 0, 5)
	assert.Equal(t, peak, 8)
	_, peak = simulateRollout(&estimator, 3, 1, 8, 0, 5)
	assert.Equal(t, peak, 1)
}
