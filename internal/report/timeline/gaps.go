package timeline

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const maxGaps = 40

// Gap is a period in which no node made progress: none read a topic in full, applied a configuration or regained
// contact with the log, and no request, trainer call, engine attempt or item completed.
type Gap struct {
	From, To time.Time
	// Counts of other events within the gap, taken from the buckets that lie fully within it.
	Refused      int
	NodesStarted int
	ContactLost  int
	PathChanges  int
}

// Duration returns the gap's length.
func (g Gap) Duration() time.Duration { return g.To.Sub(g.From) }

// progressBuckets keeps the first and last time of progress in each bucket, so that gaps at least as long as a bucket
// are found exactly.
type progressBuckets struct {
	width           int64
	buckets         map[int64]progressSpan
	lowest, highest int64
}

type progressSpan struct{ first, last int64 }

func newProgressBuckets() *progressBuckets {
	return &progressBuckets{width: initialWidthMs, buckets: map[int64]progressSpan{}}
}

func (p *progressBuckets) add(at int64) {
	number := at / p.width
	if len(p.buckets) == 0 {
		p.lowest, p.highest = number, number
	}
	p.lowest, p.highest = min(p.lowest, number), max(p.highest, number)
	p.merge(number, progressSpan{at, at})
	for p.highest-p.lowest >= maxBuckets {
		p.widen()
	}
}

func (p *progressBuckets) merge(number int64, span progressSpan) {
	if known, found := p.buckets[number]; found {
		span = progressSpan{min(known.first, span.first), max(known.last, span.last)}
	}
	p.buckets[number] = span
}

// widen doubles the width of the buckets.
func (p *progressBuckets) widen() {
	narrow := p.buckets
	p.buckets = make(map[int64]progressSpan, len(narrow)/2)
	p.width *= 2
	p.lowest, p.highest = p.lowest/2, p.highest/2
	for number, span := range narrow {
		p.merge(number/2, span)
	}
}

// gaps returns the periods without progress between first and last that are at least as long as minimum and a bucket.
func (p *progressBuckets) gaps(first, last time.Time, minimum time.Duration) []Gap {
	minimum = max(minimum, time.Duration(p.width)*time.Millisecond)
	var gaps []Gap
	since := first
	addGap := func(until time.Time) {
		if until.Sub(since) >= minimum {
			gaps = append(gaps, Gap{From: since, To: until})
		}
	}
	for _, number := range slices.Sorted(maps.Keys(p.buckets)) {
		addGap(time.UnixMilli(p.buckets[number].first))
		since = time.UnixMilli(p.buckets[number].last)
	}
	addGap(last)
	return gaps
}

// longestGaps returns the longest gaps, the longest first.
func longestGaps(gaps []Gap) []Gap {
	gaps = slices.Clone(gaps)
	slices.SortStableFunc(gaps, func(a, b Gap) int { return cmp.Compare(b.Duration(), a.Duration()) })
	return gaps[:min(len(gaps), maxGaps)]
}

// describe sets the counts of the other events within the gap.
func (g *Gap) describe(timeline *Timeline) {
	from, until := g.From.UnixMilli(), g.To.UnixMilli()
	for label, count := range timeline.Requests.between(from, until) {
		if label != Answered {
			g.Refused += count
		}
	}
	g.NodesStarted = timeline.Processes.between(from, until)[NodeStarted]
	contact := timeline.Contact.between(from, until)
	g.ContactLost = contact[ContactLost]
	g.PathChanges = contact[PathDirect] + contact[PathThroughPeer]
}
