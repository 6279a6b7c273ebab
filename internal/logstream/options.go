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

// ErrNotProposed is wrapped by every error of a proposal that has no effect, now or later. After any other error
// the outcome is unknown.
var ErrNotProposed = errors.New("log stream: not proposed")

// Causes of ErrNotProposed.
var (
	// ErrClosed means that the stream is closed.
	ErrClosed = errors.Wrap(ErrNotProposed, "stream is closed")
	// ErrBacklogFull means that maxBacklog proposals are unresolved because the log is unavailable or slow.
	ErrBacklogFull = errors.Wrap(ErrNotProposed, "too many unresolved proposals")
	// ErrBadProposal means that the record exceeds a limit of package logrecord or MaxBodyBytes.
	ErrBadProposal = errors.Wrap(ErrNotProposed, "invalid proposal")
)

const (
	// MaxBodyBytes bounds the encoded body of a proposal.
	MaxBodyBytes = logrecord.MaxRecordBytes - 4*logrecord.MaxNameBytes
	// DefaultCommitDelay is how long a batch waits for further proposals.
	DefaultCommitDelay = 2 * time.Millisecond
	// DefaultPollWait is how long a read waits for the next record. It bounds the age of LastContact on an idle
	// stream, which readiness checks use.
	DefaultPollWait = 2 * time.Second
	// DefaultAppendTimeout bounds one append attempt.
	DefaultAppendTimeout = 10 * time.Second

	// maxBacklog bounds the unresolved proposals of one stream.
	maxBacklog = 8192
	// maxBatchRecords and maxBatchBytes bound one append; a single record is always allowed.
	maxBatchRecords = 256
	maxBatchBytes   = 1 << 20
	// readLimit is the maximum number of records requested by one read.
	readLimit = 512
	// snapshotPartBytes bounds the part of the state in one snapshot record.
	snapshotPartBytes = 1 << 20
	// initialScanWindow is the number of trailing records first searched for a snapshot. The window doubles
	// until one is found.
	initialScanWindow = 64
)

// logRetries is the backoff of appends and reads, which are retried for as long as the stream is open.
var logRetries = retry.Policy{First: 20 * time.Millisecond, Longest: 3 * time.Second}

// Options configures a Manager.
type Options struct {
	Service logservice.Service
	// Writer identifies the process. It must be unique for each start.
	Writer string
	Logger zerolog.Logger
	// Registerer registers the metrics; nil leaves them unregistered.
	Registerer prometheus.Registerer
	// Zero durations select the defaults above.
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
	// SnapshotEvery is the number of records after which this process may write a snapshot; 0 disables
	// snapshots. A failed attempt is repeated after as many records.
	SnapshotEvery int64
	// MaxSnapshotInterval defers a due snapshot until the records since the previous one take as many bytes as that
	// snapshot, so that snapshots of a large state do not outweigh its records. A reader replays at most this
	// many records. 0 disables deferral.
	MaxSnapshotInterval int64
	// ShouldSnapshot reports whether this process should write the snapshot that is due. It is called with the
	// reducer's lock held. If nil, a process writes it if one of its records was accepted since the previous one.
	ShouldSnapshot func() bool
	// SnapshotFormat is the version of the reducer's snapshot encoding; other versions are ignored.
	SnapshotFormat int
}
