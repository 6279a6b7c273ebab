package logstream

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/common/longpoll"
	"github.com/corkpulley/corkpulley/internal/common/retry"
	"github.com/corkpulley/corkpulley/internal/core/logrecord"
	"github.com/corkpulley/corkpulley/internal/platform/logservice"
)

// tail restores the latest snapshot, then applies records as they are appended.
func (s *TailedStream) tail() {
	delays := logRetries.Delays()
	for s.ctx.Err() == nil {
		err := s.loadSnapshot(s.ctx)
		if err == nil {
			s.manager.failures.succeeded(operationLoadSnapshot)
			break
		}
		if s.ctx.Err() != nil {
			return
		}
		s.manager.failures.failed(operationLoadSnapshot, s.name, err)
		retry.Sleep(s.ctx, delays.NextBackOff())
	}
	if s.ctx.Err() != nil {
		return
	}
	close(s.loaded)
	s.follow()
}

// follow reads and applies records until the stream stops.
func (s *TailedStream) follow() {
	delays := logRetries.Delays()
	limit := readLimit
	for s.ctx.Err() == nil {
		sent := time.Now()
		batch, err := s.poll(limit)
		s.manager.metrics.reads.WithLabelValues(s.class, outcomeLabel(err)).Inc()
		if err == nil {
			s.manager.failures.succeeded(operationRead)
			delays.Reset()
			limit = min(limit*2, readLimit)
			s.applyBatch(batch, sent)
			continue
		}
		if s.ctx.Err() != nil {
			return
		}
		if errors.Is(err, logservice.ErrTooLarge) && limit > 1 {
			limit /= 2
			continue
		}
		s.manager.failures.failed(operationRead, s.name, err)
		retry.Sleep(s.ctx, delays.NextBackOff())
	}
}

// poll reads the records after the last applied one.
func (s *TailedStream) poll(limit int) (logservice.Batch, error) {
	from := s.Applied()
	batch, err := s.manager.options.Service.Read(s.ctx, s.name, from, limit, s.manager.options.PollWait)
	if err != nil {
		return logservice.Batch{}, err
	}
	if batch.End < from {
		// An append-only log cannot shrink; continuing would mix two histories.
		return logservice.Batch{}, errors.Wrapf(logservice.ErrUnavailable,
			"stream ends at offset %d, but records before offset %d were read", batch.End, from)
	}
	return batch, nil
}

// applyBatch applies the result of a read that was sent at the given time.
func (s *TailedStream) applyBatch(batch logservice.Batch, sent time.Time) {
	contact := sent
	if len(batch.Entries) == 0 {
		contact = longpoll.AsOf(sent, s.manager.options.PollWait, time.Now())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, entry := range batch.Entries {
		s.applyEntry(entry)
	}
	if s.applied >= batch.End && contact.After(s.lastContact) {
		s.lastContact = contact
	}
	s.releaseWaiters()
	s.queueSnapshot()
	s.stopWhenIdle()
}

// applyEntry applies one entry. All readers skip the same malformed records, as decoding depends only on their
// bytes. Must be called with mu held.
func (s *TailedStream) applyEntry(entry logservice.Entry) {
	if entry.Offset != s.applied {
		return
	}
	s.applied++
	record, err := logrecord.Decode(entry.Data)
	if err != nil {
		s.manager.metrics.skipped.WithLabelValues(s.class).Inc()
		s.logger.Warn().Err(err).Int64("offset", entry.Offset).Msg("malformed record skipped")
		return
	}
	if record.Kind == logrecord.KindSnapshot {
		s.observeSnapshot(entry.Offset, record)
		return
	}
	s.bytesSinceSnapshot += len(entry.Data)
	verdict := s.reducer.Apply(entry.Offset, record)
	s.resolve(entry.Offset, record, verdict)
}

// releaseWaiters closes the channels of applied offsets. Must be called with mu held.
func (s *TailedStream) releaseWaiters() {
	for offset, waiter := range s.waiters {
		if offset < s.applied {
			close(waiter)
			delete(s.waiters, offset)
		}
	}
}
