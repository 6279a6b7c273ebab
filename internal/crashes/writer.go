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
	// writeTimeout bounds one write, lastWriteTimeout the one when the node stops, whose
	// roles have 350 ms to end.
	writeTimeout     = 1500 * time.Millisecond
	lastWriteTimeout = 200 * time.Millisecond
	// writeBatch is the most records of one write.
	writeBatch = 500
)

// writeRetries are the delays between tries while writes fail.
var writeRetries = retry.Policy{First: 50 * time.Millisecond, Longest: time.Second}

// Log is where the records are kept.
type Log interface {
	PutKeyed(ctx context.Context, topic string, records []eventlog.KeyedRecord) error
}

// writer writes records until the log has taken them. A record that is written twice, or
// late, changes nothing (one that lands after its deletion is deleted again, see
// Guard.clear), so that it never matters whether a lost answer had its effect.
type writer struct {
	log    Log
	topic  string
	logger zerolog.Logger
	// unwritten is called once with records that the log did not take at the first try.
	unwritten func(ctx context.Context, records []eventlog.KeyedRecord)
	wake      chan struct{}

	mu sync.Mutex
	// pending holds what is to be written by key, the newest of each.
	pending map[string]eventlog.KeyedRecord
	// told holds the keys that unwritten was called with.
	told map[string]bool
}

func newWriter(
	log Log, topic string, unwritten func(context.Context, []eventlog.KeyedRecord), logger zerolog.Logger,
) *writer {
	return &writer{
		log: log, topic: topic, unwritten: unwritten, logger: logger, wake: make(chan struct{}, 1),
		pending: make(map[string]eventlog.KeyedRecord), told: make(map[string]bool),
	}
}

// add has a record written soon.
func (w *writer) add(records ...eventlog.KeyedRecord) {
	if len(records) == 0 {
		return
	}
	w.mu.Lock()
	for _, record := range records {
		if w.pending[record.Key].Deleted != record.Deleted {
			delete(w.told, record.Key)
		}
		w.pending[record.Key] = record
	}
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// run writes until ctx ends, and then once more what is left.
func (w *writer) run(ctx context.Context) {
	delays := writeRetries.Delays()
	for {
		select {
		case <-ctx.Done():
			last, cancel := context.WithTimeout(context.WithoutCancel(ctx), lastWriteTimeout)
			defer cancel()
			_ = w.write(last, w.batch())
			return
		case <-w.wake:
		}
		for ctx.Err() == nil {
			batch := w.batch()
			if len(batch) == 0 {
				break
			}
			writing, cancel := context.WithTimeout(ctx, writeTimeout)
			err := w.write(writing, batch)
			cancel()
			if err == nil {
				delays.Reset()
				continue
			}
			w.tell(ctx, batch)
			retry.Sleep(ctx, delays.NextBackOff())
		}
	}
}

// write writes a batch and takes out what was written.
func (w *writer) write(ctx context.Context, batch []eventlog.KeyedRecord) error {
	if len(batch) == 0 {
		return nil
	}
	if err := w.log.PutKeyed(ctx, w.topic, batch); err != nil {
		w.logger.Warn().Err(err).Int("records", len(batch)).Msg("records of ended engines not written")
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, record := range batch {
		if w.pending[record.Key].Deleted == record.Deleted {
			delete(w.pending, record.Key)
		}
		delete(w.told, record.Key)
	}
	return nil
}

// batch returns what is to be written next.
func (w *writer) batch() []eventlog.KeyedRecord {
	w.mu.Lock()
	defer w.mu.Unlock()
	batch := make([]eventlog.KeyedRecord, 0, min(len(w.pending), writeBatch))
	for _, record := range w.pending {
		if len(batch) == writeBatch {
			break
		}
		batch = append(batch, record)
	}
	return batch
}

// tell hands on what the log did not take, once.
func (w *writer) tell(ctx context.Context, batch []eventlog.KeyedRecord) {
	var untold []eventlog.KeyedRecord
	w.mu.Lock()
	for _, record := range batch {
		if !w.told[record.Key] {
			w.told[record.Key] = true
			untold = append(untold, record)
		}
	}
	w.mu.Unlock()
	if len(untold) > 0 {
		w.unwritten(ctx, untold)
	}
}
