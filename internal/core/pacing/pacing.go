// Package pacing spreads the reads of many nodes, so that all of them together
// stay within what the log serves. It has no input, output or clock.
package pacing

import "time"

const (
	// readsPerNode estimates a node's reads per second at its base periods.
	readsPerNode = 50
	// sharedPart is the part of the log's budget that paced reads may take; the
	// rest is for reads that a caller waits for.
	sharedPart = 0.5
)

// Limits are what the log serves to all nodes together.
type Limits struct {
	// ReadsPerSecond is the number of reads; zero when it is not bounded.
	ReadsPerSecond int
	// BytesPerSecond is the size of the records that reads bring; zero when it is not bounded.
	BytesPerSecond int
}

// Budget paces the reads of one of the nodes that share the limits.
type Budget struct {
	Limits
	// Nodes returns the number of nodes that share them; nil for a single one.
	Nodes func() int
}

// Spread returns the shortest period at which all nodes can each read so many bytes within their part of what the
// log serves, up to the limit; zero where bytes are not bounded.
func (b Budget) Spread(bytes int, limit time.Duration) time.Duration {
	if b.BytesPerSecond <= 0 || b.Nodes == nil {
		return 0
	}
	seconds := float64(max(1, b.Nodes())*bytes) / (sharedPart * float64(b.BytesPerSecond))
	return min(time.Duration(seconds*float64(time.Second)), limit)
}

// Stretch returns a period in place of the base: longer in proportion to what
// the nodes would read beyond their part of the budget, up to the limit.
func (b Budget) Stretch(base, limit time.Duration) time.Duration {
	if b.ReadsPerSecond <= 0 || b.Nodes == nil {
		return base
	}
	demand := float64(max(1, b.Nodes())*readsPerNode) / (sharedPart * float64(b.ReadsPerSecond))
	if demand <= 1 {
		return base
	}
	return min(time.Duration(float64(base)*demand), max(base, limit))
}
