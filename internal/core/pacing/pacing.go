// Package pacing chooses the periods at which nodes read the log, so that the reads of all nodes together stay
// within the log's capacity. It has no input, output or clock.
package pacing

import "time"

const (
	// nodeReadsPerSecond estimates a node's read rate at its base periods.
	nodeReadsPerSecond = 50
	// pacedShare is the share of the log's capacity for periodic reads; the rest is for reads that a caller waits for.
	pacedShare = 0.5
)

// Limits is the capacity of the log for all nodes together.
type Limits struct {
	// ReadsPerSecond is the number of reads; zero if unlimited.
	ReadsPerSecond int
	// BytesPerSecond is the total size of the records read; zero if unlimited.
	BytesPerSecond int
}

// Budget paces the reads of one of the nodes that share the limits.
type Budget struct {
	Limits
	// Nodes returns the number of nodes that share the limits; nil for a single one.
	Nodes func() int
}

// MinPeriod returns the shortest period, at most limit, in which every node can read the given number of bytes
// within the paced share; zero if bytes are unlimited or Nodes is nil.
func (b Budget) MinPeriod(bytes int, limit time.Duration) time.Duration {
	if b.BytesPerSecond <= 0 || b.Nodes == nil {
		return 0
	}
	seconds := float64(max(1, b.Nodes())*bytes) / (pacedShare * float64(b.BytesPerSecond))
	return min(time.Duration(seconds*float64(time.Second)), limit)
}

// ScalePeriod returns the base period, multiplied by the ratio of the reads of all nodes to the paced share where that
// exceeds one, up to limit; the base if reads are unlimited or Nodes is nil.
func (b Budget) ScalePeriod(base, limit time.Duration) time.Duration {
	if b.ReadsPerSecond <= 0 || b.Nodes == nil {
		return base
	}
	demand := float64(max(1, b.Nodes())*nodeReadsPerSecond) / (pacedShare * float64(b.ReadsPerSecond))
	if demand <= 1 {
		return base
	}
	return min(time.Duration(float64(base)*demand), max(base, limit))
}
