package crashes

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/corkpulley/corkpulley/internal/common/retry"
	"github.com/corkpulley/corkpulley/internal/eventlog"
)

const (
	writeTimeout = 1500 * time.Millisecond
	// finalWriteTimeout bounds the write at shutdown. It must be below hosted.minTaskTime, the time that a stopping
	// node leaves for it.
	finalWriteTimeout = 200 * time.Millisecond
	// maxBatch is the maximum number of records in one write.
	maxBatch = 500
)

var writeRetries = retry.Policy{First: 50 * time.Millisecond, Longest: time.Second}

// Log stores the records.
type Log interface {
	PutKeyed(ctx context.Context, topic string, records []eventlog.KeyedRecord) error
}

// writer retries writes until they are acknowledged. Duplicate and late records have no effect (one that follows its
// deletion is deleted again, see Guard.deleteAgain), so a write with an unknown outcome can always be retried.
type writer struct {
	log    Log
	topic  string
	logger zerolog.Logger
	// onUnwritten is called once for each record whose first write failed.
	onUnwritten func(ctx context.Context, records []eventlog.KeyedRecord)
	wake        chan struct{}

	mu sync.Mutex
	// pending holds the latest record to write for each key.
	pending map[string]eventlog.KeyedRecord
	// reported holds the keys for which onUnwritten was called.
	reported map[string]bool
}

func newWriter(
	log Log, topic string, onUnwritten func(context.Context, []eventlog.KeyedRecord), logger zerolog.Logger,
) *writer {
	return &writer{
		log: log, topic: topic, onUnwritten: onUnwritten, logger: logger, wake: make(chan struct{}, 1),
		pending: make(map[string]eventlog.KeyedRecord), reported: make(map[string]bool),
	}
}

// add queues records to be written.
func (w *writer) add(records ...eventlog.KeyedRecord) {
	if len(records) == 0 {
		return
	}
	w.mu.Lock()
	for _, record := range records {
		if w.pending[record.Key].Deleted != record.Deleted {
			delete(w.reported, record.Key)
		}
		w.pending[record.Key] = record
	}
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// run writes queued records until ctx ends, and a last batch after it has ended.
func (w *writer) run(ctx context.Context) {
	delays := writeRetries.Delays()
	for {
		select {
		case <-ctx.Done():
			finalContext, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalWriteTimeout)
			defer cancel()
			_ = w.write(finalContext, w.batch())
			return
		case <-w.wake:
		}
		for ctx.Err() == nil {
			batch := w.batch()
			if len(batch) == 0 {
				break
			}
			writeContext, cancel := context.WithTimeout(ctx, writeTimeout)
			err := w.write(writeContext, batch)
			cancel()
			if err == nil {
				delays.Reset()
				continue
			}
			w.reportUnwritten(ctx, batch)
			retry.Sleep(ctx, delays.NextBackOff())
		}
	}
}

// write writes a batch and removes it from the pending records.
func (w *writer) write(ctx context.Context, batch []eventlog.KeyedRecord) error {
	if len(batch) == 0 {
		return nil
	}
	if err := w.log.PutKeyed(ctx, w.topic, batch); err != nil {
		w.logger.Warn().Err(err).Int("records", len(batch)).Msg("crash records not written")
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, record := range batch {
		if w.pending[record.Key].Deleted == record.Deleted {
			delete(w.pending, record.Key)
		}
		delete(w.reported, record.Key)
	}
	return nil
}

// batch returns the next records to write.
func (w *writer) batch() []eventlog.KeyedRecord {
	w.mu.Lock()
	defer w.mu.Unlock()
	batch := make([]eventlog.KeyedRecord, 0, min(len(w.pending), maxBatch))
	for _, record := range w.pending {
		if len(batch) == maxBatch {
			break
		}
		batch = append(batch, record)
	}
	return batch
}

// reportUnwritten calls onUnwritten once for each record of a failed batch.
func (w *writer) reportUnwritten(ctx context.Context, batch []eventlog.KeyedRecord) {
	var unreported []eventlog.KeyedRecord
	w.mu.Lock()
	for _, record := range batch {
		if !w.reported[record.Key] {
			w.reported[record.Key] = true
			unreported = append(unreported, record)
		}
	}
	w.mu.Unlock()
	if len(unreported) > 0 {
		w.onUnwritten(ctx, unreported)
	}
}
