package logrelay

import (
	"context"
	"time"
)

const (
	// settlingReadPeriod is the time between two reads until the directory has settled; it grows with the nodes, up to
	// maxSettlingReadPeriod. settledGrowth is the most by which a read may find more nodes than the one before once it
	// has.
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

func (d *Directory) isSettled() bool { return isClosed(d.settled) }

// AwaitSettled waits until the directory has settled, within settleLimit and maxSettleLimit. Before that a node of a
// large cluster does not know that replicas read large topics for it.
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

// recordRead records that the directory was read.
func (d *Directory) recordRead() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastReadAt = time.Now()
}

// lastProgress returns when the directory was read last, or since when that is awaited.
func (d *Directory) lastProgress(since time.Time) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lastReadAt.After(since) {
		return d.lastReadAt
	}
	return since
}

// observeSize compares the nodes known with those that the read before found; mu is held.
func (d *Directory) observeSize(nodes int) {
	if d.isSettled() {
		return
	}
	if d.lastSize > 0 && float64(nodes) <= float64(d.lastSize)*(1+settledGrowth) {
		close(d.settled)
	}
	d.lastSize = nodes
}
