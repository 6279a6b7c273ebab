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
	// batchDelay is how long finished items are collected into one record.
	batchDelay = 20 * time.Millisecond
	// recordTimeout bounds one attempt to write a record.
	recordTimeout    = 2 * time.Second
	recordRetryDelay = 100 * time.Millisecond
	// finalRecordTimeout bounds the writes after the end of a term.
	finalRecordTimeout = 600 * time.Millisecond
)

// recorder writes finished items to the log, with one writer per partition.
type recorder struct {
	jobs   Jobs
	logger zerolog.Logger

	mu      sync.Mutex
	pending map[int][]batchjobs.ItemResult
	// busy holds the partitions that have a writer.
	busy map[int]bool
	wake chan struct{}
	wait sync.WaitGroup
}

func newRecorder(jobs Jobs, logger zerolog.Logger) *recorder {
	return &recorder{
		jobs: jobs, logger: logger,
		pending: make(map[int][]batchjobs.ItemResult),
		busy:    make(map[int]bool),
		wake:    make(chan struct{}, 1),
	}
}

func (r *recorder) add(finished batchjobs.ItemResult) {
	partition := r.jobs.PartitionOf(finished.JobID)
	r.mu.Lock()
	r.pending[partition] = append(r.pending[partition], finished)
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// run starts a writer for each partition with pending items. After ctx ends, pending items are still written for
// up to finalRecordTimeout.
func (r *recorder) run(ctx context.Context) {
	writeContext, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			stop := time.AfterFunc(finalRecordTimeout, cancel)
			defer stop.Stop()
			r.startWriters(writeContext)
			r.wait.Wait()
			return
		case <-r.wake:
			r.startWriters(writeContext)
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

// write records items of a partition until none are pending.
func (r *recorder) write(ctx context.Context, partition int) {
	for {
		retry.Sleep(ctx, batchDelay)
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

// record retries until all items are written; it returns false if ctx ended first.
func (r *recorder) record(ctx context.Context, partition int, finished []batchjobs.ItemResult) bool {
	for ctx.Err() == nil {
		attemptContext, cancel := context.WithTimeout(ctx, recordTimeout)
		recorded, err := r.jobs.Record(attemptContext, partition, finished)
		cancel()
		if err == nil {
			return true
		}
		finished = finished[recorded:]
		r.logger.Warn().Err(err).Int("partition", partition).Int("items", len(finished)).Msg("failed to record results")
		retry.Sleep(ctx, recordRetryDelay)
	}
	return false
}
