package logstream

import (
	"context"

	"github.com/corkpulley/corkpulley/internal/common/retry"
	"github.com/corkpulley/corkpulley/internal/core/logrecord"
)

// appendLoop is the only place that appends to the stream, so one append is in
// flight at a time: a repeat can never stand before the first copy of a record
// with a higher sequence that it did not accompany.
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

// appendQueued appends batch after batch until the queue is empty.
func (s *TailedStream) appendQueued() {
	for s.ctx.Err() == nil {
		batch := s.nextBatch()
		if len(batch) == 0 {
			return
		}
		s.manager.metrics.batchSize.WithLabelValues(s.class).Observe(float64(len(batch)))
		s.appendUntilKnown(batch)
	}
}

// nextBatch moves proposals from the queue to pending and gives them their
// sequences.
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

// appendUntilKnown repeats the batch, the same records with the same
// sequences, until an append succeeds or all were read back.
func (s *TailedStream) appendUntilKnown(batch []*proposal) {
	delays := logRetries.Delays()
	for {
		records := s.encodeUnsettled(batch)
		if len(records) == 0 || s.tryAppend(records) == nil {
			return
		}
		if !retry.Sleep(s.ctx, delays.NextBackOff()) {
			return
		}
	}
}

// encodeUnsettled encodes the records of the batch that were not read back.
func (s *TailedStream) encodeUnsettled(batch []*proposal) [][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	var records [][]byte
	for _, proposed := range batch {
		if s.pending[proposed.record.Sequence] != proposed {
			continue
		}
		data, err := logrecord.Encode(proposed.record)
		if err != nil {
			// newProposal checked the bounds, so this is a fault of this program.
			s.logger.Error().Err(err).Msg("a checked record cannot be encoded")
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
