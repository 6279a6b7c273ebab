// Package logusage counts a node's calls of the log by topic, operation and outcome, and the bytes of their
// records.
package logusage

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/eventlog"
)

// Operation is the kind of a call.
type Operation string

const (
	OperationAppend Operation = "append"
	OperationRead   Operation = "read"
	OperationNewest Operation = "newest"
)

// Outcome is the result of a call.
type Outcome string

const (
	// Answered means that the log performed the call, or reported a conflict or records that it no longer keeps.
	Answered Outcome = "answered"
	// Refused means that the log refused the call or could not be reached; the call was not performed.
	Refused Outcome = "refused"
	// Unanswered means that it is unknown whether the log performed the call, or that its reply was incomplete.
	Unanswered Outcome = "unanswered"
	// Abandoned means that the caller canceled the call.
	Abandoned Outcome = "abandoned"
)

// Call describes a completed call.
type Call struct {
	Topic     string
	Operation Operation
	Outcome   Outcome
	// Bytes is the size of the records written or read; zero for a failed call.
	Bytes int
}

// Log reports every call of the log that it wraps. It implements eventlog.Log.
type Log struct {
	log    eventlog.Log
	onCall func(Call)
}

var _ eventlog.Log = (*Log)(nil)

// New returns a log that calls onCall after each call of log. onCall must be safe for concurrent use.
func New(log eventlog.Log, onCall func(Call)) *Log { return &Log{log: log, onCall: onCall} }

// Append implements eventlog.Log.
func (l *Log) Append(ctx context.Context, partition eventlog.Partition, records [][]byte) (int64, error) {
	offset, err := l.log.Append(ctx, partition, records)
	l.record(ctx, partition.Topic, OperationAppend, totalBytes(records), err)
	return offset, err
}

// AppendAt implements eventlog.Log.
func (l *Log) AppendAt(
	ctx context.Context, partition eventlog.Partition, end int64, records [][]byte,
) (int64, error) {
	offset, err := l.log.AppendAt(ctx, partition, end, records)
	l.record(ctx, partition.Topic, OperationAppend, totalBytes(records), err)
	return offset, err
}

// Read implements eventlog.Log.
func (l *Log) Read(
	ctx context.Context, partition eventlog.Partition, from int64, limit int, wait time.Duration,
) (eventlog.Batch, error) {
	batch, err := l.log.Read(ctx, partition, from, limit, wait)
	l.record(ctx, partition.Topic, OperationRead, totalBytes(batch.Records), err)
	return batch, err
}

// PutKeyed implements eventlog.Log.
func (l *Log) PutKeyed(ctx context.Context, topic string, records []eventlog.KeyedRecord) error {
	err := l.log.PutKeyed(ctx, topic, records)
	l.record(ctx, topic, OperationAppend, totalKeyedBytes(records), err)
	return err
}

// Newest implements eventlog.Log.
func (l *Log) Newest(ctx context.Context, topic string) (eventlog.KeyedBatch, error) {
	batch, err := l.log.Newest(ctx, topic)
	l.record(ctx, topic, OperationNewest, totalKeyedBytes(batch.Records), err)
	return batch, err
}

// ReadKeyed implements eventlog.Log.
func (l *Log) ReadKeyed(
	ctx context.Context, topic string, from int64, wait time.Duration,
) (eventlog.KeyedBatch, error) {
	batch, err := l.log.ReadKeyed(ctx, topic, from, wait)
	l.record(ctx, topic, OperationRead, totalKeyedBytes(batch.Records), err)
	return batch, err
}

func (l *Log) record(ctx context.Context, topic string, operation Operation, bytes int, err error) {
	if err != nil {
		bytes = 0
	}
	l.onCall(Call{Topic: topic, Operation: operation, Outcome: outcomeOf(ctx, err), Bytes: bytes})
}

func outcomeOf(ctx context.Context, err error) Outcome {
	var conflict *eventlog.ConflictError
	var trimmed *eventlog.TrimmedError
	switch {
	case err == nil, errors.As(err, &conflict), errors.As(err, &trimmed):
		return Answered
	case errors.Is(ctx.Err(), context.Canceled):
		return Abandoned
	case errors.Is(err, eventlog.ErrNotPerformed):
		return Refused
	default:
		return Unanswered
	}
}

func totalBytes(records [][]byte) int {
	size := 0
	for _, record := range records {
		size += len(record)
	}
	return size
}

func totalKeyedBytes(records []eventlog.KeyedRecord) int {
	size := 0
	for _, record := range records {
		size += len(record.Key) + len(record.Value)
	}
	return size
}
