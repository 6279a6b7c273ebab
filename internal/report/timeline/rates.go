package timeline

import (
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// The width of buckets starts at initialWidthMs and doubles when the span needs more than maxBuckets.
	initialWidthMs = 250
	maxBuckets     = 1 << 14
	// maxLabels bounds the labels of a Rates; events with further ones count under otherLabel.
	maxLabels  = 48
	otherLabel = "other"
)

// Rates counts events over time by label, in buckets of equal width.
type Rates struct {
	width   int64
	buckets map[int64]map[string]int
	totals  map[string]int
	// lowest and highest are the numbers of the outermost buckets.
	lowest, highest int64
}

func newRates() *Rates {
	return &Rates{width: initialWidthMs, buckets: map[int64]map[string]int{}, totals: map[string]int{}}
}

func (r *Rates) add(at int64, label string) {
	if _, known := r.totals[label]; !known && len(r.totals) >= maxLabels {
		label = otherLabel
	}
	r.totals[label]++
	number := at / r.width
	if len(r.buckets) == 0 {
		r.lowest, r.highest = number, number
	}
	r.lowest, r.highest = min(r.lowest, number), max(r.highest, number)
	r.count(number, label, 1)
	for r.highest-r.lowest >= maxBuckets {
		r.widen()
	}
}

func (r *Rates) count(number int64, label string, count int) {
	bucket := r.buckets[number]
	if bucket == nil {
		bucket = map[string]int{}
		r.buckets[number] = bucket
	}
	bucket[label] += count
}

// widen doubles the width of the buckets.
func (r *Rates) widen() {
	narrow := r.buckets
	r.buckets = make(map[int64]map[string]int, len(narrow)/2)
	r.width *= 2
	r.lowest, r.highest = r.lowest/2, r.highest/2
	for number, bucket := range narrow {
		for label, count := range bucket {
			r.count(number/2, label, count)
		}
	}
}

// Labels returns the labels, the most frequent first.
func (r *Rates) Labels() []string {
	return slices.SortedFunc(maps.Keys(r.totals), func(a, b string) int {
		if difference := r.totals[b] - r.totals[a]; difference != 0 {
			return difference
		}
		return strings.Compare(a, b)
	})
}

// Total returns the number of events with one of the labels, or of all events if no label is given.
func (r *Rates) Total(labels ...string) int {
	if len(labels) == 0 {
		labels = r.Labels()
	}
	total := 0
	for _, label := range labels {
		total += r.totals[label]
	}
	return total
}

// Width returns the time that one bucket covers.
func (r *Rates) Width() time.Duration { return time.Duration(r.width) * time.Millisecond }

// PerSecond returns a label's rate in events per second, in count bins from first on. The bins' width must be a
// multiple of Width.
func (r *Rates) PerSecond(label string, first time.Time, width time.Duration, count int) []float64 {
	bins := make([]float64, count)
	start, step := first.UnixMilli()/r.width, max(1, width.Milliseconds()/r.width)
	for number, bucket := range r.buckets {
		if bin := (number - start) / step; number >= start && bin < int64(count) {
			bins[bin] += float64(bucket[label])
		}
	}
	for i := range bins {
		bins[i] /= (time.Duration(step*r.width) * time.Millisecond).Seconds()
	}
	return bins
}

// between counts by label the events in buckets that lie fully between the two times, in milliseconds.
func (r *Rates) between(from, until int64) map[string]int {
	counts := map[string]int{}
	for number, bucket := range r.buckets {
		if number*r.width < from || (number+1)*r.width > until {
			continue
		}
		for label, count := range bucket {
			counts[label] += count
		}
	}
	return counts
}
