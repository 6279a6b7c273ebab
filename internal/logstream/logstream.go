// Package logstream runs reducers over streams of the log service. It handles tailing, group commit, retries of
// appends with an unknown outcome, and snapshots.
package logstream

import (
	"context"

	"github.com/corkpulley/corkpulley/internal/core/logrecord"
)

// Reducer is a deterministic state machine over one stream. All calls are made under the stream's lock.
// Implementations must not retain record bodies.
type Reducer interface {
	// Apply applies the record at the offset and returns its verdict. The result must depend only on the state
	// and the record.
	Apply(offset int64, record logrecord.Record) logrecord.Verdict
	// Snapshot encodes the state after the last applied record. It returns nil if the reducer does not support
	// snapshots.
	Snapshot() ([]byte, error)
	// Restore replaces the state with that of a snapshot. It must leave the state unchanged on an error.
	Restore(snapshot []byte) error
}

// Proposal is a record to be appended to a stream.
type Proposal struct {
	Kind logrecord.Kind
	// Epoch is the ownership epoch assumed by the writer; 0 for kinds that need none.
	Epoch int64
	// Body is encoded with msgpack.
	Body any
}

// Outcome is the verdict of a proposal, as read back from the stream.
type Outcome struct {
	Offset  int64
	Verdict logrecord.Verdict
}

// Stream is a tailed stream with its reducer.
type Stream interface {
	// Propose appends the record and waits until it is read back. If ctx ends first it returns ctx's error and
	// the append continues in the background: the outcome is then unknown to the caller.
	Propose(ctx context.Context, proposal Proposal) (Outcome, error)
	// ProposeWithCallback is like Propose, but calls onLate with an outcome that is read back after ctx ended.
	// onLate is called at most once, and not at all if ProposeWithCallback returned an outcome.
	ProposeWithCallback(ctx context.Context, proposal Proposal, onLate func(Outcome)) (Outcome, error)
	// CatchUp waits until all records that were in the stream at the time of the call have been applied.
	CatchUp(ctx context.Context) error
	// View calls read with the reducer's lock held; read must not block.
	View(read func())
	// Applied returns the offset after the last applied record.
	Applied() int64
	// Changed returns a channel that is closed once the record at offset has been applied.
	Changed(offset int64) <-chan struct{}
	// ReadRecord reads the record at offset from the log again, for example a large body that the reducer does
	// not keep.
	ReadRecord(ctx context.Context, offset int64) (logrecord.Record, error)
}
