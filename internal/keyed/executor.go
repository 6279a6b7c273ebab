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
	// DefaultShards is the number of idempotency streams.
	DefaultShards = 64
	// DefaultLogTimeout bounds the wait for an intent's verdict.
	DefaultLogTimeout = 5 * time.Second
	// DefaultSnapshotEvery is the least number of records between snapshots.
	DefaultSnapshotEvery = 4096
	// snapshotPatience is how many times as many records a shard of many keys
	// may take until its next snapshot: then its snapshots outweigh its records
	// less, and a node that opens the shard still catches up in seconds.
	snapshotPatience = 4
	// DefaultShardIdle is how long a shard without requests stays open. To open
	// it again replays what follows its latest snapshot.
	DefaultShardIdle = 2 * time.Minute

	// closingRecordTries is how many log timeouts a result may take to be
	// recorded once the node stops. Its caller has the answer; a repeat of a
	// key whose result is not on record is told that the outcome is unknown.
	closingRecordTries = 3
	// maxFlights bounds the requests of one shard that this node deals with.
	maxFlights = 4096
	// freshFor is the age of the last contact with the log up to which the
	// tailed state needs no extra read: an idle tail is in touch once a poll.
	freshFor = 2 * logstream.DefaultPollWait
)

// Options configures an Executor.
type Options struct {
	Manager  *logstream.Manager
	View     cluster.View
	Caller   peer.Caller
	Registry peer.Registry
	Router   router.Router
	Tables   policy.Source
	// Shards is the number of idempotency streams, the same on all nodes for
	// ever; DefaultShards when 0.
	Shards int
	// LogTimeout bounds the wait for the log before a request is refused;
	// DefaultLogTimeout when 0.
	LogTimeout time.Duration
	// SnapshotEvery as in logstream.StreamOptions; DefaultSnapshotEvery when 0.
	SnapshotEvery int64
	// ShardIdle is how long a shard without requests is tailed on;
	// DefaultShardIdle when 0.
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

// Executor executes keyed requests at most once each.
type Executor struct {
	options Options
	shards  []*shard

	// ctx ends the runs when Close gives up waiting for them.
	ctx    context.Context
	cancel context.CancelFunc
	// closing is closed once Close began.
	closing chan struct{}

	mu      sync.Mutex
	closed  bool
	running sync.WaitGroup
}

// New returns an Executor and registers its handler of MethodKeyed.
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

// Execute runs the request, or finds the answer of the run that came first. It
// hands the whole answer to onPiece from one goroutine, in order. Errors are
// *errkind.Error: OutcomeUnknown when another intent for the key is first and
// has no result, IdempotencyKeyReused when the key came with another request,
// LogUnavailable (not run) while the log does not answer.
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
		return e.executeHere(ctx, request, onPiece)
	}
	result, sent, err := e.forward(ctx, owner, request, onPiece)
	if !sent {
		// The owner certainly saw nothing. Any node may run the request,
		// because the log decides which intent is first.
		return e.executeHere(ctx, request, onPiece)
	}
	return result, err
}

// executeHere deals with the request as the shard's owner. The run does not end
// when the caller leaves: its result is recorded for the caller's next try.
func (e *Executor) executeHere(
	ctx context.Context, request Request, onPiece func(router.Piece) error,
) (router.Result, error) {
	if err := e.options.Tables.Current(); err != nil {
		return router.Result{}, err
	}
	shard := e.shards[request.shard(e.options.Shards)]
	flight, err := shard.join(request)
	if err != nil {
		return router.Result{}, err
	}
	return flight.follow(ctx, onPiece)
}

// spawn runs work on a goroutine that Close waits for; false once closed.
func (e *Executor) spawn(work func()) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return false
	}
	e.running.Go(work)
	return true
}

// Close takes no more requests and waits until the running ones have ended and
// their results are recorded; while the log is down, a result is tried for
// closingRecordTries log timeouts. When ctx ends first, it cancels what runs:
// the outcome is then unknown, and it returns ctx's error. The Manager is
// closed after the Executor.
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

// recordContext returns a context that ends when Close gives up waiting for
// results, which is some log timeouts after it began.
func (e *Executor) recordContext() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(e.ctx)
	go func() {
		select {
		case <-e.closing:
		case <-ctx.Done():
			return
		}
		patience := time.NewTimer(closingRecordTries * e.options.LogTimeout)
		defer patience.Stop()
		select {
		case <-patience.C:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// rowInForce returns the submission under this node's table when that is newer
// than the sender's, since the table may have changed on the way.
func (e *Executor) rowInForce(submission Submission) (Submission, error) {
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
