package live

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range (in microseconds) and precision of latency histograms.
const (
	lowestMicroseconds  = 1
	highestMicroseconds = int64(10 * time.Minute / time.Microsecond)
	significantDigits   = 3
)

// Quantiles summarizes a histogram; all values but Count are in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
	Mean  float64 `json:"mean_ms"`
}

// Histogram records durations. It is safe for concurrent use.
type Histogram struct {
	mu    sync.Mutex
	inner *hdrhistogram.Histogram
}

// NewHistogram returns an empty histogram.
func NewHistogram() *Histogram {
	inner := hdrhistogram.New(lowestMicroseconds, highestMicroseconds, significantDigits)
	return &Histogram{inner: inner}
}

// Record adds one duration, clamped to the range of 1 µs to 10 min.
func (h *Histogram) Record(duration time.Duration) {
	value := min(max(duration.Microseconds(), lowestMicroseconds), highestMicroseconds)
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.inner.RecordValue(value) // fails only for values out of range
}

// Quantiles summarizes the durations recorded so far.
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
