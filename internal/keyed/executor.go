package keyed

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/corkpulley/corkpulley/internal/cluster"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/core/policy"
	"github.com/corkpulley/corkpulley/internal/logstream"
	"github.com/corkpulley/corkpulley/internal/peer"
	"github.com/corkpulley/corkpulley/internal/router"
)

const (
	// DefaultShards is the default number of idempotency streams.
	DefaultShards = 64
	// DefaultLogTimeout is the default limit on the wait for the log, such as for an intent's verdict.
	DefaultLogTimeout = 5 * time.Second
	// DefaultSnapshotEvery is the default minimum number of records between snapshots.
	DefaultSnapshotEvery = 4096
	// maxSnapshotIntervalFactor is the maximum number of records between snapshots, as a multiple of the minimum. The
	// greater it is, the smaller is the share of snapshots in the streams of shards with many keys, but the more
	// records are replayed when a shard is opened.
	maxSnapshotIntervalFactor = 4
	// DefaultShardIdle is how long a shard without requests stays open by default. Opening it again replays the
	// records after its latest snapshot.
	DefaultShardIdle = 2 * time.Minute

	// closingRecordTimeouts is how long Close waits for results to be recorded, as a multiple of Options.LogTimeout.
	// The callers have their answers by then; a repeat of a key without a recorded result gets OutcomeUnknown.
	closingRecordTimeouts = 3
	// maxExecutionsPerShard limits the requests of a shard in progress on this node.
	maxExecutionsPerShard = 4096
	// maxTailAge is the time since the last contact with the log up to which the tailed state is used without an
	// extra read. An idle tail contacts the log once per poll.
	maxTailAge = 2 * logstream.DefaultPollWait
)

// Options configures an Executor.
type Options struct {
	Manager  *logstream.Manager
	View     cluster.View
	Caller   peer.Caller
	Registry peer.Registry
	Router   router.Router
	Tables   policy.Source
	// Shards is the number of idempotency streams; DefaultShards if 0. It must be the same on all nodes and must
	// never change.
	Shards int
	// LogTimeout limits the wait for the log before a request is refused; DefaultLogTimeout if 0.
	LogTimeout time.Duration
	// SnapshotEvery is as in logstream.StreamOptions; DefaultSnapshotEvery if 0.
	SnapshotEvery int64
	// ShardIdle is how long a shard without requests stays open; DefaultShardIdle if 0.
	ShardIdle time.Duration
	Logger    zerolog.Logger
}

func (o Options) withDefaults() Options {
	if o.Shards <= 0 {
		o.Shards = DefaultShards
	}
	if o.LogTimeout <= 0 {
		o.LogTimeout = DefaultLogTimeout
	}
	if o.SnapshotEvery <= 0 {
		o.SnapshotEvery = DefaultSnapshotEvery
	}
	if o.ShardIdle <= 0 {
		o.ShardIdle = DefaultShardIdle
	}
	return o
}

// Executor executes each keyed request at most once. It is safe for concurrent use.
type Executor struct {
	options Options
	shards  []*shard

	// ctx is canceled when Close stops waiting for running requests.
	ctx    context.Context
	cancel context.CancelFunc
	// closing is closed when Close begins.
	closing chan struct{}

	mu      sync.Mutex
	closed  bool
	running sync.WaitGroup
}

// New returns an Executor and registers its handler for MethodKeyed.
func New(options Options) *Executor {
	options = options.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	executor := &Executor{options: options, ctx: ctx, cancel: cancel, closing: make(chan struct{})}
	for index := range options.Shards {
		executor.shards = append(executor.shards, newShard(executor, index))
	}
	options.Registry.HandleStream(peer.MethodKeyed, executor.handle)
	return executor
}

// Execute runs the request, or returns the answer of the first run with its key. It passes the whole answer to
// onPiece from one goroutine, in order. Errors are *errkind.Error: OutcomeUnknown if an earlier intent for the key
// has no result, IdempotencyKeyReused if the key was used for a different request, LogUnavailable (not run) while
// the log does not answer.
func (e *Executor) Execute(
	ctx context.Context, request Request, onPiece func(router.Piece) error,
) (router.Result, error) {
	if request.Fingerprint == "" {
		request.Fingerprint = Fingerprint(request.Submission)
	}
	if _, err := request.intent(time.Now()); err != nil {
		return router.Result{}, err
	}
	owner, known := e.owner(request)
	if !known || owner.ID == e.options.View.Self().ID {
		return e.executeLocal(ctx, request, onPiece)
	}
	result, sent, err := e.forward(ctx, owner, request, onPiece)
	if !sent {
		// The request did not reach the owner. Any node may run it, since the log decides which intent is first.
		return e.executeLocal(ctx, request, onPiece)
	}
	return result, err
}

// executeLocal processes the request on this node. The run continues when the caller disconnects, so that its
// result is recorded for a retry.
func (e *Executor) executeLocal(
	ctx context.Context, request Request, onPiece func(router.Piece) error,
) (router.Result, error) {
	if err := e.options.Tables.CheckCurrent(); err != nil {
		return router.Result{}, err
	}
	shard := e.shards[request.shardIndex(e.options.Shards)]
	execution, err := shard.join(request)
	if err != nil {
		return router.Result{}, err
	}
	return execution.streamTo(ctx, onPiece)
}

// startTask runs work on a goroutine that Close waits for; false if the executor is closed.
func (e *Executor) startTask(work func()) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return false
	}
	e.running.Go(work)
	return true
}

// Close rejects new requests and waits until the running ones have ended and their results are recorded, or
// closingRecordTimeouts log timeouts have passed while the log is unavailable. If ctx ends first, it cancels the
// running requests, whose outcome is then unknown, and returns ctx's error. The Manager must be closed after the
// Executor.
func (e *Executor) Close(ctx context.Context) error {
	e.mu.Lock()
	if !e.closed {
		close(e.closing)
	}
	e.closed = true
	e.mu.Unlock()
	ended := make(chan struct{})
	go func() {
		e.running.Wait()
		close(ended)
	}()
	var err error
	select {
	case <-ended:
	case <-ctx.Done():
		err = ctx.Err()
	}
	e.cancel()
	<-ended
	for _, shard := range e.shards {
		shard.close()
	}
	return err
}

// recordContext returns a context for recording a result. It ends closingRecordTimeouts log timeouts after Close
// began, or when the executor's context is canceled.
func (e *Executor) recordContext() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(e.ctx)
	go func() {
		select {
		case <-e.closing:
		case <-ctx.Done():
			return
		}
		timer := time.NewTimer(closingRecordTimeouts * e.options.LogTimeout)
		defer timer.Stop()
		select {
		case <-timer.C:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// applyNewerTable returns the submission with the row of this node's table if that is newer than the sender's.
func (e *Executor) applyNewerTable(submission Submission) (Submission, error) {
	table := e.options.Tables.Table()
	if table.Revision <= submission.TableRevision {
		return submission, nil
	}
	row, ok := table.Row(submission.Row.Service)
	if !ok {
		return submission, errkind.New(errkind.UnknownService, "no service %q in the table", submission.Row.Service)
	}
	submission.Row = row
	submission.TableRevision = table.Revision
	return submission, nil
}
