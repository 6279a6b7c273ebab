package logrelay

import (
	"context"
	"time"
)

const (
	// settlingReadPeriod is the time between two reads while the cluster is still being listed, and
	// settledGrowth the part by which a read may find more nodes than the one before once it is. A partition
	// takes some 500 announcements a second, so that a thousand nodes that start together know of each other
	// after two seconds.
	settlingReadPeriod    = 100 * time.Millisecond
	maxSettlingReadPeriod = time.Second
	settledGrowth         = 0.05
	// settleLimit bounds the wait for that since the directory was read last, maxSettleLimit altogether: large clusters
	// take longer, and a part of the log that is away must not keep a node from all others.
	settleLimit    = 4 * time.Second
	maxSettleLimit = 15 * time.Second
)

// untilRead is the time until the next read: short until the cluster is known.
func (d *Directory) untilRead() time.Duration {
	if d.isSettled() {
		return d.Budget().Stretch(readPeriod, maxReadPeriod)
	}
	return d.Budget().Stretch(settlingReadPeriod, maxSettlingReadPeriod)
}

func (d *Directory) isSettled() bool {
	select {
	case <-d.settled:
		return true
	default:
		return false
	}
}

// AwaitSettled waits until the node knows about how large the cluster is, as far as that can be known: what
// is large is read from the log by a few nodes of a large cluster only.
func (d *Directory) AwaitSettled(ctx context.Context) {
	began := time.Now()
	for {
		left := min(time.Until(d.lastProgress(began).Add(settleLimit)), time.Until(began.Add(maxSettleLimit)))
		if left <= 0 {
			return
		}
		timer := time.NewTimer(left)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-d.settled:
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}

// progressed records that the directory was read.
func (d *Directory) progressed() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.progressAt = time.Now()
}

// lastProgress returns when the directory was read last, or since when that is awaited.
func (d *Directory) lastProgress(since time.Time) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.progressAt.After(since) {
		return d.progressAt
	}
	return since
}

// noteSize compares the nodes known with those that the read before found; mu is held.
func (d *Directory) noteSize(nodes int) {
	if d.isSettled() {
		return
	}
	if d.counted > 0 && float64(nodes) <= float64(d.counted)*(1+settledGrowth) {
		close(d.settled)
	}
	d.counted = nodes
}
