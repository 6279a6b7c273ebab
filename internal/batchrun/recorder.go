package batchrun

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/corkpulley/corkpulley/internal/batchjobs"
	"github.com/corkpulley/corkpulley/internal/common/retry"
)

const (
	// collectTime is how long ends of items are collected into one record.
	collectTime = 20 * time.Millisecond
	// recordTimeout bounds one try to record.
	recordTimeout = 2 * time.Second
	recordDelay   = 100 * time.Millisecond
	// finalRecordTimeout bounds what is written after the end of a term.
	finalRecordTimeout = 600 * time.Millisecond
)

// recorder writes the ends of items to the log, one writer a partition.
type recorder struct {
	jobs   Jobs
	logger zerolog.Logger

	mu      sync.Mutex
	pending map[int][]batchjobs.FinishedItem
	// busy holds the partitions that have a writer.
	busy map[int]bool
	wake chan struct{}
	wait sync.WaitGroup
}

func newRecorder(jobs Jobs, logger zerolog.Logger) *recorder {
	return &recorder{
		jobs: jobs, logger: logger,
		pending: make(map[int][]batchjobs.FinishedItem),
		busy:    make(map[int]bool),
		wake:    make(chan struct{}, 1),
	}
}

func (r *recorder) add(finished batchjobs.FinishedItem) {
	partition := r.jobs.PartitionOf(finished.JobID)
	r.mu.Lock()
	r.pending[partition] = append(r.pending[partition], finished)
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// run starts a writer for each partition that has something to write. When ctx
// ends, what is pending gets a last chance.
func (r *recorder) run(ctx context.Context) {
	lasting, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			stop := time.AfterFunc(finalRecordTimeout, cancel)
			defer stop.Stop()
			r.startWriters(lasting)
			r.wait.Wait()
			return
		case <-r.wake:
			r.startWriters(lasting)
		}
	}
}

func (r *recorder) startWriters(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for partition, pending := range r.pending {
		if len(pending) > 0 && !r.busy[partition] {
			r.busy[partition] = true
			r.wait.Go(func() { r.write(ctx, partition) })
		}
	}
}

// write records until nothing is pending.
func (r *recorder) write(ctx context.Context, partition int) {
	for {
		retry.Sleep(ctx, collectTime)
		r.mu.Lock()
		finished := r.pending[partition]
		r.pending[partition] = nil
		if len(finished) == 0 {
			r.busy[partition] = false
			r.mu.Unlock()
			return
		}
		r.mu.Unlock()
		if !r.record(ctx, partition, finished) {
			return
		}
	}
}

// record repeats until the log has taken it; false when ctx ended before.
func (r *recorder) record(ctx context.Context, partition int, finished []batchjobs.FinishedItem) bool {
	for ctx.Err() == nil {
		tryContext, cancel := context.WithTimeout(ctx, recordTimeout)
		recorded, err := r.jobs.Record(tryContext, partition, finished)
		cancel()
		if err == nil {
			return true
		}
		finished = finished[recorded:]
		r.logger.Warn().Err(err).Int("partition", partition).Int("items", len(finished)).Msg("results not recorded")
		retry.Sleep(ctx, recordDelay)
	}
	return false
}
