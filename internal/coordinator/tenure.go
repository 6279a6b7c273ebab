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
	// cachedTexts bounds the recorded samples kept in memory for delivery.
	cachedTexts = 512
	// cachedSteps bounds the steps' requests kept in memory.
	cachedSteps = 8
	// scheduleInterval bounds how long a change of the table or of the cells
	// goes unseen; records and finished runs are seen at once.
	scheduleInterval = 500 * time.Millisecond
	// drainGrace is how long a planned stop lets running slots finish.
	drainGrace = 2 * time.Second
	// releaseTimeout bounds how long a planned stop waits for the release to be
	// read back: it only saves the others the time until the owner is known to
	// be gone, so it is not worth waiting for a log that is down.
	releaseTimeout = 5 * time.Second
	// recordTimeout bounds how long a call waits for its record to be read back.
	recordTimeout = 20 * time.Second
)

// tenure is the time in which this node believes that it owns a ledger under
// one epoch. Its context ends as soon as the node reads that it does not.
type tenure struct {
	*follower
	options *Options
	metrics *metrics
	logger  zerolog.Logger
	epoch   int64
	ctx     context.Context
	cancel  context.CancelFunc
	// ended is closed when nothing of the tenure runs any more and the cluster was told.
	ended chan struct{}
	// wake asks for another round of scheduling.
	wake chan struct{}
	// calls counts the calls in hand, slots the running slots.
	calls sync.WaitGroup
	slots sync.WaitGroup

	texts *lru.Cache[int64, *ledger.SampleFilled]
	steps *lru.Cache[string, *ledger.StepSubmitted]

	mutex sync.Mutex
	// closed is set once no call and no slot may start any more.
	closed  bool
	running map[ledger.SampleKey]*slotRun
	// trainerVersion is the one that the trainer named last.
	trainerVersion uint64
	// finishedAt is the trainer's version at the acknowledgement that last
	// finished a step; 0 for none in this tenure.
	finishedAt uint64
	discarding bool
}

func newTenure(parent context.Context, f *follower, epoch int64) *tenure {
	ctx, cancel := context.WithCancel(parent)
	texts, _ := lru.New[int64, *ledger.SampleFilled](cachedTexts) // fails for sizes below 1 only
	steps, _ := lru.New[string, *ledger.StepSubmitted](cachedSteps)
	t := &tenure{
		follower: f,
		options:  &f.coordinator.options,
		metrics:  f.coordinator.metrics,
		logger:   f.coordinator.options.Logger.With().Str("trainer", f.trainer).Int64("epoch", epoch).Logger(),
		epoch:    epoch,
		ctx:      ctx,
		cancel:   cancel,
		ended:    make(chan struct{}),
		wake:     make(chan struct{}, 1),
		texts:    texts,
		steps:    steps,
		running:  make(map[ledger.SampleKey]*slotRun),
	}
	f.stream.View(func() { t.trainerVersion = f.ledger.TrainerVersion() })
	return t
}

// run schedules slots until the epoch is lost or given up.
func (t *tenure) run() {
	t.logger.Info().Msg("ledger owned")
	go t.watchEpoch()
	timer := time.NewTicker(scheduleInterval)
	defer timer.Stop()
	for t.ctx.Err() == nil {
		if t.unwanted() {
			t.handOver()
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
	t.logger.Info().Msg("ledger no longer owned")
}

// unwanted reports whether the ledger should be given up: the table no longer
// has the trainer, or the epoch was won after the node began to drain.
func (t *tenure) unwanted() bool {
	_, err := trainerRow(t.options.Tables.Table(), t.trainer)
	return err != nil || t.coordinator.draining.Load()
}

// watchEpoch ends the tenure when the stream says that the epoch is lost, and
// asks for a round of scheduling at each change.
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

// close lets no further call or slot start.
func (t *tenure) close() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.closed = true
}

// handOver ends the tenure by plan: calls in hand are answered, running slots
// get a short grace, and the release goes on record; when the node stops and
// the log is down, the release is left to chance.
func (t *tenure) handOver() {
	t.close()
	waitFor(t.ctx, &t.calls, recordTimeout)
	waitFor(t.ctx, &t.slots, drainGrace)
	ctx, cancel := t.coordinator.untilDraining(t.ctx, releaseTimeout)
	defer cancel()
	_, _, err := t.propose(ctx, logrecord.KindRelease, nil)
	if err != nil {
		t.logger.Warn().Err(err).Msg("ledger was not released")
	}
}

// waitFor waits until the group is done, the limit has passed or ctx ends.
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

// terms returns the row in force and the terms for records judged now, or why
// this node may take no decision under the table.
func (t *tenure) terms() (policy.Row, ledger.Terms, error) {
	if err := t.options.Tables.Current(); err != nil {
		return policy.Row{}, ledger.Terms{}, err
	}
	table := t.options.Tables.Table()
	row, err := trainerRow(table, t.trainer)
	if err != nil {
		return policy.Row{}, ledger.Terms{}, err
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	terms := ledger.Terms{
		TrainerVersion: t.trainerVersion,
		Bound:          max(row.Staleness, 0),
		TableRevision:  table.Revision,
	}
	return row, terms, nil
}

// tell notes the version that the trainer says it is at.
func (t *tenure) tell(version uint64) {
	t.mutex.Lock()
	changed := t.trainerVersion != version
	t.trainerVersion = version
	t.mutex.Unlock()
	if changed {
		t.reschedule()
	}
}

// propose appends a record under the epoch and returns its read-back offset
// and whether it was accepted. A fenced record ends the tenure.
func (t *tenure) propose(ctx context.Context, kind logrecord.Kind, body any) (int64, bool, error) {
	outcome, err := t.stream.Propose(ctx, logstream.Proposal{Kind: kind, Epoch: t.epoch, Body: body})
	if err != nil {
		return 0, false, err
	}
	if outcome.Verdict == logrecord.Fenced {
		t.cancel()
		return 0, false, t.notOwner()
	}
	return outcome.Offset, outcome.Verdict == logrecord.Accepted, nil
}

func (t *tenure) notOwner() *errkind.Error {
	return errkind.New(errkind.NotOwner, "node %s lost the ledger of %q", t.options.NodeID, t.trainer)
}

// openStatuses returns the steps that still want samples.
func (t *tenure) openStatuses() []api.StepStatus {
	return t.statuses(t.ledger.OpenCounts)
}

// statuses returns the steps that list, read from the ledger, names.
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
