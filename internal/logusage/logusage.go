// Package logusage counts the calls that a node makes of the log: by topic, operation and outcome, and the
// bytes of their records.
package logusage

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/eventlog"
)

// Operation is what a call does.
type Operation string

// The operations.
const (
	OperationAppend Operation = "append"
	OperationRead   Operation = "read"
	OperationNewest Operation = "newest"
)

// Outcome is how a call ended.
type Outcome string

// The outcomes.
const (
	// Answered: the log carried the call out, or said why its condition does not hold.
	Answered Outcome = "answered"
	// Refused: the log did not carry the call out, or was not reached.
	Refused Outcome = "refused"
	// Unanswered: whether the log carried the call out is not known, or its answer did not arrive in full.
	Unanswered Outcome = "unanswered"
	// Abandoned: the caller ended the call.
	Abandoned Outcome = "abandoned"
)

// Call is a call that has ended.
type Call struct {
	Topic     string
	Operation Operation
	Outcome   Outcome
	// Bytes is the size of the records that were written or read; zero for a call that failed.
	Bytes int
}

// Log reports every call of the log below it. It implements eventlog.Log.
type Log struct {
	log      eventlog.Log
	onCalled func(Call)
}

var _ eventlog.Log = (*Log)(nil)

// New returns a log that calls onCalled after each call.
func New(log eventlog.Log, onCalled func(Call)) *Log { return &Log{log: log, onCalled: onCalled} }

// Append implements eventlog.Log.
func (l *Log) Append(ctx context.Context, partition eventlog.Partition, records [][]byte) (int64, error) {
	offset, err := l.log.Append(ctx, partition, records)
	l.called(ctx, partition.Topic, OperationAppend, bytesOf(records), err)
	return offset, err
}

// AppendAt implements eventlog.Log.
func (l *Log) AppendAt(
	ctx context.Context, partition eventlog.Partition, end int64, records [][]byte,
) (int64, error) {
	offset, err := l.log.AppendAt(ctx, partition, end, records)
	l.called(ctx, partition.Topic, OperationAppend, bytesOf(records), err)
	return offset, err
}

// Read implements eventlog.Log.
func (l *Log) Read(
	ctx context.Context, partition eventlog.Partition, from int64, limit int, wait time.Duration,
) (eventlog.Batch, error) {
	batch, err := l.log.Read(ctx, partition, from, limit, wait)
	l.called(ctx, partition.Topic, OperationRead, bytesOf(batch.Records), err)
	return batch, err
}

// PutKeyed implements eventlog.Log.
func (l *Log) PutKeyed(ctx context.Context, topic string, records []eventlog.KeyedRecord) error {
	err := l.log.PutKeyed(ctx, topic, records)
	l.called(ctx, topic, OperationAppend, keyedBytesOf(records), err)
	return err
}

// Newest implements eventlog.Log.
func (l *Log) Newest(ctx context.Context, topic string) (eventlog.KeyedBatch, error) {
	batch, err := l.log.Newest(ctx, topic)
	l.called(ctx, topic, OperationNewest, keyedBytesOf(batch.Records), err)
	return batch, err
}

// ReadKeyed implements eventlog.Log.
func (l *Log) ReadKeyed(
	ctx context.Context, topic string, from int64, wait time.Duration,
) (eventlog.KeyedBatch, error) {
	batch, err := l.log.ReadKeyed(ctx, topic, from, wait)
	l.called(ctx, topic, OperationRead, keyedBytesOf(batch.Records), err)
	return batch, err
}

func (l *Log) called(ctx context.Context, topic string, operation Operation, bytes int, err error) {
	if err != nil {
		bytes = 0
	}
	l.onCalled(Call{Topic: topic, Operation: operation, Outcome: outcomeOf(ctx, err), Bytes: bytes})
}

func outcomeOf(ctx context.Context, err error) Outcome {
	var conflict *eventlog.ConflictError
	var gone *eventlog.GoneError
	switch {
	case err == nil, errors.As(err, &conflict), errors.As(err, &gone):
		return Answered
	case errors.Is(ctx.Err(), context.Canceled):
		return Abandoned
	case errors.Is(err, eventlog.ErrNotDone):
		return Refused
	default:
		return Unanswered
	}
}

func bytesOf(records [][]byte) int {
	size := 0
	for _, record := range records {
		size += len(record)
	}
	return size
}

func keyedBytesOf(records []eventlog.KeyedRecord) int {
	size := 0
	for _, record := range records {
		size += len(record.Key) + len(record.Value)
	}
	return size
}
