package leadership

import (
	"context"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/corkpulley/corkpulley/internal/common/retry"
	"github.com/corkpulley/corkpulley/internal/core/lease"
	"github.com/corkpulley/corkpulley/internal/eventlog"
)

// tail reads the lease's records until ctx ends.
func (e *Elector) tail(ctx context.Context) {
	for ctx.Err() == nil {
		if err := e.read(ctx, e.options.Budget.ScalePeriod(pollWait, maxPollWait)); err != nil {
			e.lostContact(err)
			retry.Sleep(ctx, e.options.Budget.ScalePeriod(retryDelay, maxRetryDelay))
			continue
		}
		retry.Sleep(ctx, e.readDelay())
	}
}

// read reads and applies the records from the next offset on, with a long poll. It may be called concurrently.
func (e *Elector) read(ctx context.Context, wait time.Duration) error {
	batch, err := e.log.Read(ctx, e.partition, e.next(), maxReadBytes, wait)
	var trimmed *eventlog.TrimmedError
	if errors.As(err, &trimmed) {
		e.skipTo(trimmed.First)
		return nil
	}
	if err != nil {
		return err
	}
	e.apply(batch)
	return nil
}

// next returns the offset of the next record to read.
func (e *Elector) next() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state.Next
}

// readDelay returns the pause before the next read.
func (e *Elector) readDelay() time.Duration {
	e.mu.Lock()
	leading := e.leading
	e.mu.Unlock()
	if leading {
		return 0
	}
	if !e.isEligible() {
		return observerReadInterval
	}
	return e.options.Budget.ScalePeriod(readInterval, maxReadInterval)
}

// apply applies the records of a batch, except those that a concurrent read has already applied.
func (e *Elector) apply(batch eventlog.Batch) {
	now := e.now()
	e.mu.Lock()
	applied := min(max(0, e.state.Next-batch.First), int64(len(batch.Records)))
	for _, raw := range batch.Records[applied:] {
		var record lease.Record
		if err := msgpack.Unmarshal(raw, &record); err != nil {
			e.state.Skip(now)
			continue
		}
		e.logUnknownKind(record.Kind)
		if e.state.IsStale(record) {
			e.reportSuperseded(record)
		}
		if e.state.Apply(record, now) {
			e.epochChanged(record)
		}
		e.confirm(record)
	}
	if e.state.Next >= batch.End {
		e.readAt = now
		if e.contactSince.IsZero() {
			e.contactSince = now
		}
	}
	e.mu.Unlock()
	if len(batch.Records) > 0 {
		e.signal()
	}
}

// logUnknownKind logs a record kind that only a newer version knows, once for each kind. Such a record confirms its
// epoch and has no other effect. Must be called with mu held.
func (e *Elector) logUnknownKind(kind lease.RecordKind) {
	if !kind.IsKnown() && e.unknownKinds.First(strconv.Itoa(int(kind))) {
		e.options.Logger.Warn().Uint8("kind", uint8(kind)).Str("topic", e.partition.Topic).Int64("offset", e.state.Next).
			Msg("records of unknown kind skipped")
	}
}

// reportSuperseded reports a record that a holder wrote after a newer claim took effect, which means that two nodes
// acted as leader. Must be called with mu held.
func (e *Elector) reportSuperseded(record lease.Record) {
	e.options.Logger.Warn().Stringer("kind", record.Kind).Str("holder", record.Holder).Int64("epoch", record.Epoch).
		Int64("newest_epoch", e.state.Epoch).Int64("offset", e.state.Next).Strs("engines", record.Engines).
		Msg("lease record written after a newer claim")
	if e.options.OnSuperseded != nil {
		e.options.OnSuperseded(record.Kind)
	}
}

// epochChanged ends this node's lease of an earlier epoch, if any, and notes the start of its term if it wrote the
// record. Must be called with mu held.
func (e *Elector) epochChanged(record lease.Record) {
	e.validUntil = time.Time{}
	if record.Holder == e.options.Holder {
		e.termStart = e.now()
	}
	e.options.Logger.Info().Str("holder", e.state.Holder).Int64("epoch", e.state.Epoch).Msg("leader changed")
}

// skipTo skips records that the log has trimmed. Until a record confirms the epoch in force, this node neither claims
// without waiting for the TTL nor writes as the holder.
func (e *Elector) skipTo(first int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state.SkipTo(first, e.now())
}

func (e *Elector) lostContact(err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.contactSince.IsZero() {
		e.options.Logger.Info().Err(err).Int64("offset", e.state.Next).Msg("reading the lease records failed")
	}
	e.contactSince = time.Time{}
}
