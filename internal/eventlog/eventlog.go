// Package eventlog defines the partitioned, append-only log that everything
// durable is kept in, as the roles of a hosted node see it. Adapters implement
// Log; the roles decide what the records mean.
package eventlog

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"
)

// Partition names one partition of a topic. Offsets count its records from 0
// without gaps.
type Partition struct {
	Topic  string
	Number int
}

// String is the form used in logs.
func (p Partition) String() string { return fmt.Sprintf("%s/%d", p.Topic, p.Number) }

// Batch is the answer of a read.
type Batch struct {
	// First is the offset of Records[0], also when Records is empty.
	First int64
	// End is the partition's end when the read was answered.
	End     int64
	Records [][]byte
}

// KeyedRecord is one record of a compacted topic. A record without a value
// deletes its key. One that cannot be read at all has no key.
type KeyedRecord struct {
	Key     string
	Value   []byte
	Deleted bool
	Offset  int64
}

// KeyedBatch is the answer of a read of a compacted topic.
type KeyedBatch struct {
	Records []KeyedRecord
	// Next is the offset to read from next.
	Next int64
}

// Log is the platform's log. Each call gives up when its context ends.
type Log interface {
	// Append adds records in one piece and returns the offset of the first.
	Append(ctx context.Context, partition Partition, records [][]byte) (int64, error)
	// AppendAt appends only if the partition ends at end; else a *ConflictError.
	AppendAt(ctx context.Context, partition Partition, end int64, records [][]byte) (int64, error)
	// Read returns records from an offset on, about limit bytes of them, waiting
	// for one up to the given time. Offsets no longer kept give a *GoneError.
	Read(ctx context.Context, partition Partition, from int64, limit int, wait time.Duration) (Batch, error)
	// PutKeyed adds records to a compacted topic in one piece; their offsets are not read.
	PutKeyed(ctx context.Context, topic string, records []KeyedRecord) error
	// Newest returns the newest record of each key of a compacted topic.
	Newest(ctx context.Context, topic string) (KeyedBatch, error)
	// ReadKeyed is Read of a compacted topic.
	ReadKeyed(ctx context.Context, topic string, from int64, wait time.Duration) (KeyedBatch, error)
}

// ErrNotDone means that the call was refused or never sent: it had no effect
// and never will have one.
var ErrNotDone = errors.New("the log did not take the call")

// ErrThrottled is an ErrNotDone: the nodes together have called too often.
var ErrThrottled = errors.Wrap(ErrNotDone, "throttled")

// ErrOutcomeUnknown means that the call may have had its effect, or may still
// have it later.
var ErrOutcomeUnknown = errors.New("the outcome of the call to the log is unknown")

// ConflictError is the answer to a conditional append whose condition failed.
type ConflictError struct {
	End int64
}

// Error implements the error interface.
func (e *ConflictError) Error() string { return fmt.Sprintf("the partition ends at %d", e.End) }

// GoneError is the answer to a read of records that are no longer kept.
type GoneError struct {
	// First is the first offset that is kept.
	First int64
}

// Error implements the error interface.
func (e *GoneError) Error() string { return fmt.Sprintf("records before %d are gone", e.First) }
