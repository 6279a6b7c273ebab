// Package eventlog defines the partitioned, append-only log that holds all durable state of hosted nodes.
// Adapters implement Log; the users of a topic define the meaning of its records.
package eventlog

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"
)

// Partition identifies one partition of a topic. The offsets of its records are consecutive and start at 0.
type Partition struct {
	Topic  string
	Number int
}

// String returns the partition as "topic/number".
func (p Partition) String() string { return fmt.Sprintf("%s/%d", p.Topic, p.Number) }

// Batch is the result of a read.
type Batch struct {
	// First is the offset of Records[0]; it is set even if Records is empty.
	First int64
	// End is the end of the partition at the time of the read.
	End     int64
	Records [][]byte
}

// KeyedRecord is one record of a compacted topic. A record without a value deletes its key. An undecodable
// record has no key.
type KeyedRecord struct {
	Key     string
	Value   []byte
	Deleted bool
	Offset  int64
}

// KeyedBatch is the result of a read of a compacted topic.
type KeyedBatch struct {
	Records []KeyedRecord
	// Next is the offset of the next read.
	Next int64
}

// Log is a client of the log. Each call returns when its context ends.
type Log interface {
	// Append appends the records atomically and returns the offset of the first one.
	Append(ctx context.Context, partition Partition, records [][]byte) (int64, error)
	// AppendAt appends only if the partition ends at end; otherwise it returns a *ConflictError.
	AppendAt(ctx context.Context, partition Partition, end int64, records [][]byte) (int64, error)
	// Read returns about limit bytes of records starting at offset from. If there are none, it waits for one, at
	// most for the given time. It returns a *TrimmedError if the offset is no longer retained.
	Read(ctx context.Context, partition Partition, from int64, limit int, wait time.Duration) (Batch, error)
	// PutKeyed appends records to a compacted topic atomically; it ignores the Offset of each record.
	PutKeyed(ctx context.Context, topic string, records []KeyedRecord) error
	// Newest returns the latest record of each key of a compacted topic.
	Newest(ctx context.Context, topic string) (KeyedBatch, error)
	// ReadKeyed is like Read for a compacted topic.
	ReadKeyed(ctx context.Context, topic string, from int64, wait time.Duration) (KeyedBatch, error)
}

// ErrNotPerformed means that the call was refused or never sent: it has no effect, now or later.
var ErrNotPerformed = errors.New("log call not performed")

// ErrThrottled means that all nodes together exceeded the call rate of the log. It wraps ErrNotPerformed.
var ErrThrottled = errors.Wrap(ErrNotPerformed, "throttled")

// ErrOutcomeUnknown means that the call may have taken effect, or may still do so.
var ErrOutcomeUnknown = errors.New("outcome of log call is unknown")

// ConflictError is returned by a conditional append whose condition is not met.
type ConflictError struct {
	End int64
}

// Error implements the error interface.
func (e *ConflictError) Error() string { return fmt.Sprintf("partition ends at %d", e.End) }

// TrimmedError is returned by a read of records that are no longer retained.
type TrimmedError struct {
	// First is the first retained offset.
	First int64
}

// Error implements the error interface.
func (e *TrimmedError) Error() string {
	return fmt.Sprintf("records before offset %d are no longer retained", e.First)
}
