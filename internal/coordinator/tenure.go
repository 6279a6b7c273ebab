package coordinator

import (
	"context"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/rs/zerolog"

	"github.com/corkpulley/corkpulley/internal/api"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/core/ledger"
	"github.com/corkpulley/corkpulley/internal/core/logrecord"
	"github.com/corkpulley/corkpulley/internal/core/policy"
	"github.com/corkpulley/corkpulley/internal/logstream"
)

const (
	// sampleCacheSize is the number of recorded samples cached for delivery.
	sampleCacheSize = 512
	// requestCacheSize is the number of step requests cached.
	requestCacheSize = 8
	// scheduleInterval is the polling interval for changes of the table and the
	// cells; records and finished runs trigger scheduling immediately.
	scheduleInterval = 500 * time.Millisecond
	// drainGrace is how long running slots may continue when the ledger is released.
	drainGrace = 2 * time.Second
	// releaseTimeout limits how long a draining node waits for its release to be
	// read back. The release only speeds up the next claim, so it is best effort.
	releaseTimeout = 5 * time.Second
	// recordTimeout limits how long a call waits for its record to be read back.
	recordTimeout = 20 * time.Second
)

// tenure is the period in which this node believes that it owns a ledger under
// one epoch. Its context is canceled when the node reads that the epoch is lost.
type tenure struct {
	*follower
	options *Options
	metrics *metrics
	logger  zerolog.Logger
	epoch   int64
	ctx     context.Context
	cancel  context.CancelFunc
	// ended is closed when all work of the tenure has finished and the change of
	// ownership is announced.
	ended chan struct{}
	// wake triggers a scheduling round.
	wake chan struct{}
	// calls counts the pending calls; slots counts the running slots.
	calls sync.WaitGroup
	slots sync.WaitGroup

	sampleCache  *lru.Cache[int64, *ledger.SampleFilled]
	requestCache *lru.Cache[string, *ledger.StepSubmitted]

	mutex sync.Mutex
	// closed is set when no more calls or slots may start.
	closed  bool
	running map[ledger.SampleKey]*slotRun
	// trainerVersion is the version last reported by the trainer.
	trainerVersion uint64
	// finishedAtVersion is the trainer's version when a step was last finished; 0 if
	// no step was finished in this tenure.
	finishedAtVersion uint64
	discarding        bool
}

func newTenure(parent context.Context, f *follower, epoch int64) *tenure {
	ctx, cancel := context.WithCancel(parent)
	sampleCache, _ := lru.New[int64, *ledger.SampleFilled](sampleCacheSize) // fails for sizes below 1 only
	requestCache, _ := lru.New[string, *ledger.StepSubmitted](requestCacheSize)
	t := &tenure{
		follower:     f,
		options:      &f.coordinator.options,
		metrics:      f.coordinator.metrics,
		logger:       f.coordinator.options.Logger.With().Str("trainer", f.trainer).Int64("epoch", epoch).Logger(),
		epoch:        epoch,
		ctx:          ctx,
		cancel:       cancel,
		ended:        make(chan struct{}),
		wake:         make(chan struct{}, 1),
		sampleCache:  sampleCache,
		requestCache: requestCache,
		running:      make(map[ledger.SampleKey]*slotRun),
	}
	f.stream.View(func() { t.trainerVersion = f.ledger.TrainerVersion() })
	return t
}

// run schedules slots until the epoch is lost or released.
func (t *tenure) run() {
	t.logger.Info().Msg("ledger ownership acquired")
	go t.watchEpoch()
	timer := time.NewTicker(scheduleInterval)
	defer timer.Stop()
	for t.ctx.Err() == nil {
		if t.shouldRelease() {
			t.release()
			break
		}
		t.schedule()
		select {
		case <-t.ctx.Done():
		case <-t.wake:
		case <-timer.C:
		}
	}
	t.cancel()
	t.close()
	t.slots.Wait()
	t.calls.Wait()
	t.logger.Info().Msg("ledger ownership ended")
}

// shouldRelease reports whether the ledger should be released: the table no longer
// has the trainer, or the node is draining.
func (t *tenure) shouldRelease() bool {
	_, err := trainerRow(t.options.Tables.Table(), t.trainer)
	return err != nil || t.coordinator.draining.Load()
}

// watchEpoch cancels the tenure when the epoch is lost, and triggers a scheduling
// round on each change of the stream.
func (t *tenure) watchEpoch() {
	for {
		applied := t.stream.Applied()
		fence := t.fence()
		if !fence.OwnedBy(t.stream.Writer(), t.epoch) {
			t.cancel()
			return
		}
		t.reschedule()
		select {
		case <-t.ctx.Done():
			return
		case <-t.stream.Changed(applied):
		}
	}
}

func (t *tenure) reschedule() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// close prevents further calls and slots from starting.
func (t *tenure) close() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.closed = true
}

// release waits for pending calls and, for a grace period, for running slots, and
// records the release of the epoch, which is best effort while draining.
func (t *tenure) release() {
	t.close()
	waitFor(t.ctx, &t.calls, recordTimeout)
	waitFor(t.ctx, &t.slots, drainGrace)
	ctx, cancel := t.coordinator.contextUntilDrain(t.ctx, releaseTimeout)
	defer cancel()
	_, _, err := t.propose(ctx, logrecord.KindRelease, nil)
	if err != nil {
		t.logger.Warn().Err(err).Msg("could not release the ledger")
	}
}

// waitFor waits until the group is done, the limit has passed or ctx is done.
func waitFor(ctx context.Context, group *sync.WaitGroup, limit time.Duration) {
	done := make(chan struct{})
	go func() {
		group.Wait()
		close(done)
	}()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// currentTerms returns the trainer's current row and the freshness terms for
// records proposed now. It fails if the table may be outdated or has no such
// trainer.
func (t *tenure) currentTerms() (policy.Row, ledger.FreshnessTerms, error) {
	if err := t.options.Tables.CheckCurrent(); err != nil {
		return policy.Row{}, ledger.FreshnessTerms{}, err
	}
	table := t.options.Tables.Table()
	row, err := trainerRow(table, t.trainer)
	if err != nil {
		return policy.Row{}, ledger.FreshnessTerms{}, err
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	terms := ledger.FreshnessTerms{
		TrainerVersion: t.trainerVersion,
		Bound:          max(row.Staleness, 0),
		TableRevision:  table.Revision,
	}
	return row, terms, nil
}

// setTrainerVersion stores the version reported by the trainer.
func (t *tenure) setTrainerVersion(version uint64) {
	t.mutex.Lock()
	changed := t.trainerVersion != version
	t.trainerVersion = version
	t.mutex.Unlock()
	if changed {
		t.reschedule()
	}
}

// propose appends a record under the epoch, waits until it is read back, and
// returns its offset and whether it was accepted. A fenced record ends the tenure.
func (t *tenure) propose(ctx context.Context, kind logrecord.Kind, body any) (int64, bool, error) {
	outcome, err := t.stream.Propose(ctx, logstream.Proposal{Kind: kind, Epoch: t.epoch, Body: body})
	if err != nil {
		return 0, false, err
	}
	if outcome.Verdict == logrecord.Fenced {
		t.cancel()
		return 0, false, t.notOwnerError()
	}
	return outcome.Offset, outcome.Verdict == logrecord.Accepted, nil
}

func (t *tenure) notOwnerError() *errkind.Error {
	return errkind.New(errkind.NotOwner, "node %s lost the ledger of %q", t.options.NodeID, t.trainer)
}

// openStatuses returns the status of unfinished steps.
func (t *tenure) openStatuses() []api.StepStatus {
	return t.statuses(t.ledger.OpenCounts)
}

// statuses returns the status of the steps returned by list, which is called inside stream.View.
func (t *tenure) statuses(list func() []ledger.Counts) []api.StepStatus {
	var counts []ledger.Counts
	t.stream.View(func() { counts = list() })
	statuses := make([]api.StepStatus, 0, len(counts))
	for _, count := range counts {
		statuses = append(statuses, t.status(count))
	}
	return statuses
}

func (t *tenure) status(counts ledger.Counts) api.StepStatus {
	return api.StepStatus{
		Trainer:      t.trainer,
		Step:         counts.Step,
		Wanted:       counts.Wanted,
		Open:         counts.Open,
		Filled:       counts.Filled,
		Acknowledged: counts.Acknowledged,
		Discarded:    counts.Discarded,
		Done:         counts.Acknowledged == counts.Wanted,
		Abandoned:    counts.Abandoned,
		Owner:        t.options.NodeID,
		Epoch:        t.epoch,
	}
}
