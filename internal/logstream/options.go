package logstream

import (
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/corkpulley/corkpulley/internal/common/retry"
	"github.com/corkpulley/corkpulley/internal/core/logrecord"
	"github.com/corkpulley/corkpulley/internal/platform/logservice"
)

// ErrNotProposed is wrapped by every error of a proposal that certainly has
// no effect, now or later. Any other error leaves the outcome unknown.
var ErrNotProposed = errors.New("log stream: not proposed")

// The causes of ErrNotProposed.
var (
	// ErrClosed: the stream was closed before.
	ErrClosed = errors.Wrap(ErrNotProposed, "stream is closed")
	// ErrBacklogFull: maxBacklog proposals already wait, since the log is down
	// or slow.
	ErrBacklogFull = errors.Wrap(ErrNotProposed, "too many proposals wait")
	// ErrBadProposal: the record would break the bounds of logrecord, such as
	// a body over MaxBodyBytes.
	ErrBadProposal = errors.Wrap(ErrNotProposed, "bad proposal")
)

const (
	// MaxBodyBytes bounds the encoded body of a proposal.
	MaxBodyBytes = logrecord.MaxRecordBytes - 4*logrecord.MaxNameBytes
	// DefaultCommitDelay is how long a batch waits for more proposals.
	DefaultCommitDelay = 2 * time.Millisecond
	// DefaultPollWait is how long a read waits for the next record. It bounds
	// the age of LastContact on an idle stream, which readiness looks at.
	DefaultPollWait = 2 * time.Second
	// DefaultAppendTimeout bounds one try of an append.
	DefaultAppendTimeout = 10 * time.Second

	// maxBacklog bounds the proposals of one stream that wait for a verdict.
	maxBacklog = 8192
	// maxBatchRecords and maxBatchBytes bound one append; one record always fits.
	maxBatchRecords = 256
	maxBatchBytes   = 1 << 20
	// readLimit is how many records one read asks for at most.
	readLimit = 512
	// snapshotPartBytes is the most state that one snapshot record carries.
	snapshotPartBytes = 1 << 20
	// firstWindow is how many of the stream's last records are looked through
	// for a snapshot at first; it doubles while none is found.
	firstWindow = 64
)

// logRetries paces the tries of appends and reads; it outlasts any outage.
var logRetries = retry.Policy{First: 20 * time.Millisecond, Longest: 3 * time.Second}

// Options configures a Manager.
type Options struct {
	Service logservice.Service
	// Writer identifies this process start; it is never used twice.
	Writer string
	Logger zerolog.Logger
	// Registerer takes the metrics; nil keeps them private.
	Registerer prometheus.Registerer
	// CommitDelay, PollWait and AppendTimeout default when zero.
	CommitDelay   time.Duration
	PollWait      time.Duration
	AppendTimeout time.Duration
}

func (o Options) withDefaults() Options {
	if o.CommitDelay == 0 {
		o.CommitDelay = DefaultCommitDelay
	}
	if o.PollWait == 0 {
		o.PollWait = DefaultPollWait
	}
	if o.AppendTimeout == 0 {
		o.AppendTimeout = DefaultAppendTimeout
	}
	return o
}

// StreamOptions configures one open stream.
type StreamOptions struct {
	// SnapshotEvery is the number of records after which this process may
	// write a snapshot; 0 writes none. A failed try is repeated after as many.
	SnapshotEvery int64
	// SnapshotAtLatest puts a snapshot off beyond SnapshotEvery until the
	// records since the latest one take as many bytes as that, so that the
	// snapshots of a large state don't outweigh its records; this many records
	// are the most that a reader then replays. 0 puts off none.
	SnapshotAtLatest int64
	// SnapshotWhen tells whether this process should write the snapshot that
	// is due. It is called with the reducer's lock held, like the argument of
	// View. Nil: whoever had a record accepted since the latest snapshot.
	SnapshotWhen func() bool
	// SnapshotFormat is the version of the reducer's snapshot encoding;
	// snapshots of another format are not read.
	SnapshotFormat int
}
