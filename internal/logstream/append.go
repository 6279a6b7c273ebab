package logstream

import (
	"context"

	"github.com/corkpulley/corkpulley/internal/common/retry"
	"github.com/corkpulley/corkpulley/internal/core/logrecord"
)

// appendLoop is the only appender of the stream. It sends a batch only after the previous one is in the stream,
// so the first copies of records appear in the order of their sequence numbers.
func (s *TailedStream) appendLoop() {
	if s.waitLoaded(s.ctx) != nil {
		return
	}
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-s.wake:
		}
		if !retry.Sleep(s.ctx, s.manager.options.CommitDelay) {
			return
		}
		s.appendQueued()
		s.appendSnapshot()
	}
}

// appendQueued appends batches until the queue is empty.
func (s *TailedStream) appendQueued() {
	for s.ctx.Err() == nil {
		batch := s.nextBatch()
		if len(batch) == 0 {
			return
		}
		s.manager.metrics.batchSize.WithLabelValues(s.class).Observe(float64(len(batch)))
		s.appendUntilResolved(batch)
	}
}

// nextBatch moves proposals from the queue to pending and assigns their sequence numbers.
func (s *TailedStream) nextBatch() []*proposal {
	s.mu.Lock()
	defer s.mu.Unlock()
	size, count := 0, 0
	for count < len(s.queue) && count < maxBatchRecords {
		size += len(s.queue[count].record.Body)
		if count > 0 && size > maxBatchBytes {
			break
		}
		count++
	}
	batch := append([]*proposal(nil), s.queue[:count]...)
	s.queue = append([]*proposal(nil), s.queue[count:]...)
	for _, proposed := range batch {
		proposed.record.Sequence = s.nextSequence
		proposed.record.Base = s.applied
		s.pending[s.nextSequence] = proposed
		s.nextSequence++
	}
	return batch
}

// appendUntilResolved retries the batch with the same sequence numbers until an append succeeds or all its
// records have been read back.
func (s *TailedStream) appendUntilResolved(batch []*proposal) {
	delays := logRetries.Delays()
	for {
		records := s.encodeUnresolved(batch)
		if len(records) == 0 || s.tryAppend(records) == nil {
			return
		}
		if !retry.Sleep(s.ctx, delays.NextBackOff()) {
			return
		}
	}
}

// encodeUnresolved encodes the records of the batch that have not been read back.
func (s *TailedStream) encodeUnresolved(batch []*proposal) [][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	var records [][]byte
	for _, proposed := range batch {
		if s.pending[proposed.record.Sequence] != proposed {
			continue
		}
		data, err := logrecord.Encode(proposed.record)
		if err != nil {
			// newProposal has encoded the record before, so this is a bug.
			s.logger.Error().Err(err).Msg("encoding a validated record failed")
			continue
		}
		records = append(records, data)
	}
	return records
}

func (s *TailedStream) tryAppend(records [][]byte) error {
	ctx, cancel := context.WithTimeout(s.ctx, s.manager.options.AppendTimeout)
	defer cancel()
	_, err := s.manager.options.Service.Append(ctx, s.name, records)
	s.manager.metrics.appends.WithLabelValues(s.class, outcomeLabel(err)).Inc()
	switch {
	case err == nil:
		s.manager.failures.succeeded(operationAppend)
	case s.ctx.Err() == nil:
		s.manager.failures.failed(operationAppend, s.name, err)
	}
	return err
}
