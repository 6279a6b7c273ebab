package logrelay

import (
	"context"
	"time"
)

const (
	// settlingReadPeriod is the time between two reads until the directory has settled; it grows with the cluster
	// up to maxSettlingReadPeriod. The directory has settled once a read increases the number of nodes by at most
	// the fraction settledGrowth.
	settlingReadPeriod    = 100 * time.Millisecond
	maxSettlingReadPeriod = time.Second
	settledGrowth         = 0.05
	// settleLimit limits the wait for the directory to settle since its last successful read, maxSettleLimit in
	// total: large clusters take longer, but a node must start even if the directory cannot be read.
	settleLimit    = 4 * time.Second
	maxSettleLimit = 15 * time.Second
)

// untilRead returns the time until the next read of the directory, which is short until it has settled.
func (d *Directory) untilRead() time.Duration {
	if d.isSettled() {
		return d.Budget().ScalePeriod(readPeriod, maxReadPeriod)
	}
	return d.Budget().ScalePeriod(settlingReadPeriod, maxSettlingReadPeriod)
}

func (d *Directory) isSettled() bool { return isClosed(d.settled) }

// AwaitSettled blocks until the directory has settled, settleLimit or maxSettleLimit expires, or ctx ends. Until the
// directory has settled, a node of a large cluster may not know the replicas from which it should read large topics.
func (d *Directory) AwaitSettled(ctx context.Context) {
	started := time.Now()
	for {
		remaining := min(time.Until(d.lastProgress(started).Add(settleLimit)), time.Until(started.Add(maxSettleLimit)))
		if remaining <= 0 {
			return
		}
		timer := time.NewTimer(remaining)
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

// recordRead records the time of a successful read of the directory.
func (d *Directory) recordRead() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastReadAt = time.Now()
}

// lastProgress returns the time of the last successful read of the directory, or since if that is later.
func (d *Directory) lastProgress(since time.Time) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lastReadAt.After(since) {
		return d.lastReadAt
	}
	return since
}

// recordSize closes settled once the number of nodes has hardly grown since the previous read. Must be called with
// mu held.
func (d *Directory) recordSize(nodes int) {
	if d.isSettled() {
		return
	}
	if d.lastSize > 0 && float64(nodes) <= float64(d.lastSize)*(1+settledGrowth) {
		close(d.settled)
	}
	d.lastSize = nodes
}
