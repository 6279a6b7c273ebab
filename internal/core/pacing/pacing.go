// Package pacing spreads the reads of many nodes, so that all of them together
// stay within what the log serves. It has no input, output or clock.
package pacing

import "time"

const (
	// readsPerNode is the number of reads a second that a node makes at its base
	// periods on a busy day, as measured.
	readsPerNode = 50
	// sharedPart is the part of the log's budget that paced reads may take; the
	// rest is for those that somebody waits for.
	sharedPart = 0.5
)

// Budget is what the log serves to all nodes together.
type Budget struct {
	// ReadsPerSecond is the number of reads; zero when it is not bounded.
	ReadsPerSecond int
	// Nodes returns the number of nodes that share it; nil for a single one.
	Nodes func() int
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
