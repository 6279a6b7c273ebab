package live

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of latency histograms, in microseconds.
const (
	lowestMicroseconds  = 1
	highestMicroseconds = int64(10 * time.Minute / time.Microsecond)
	significantDigits   = 3
)

// Quantiles summarizes one histogram, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
	Mean  float64 `json:"mean_ms"`
}

// Histogram counts durations. It is safe for use by several goroutines.
type Histogram struct {
	mu    sync.Mutex
	inner *hdrhistogram.Histogram
}

// NewHistogram returns an empty histogram.
func NewHistogram() *Histogram {
	inner := hdrhistogram.New(lowestMicroseconds, highestMicroseconds, significantDigits)
	return &Histogram{inner: inner}
}

// Record adds one duration; those over ten minutes count as ten minutes.
func (h *Histogram) Record(duration time.Duration) {
	value := min(max(duration.Microseconds(), lowestMicroseconds), highestMicroseconds)
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.inner.RecordValue(value) // in range by the line above
}

// Quantiles returns the summary so far.
func (h *Histogram) Quantiles() Quantiles {
	h.mu.Lock()
	defer h.mu.Unlock()
	return Quantiles{
		Count: h.inner.TotalCount(),
		P50:   milliseconds(h.inner.ValueAtQuantile(50)),
		P90:   milliseconds(h.inner.ValueAtQuantile(90)),
		P99:   milliseconds(h.inner.ValueAtQuantile(99)),
		Max:   milliseconds(h.inner.Max()),
		Mean:  h.inner.Mean() / 1000,
	}
}

func milliseconds(microseconds int64) float64 { return float64(microseconds) / 1000 }
