// Package logstream runs reducers over streams of the log service: tailing,
// group commit, retry of appends with an unknown outcome, and snapshots.
package logstream

import (
	"context"

	"github.com/corkpulley/corkpulley/internal/core/logrecord"
)

// Reducer is a pure state machine over one stream. The runtime calls it under
// one lock; it must not keep references to record bodies.
type Reducer interface {
	// Apply applies the record at the offset and returns the verdict. The
	// result depends on the state and the record only.
	Apply(offset int64, record logrecord.Record) logrecord.Verdict
	// Snapshot encodes the state after the last applied record. It returns
	// nil when the stream keeps no snapshots.
	Snapshot() ([]byte, error)
	// Restore replaces the state with a snapshot's. On an error the state is
	// as before.
	Restore(snapshot []byte) error
}

// Proposal is a record that a writer wants in the stream.
type Proposal struct {
	Kind logrecord.Kind
	// Epoch the writer believes it holds; 0 when the kind needs none.
	Epoch int64
	// Body is encoded with msgpack.
	Body any
}

// Outcome is the verdict that was read back for a proposal.
type Outcome struct {
	Offset  int64
	Verdict logrecord.Verdict
}

// Stream is one tailed stream with its reducer.
type Stream interface {
	// Propose appends the record and waits until it is read back. When ctx
	// ends first it returns ctx's error and the runtime goes on trying in the
	// background: the outcome is unknown to the caller until OnLate (if set by
	// ProposeWithLate) reports it.
	Propose(ctx context.Context, proposal Proposal) (Outcome, error)
	// ProposeWithLate is Propose with a callback for an outcome that is read
	// back after ctx ended. late is called once, or not at all when Propose returned an outcome.
	ProposeWithLate(ctx context.Context, proposal Proposal, late func(Outcome)) (Outcome, error)
	// CatchUp returns once all records that were in the stream when it was
	// called are applied.
	CatchUp(ctx context.Context) error
	// View runs read with the reducer's lock held; read must not block.
	View(read func())
	// Applied returns the offset after the last applied record.
	Applied() int64
	// Changed returns a channel closed when a record at or after offset is applied.
	Changed(offset int64) <-chan struct{}
	// ReadBody reads one record again by its offset (for large bodies that the
	// reducer does not keep).
	ReadRecord(ctx context.Context, offset int64) (logrecord.Record, error)
}
