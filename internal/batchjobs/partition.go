package batchjobs

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"github.com/corkpulley/corkpulley/internal/common/boottime"
	"github.com/corkpulley/corkpulley/internal/common/longpoll"
	"github.com/corkpulley/corkpulley/internal/common/once"
	"github.com/corkpulley/corkpulley/internal/common/retry"
	"github.com/corkpulley/corkpulley/internal/core/batch"
	"github.com/corkpulley/corkpulley/internal/core/homes"
	"github.com/corkpulley/corkpulley/internal/core/pacing"
	"github.com/corkpulley/corkpulley/internal/eventlog"
)

const (
	// pollWait is the long-poll timeout of an index read while this node has waiters or observers.
	pollWait = 600 * time.Millisecond
	// idleReadPeriod is the interval of reads without waiters and observers, which keep the backlog small. It
	// grows with the number of nodes, up to maxIdleReadPeriod.
	idleReadPeriod    = time.Second
	maxIdleReadPeriod = 30 * time.Second
	// indexReadLimitBytes bounds one index read. Replicas that restart together all read the whole index, and a
	// read that times out has to be repeated in full.
	indexReadLimitBytes = 64 << 10
	// maxStaleness is the age up to which a read to the end counts as current. It must be below one second: a
	// result that another node has returned must be readable here after that time.
	maxStaleness = 900 * time.Millisecond
	// catchUpTimeout bounds the time in which one query reads to the end of the log.
	catchUpTimeout = 800 * time.Millisecond
)

// readRetries is the backoff after failed reads.
var readRetries = retry.Policy{First: 100 * time.Millisecond, Longest: 500 * time.Millisecond}

// partition holds the state of one index partition and reads it from the log.
type partition struct {
	log          eventlog.Log
	index        eventlog.Partition
	budget       pacing.Budget
	logger       zerolog.Logger
	jobRetention time.Duration
	// wake ends the wait for the next idle read.
	wake chan struct{}
	// active is closed by the first query or observer. The partition is not read before that, so that a node
	// does not read the whole index after each start.
	active       chan struct{}
	activateOnce sync.Once

	mu    sync.Mutex
	state *batch.Partition
	// readAt is the boot time as of which the state is complete. Boot time advances while the machine is
	// suspended, so state from before a suspension does not count as current.
	readAt time.Time
	// historyLostAt is the boot time at which this node last found unread records trimmed from the log; zero if
	// it never did.
	historyLostAt time.Time
	// changed is closed and replaced on each change of the state.
	changed   chan struct{}
	reachable bool
	// waiters is the number of queries that wait for new results.
	waiters int
	// pendingObservers are registered with the state by the next read that reaches the end of the log. Before
	// that they would be notified of jobs that have already ended.
	pendingObservers []batch.Observer
	// unknownKinds limits the log messages about unknown records to one per kind.
	unknownKinds once.PerKey
}

func newPartition(log eventlog.Log, number int, options Options) *partition {
	return &partition{
		log:          log,
		index:        eventlog.Partition{Topic: indexTopic, Number: number},
		logger:       options.Logger.With().Int("partition", number).Logger(),
		budget:       options.Budget,
		jobRetention: options.JobRetention,
		wake:         make(chan struct{}, 1),
		active:       make(chan struct{}),
		state:        batch.NewPartition(),
		changed:      make(chan struct{}),
	}
}

// dataPartition returns the partition for bodies and texts of jobs bound to the given regions, which are empty
// for unbound jobs. A log read also returns adjacent records, so jobs with different homes must not share a
// topic.
func (p *partition) dataPartition(regions []string) eventlog.Partition {
	topic := dataTopic
	if set := homes.Of(regions); set.IsRestricted() {
		topic += "." + set.ID()
	}
	return eventlog.Partition{Topic: topic, Number: p.index.Number}
}

// tail reads the partition from its activation until ctx ends.
func (p *partition) tail(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-p.active:
	}
	failures := readRetries.Delays()
	for ctx.Err() == nil {
		atEnd, err := p.read(ctx, p.nextPollWait())
		if err != nil && ctx.Err() == nil {
			p.markUnreachable(err)
			retry.Sleep(ctx, failures.NextBackOff())
			continue
		}
		failures.Reset()
		if atEnd {
			p.waitIdle(ctx)
		}
	}
}

// nextPollWait returns the long-poll timeout of the next read. It is zero without waiters and observers, and
// while an observer is pending.
func (p *partition) nextPollWait() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.pendingObservers) == 0 && p.hasWaiters() {
		return pollWait
	}
	return 0
}

// hasWaiters reports whether queries or observers wait for new records. Must be called with mu held.
func (p *partition) hasWaiters() bool {
	return p.state.Observed() || len(p.pendingObservers) > 0 || p.waiters > 0
}

// waitIdle waits for the next idle read, unless there are waiters or observers.
func (p *partition) waitIdle(ctx context.Context) {
	p.mu.Lock()
	waiting := p.hasWaiters()
	p.mu.Unlock()
	if waiting {
		return
	}
	timer := time.NewTimer(p.budget.ScalePeriod(idleReadPeriod, maxIdleReadPeriod))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-p.wake:
	}
}

// addWaiters changes the number of waiting queries by the given amount.
func (p *partition) addWaiters(change int) {
	p.mu.Lock()
	p.waiters += change
	p.mu.Unlock()
	p.wakeUp()
}

func (p *partition) wakeUp() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// read reads once from the next offset, applies the new records and reports whether it has reached the end.
func (p *partition) read(ctx context.Context, wait time.Duration) (bool, error) {
	p.mu.Lock()
	from := p.state.Next
	p.mu.Unlock()
	sentAt := boottime.Now()
	read, err := p.log.Read(ctx, p.index, from, indexReadLimitBytes, wait)
	var trimmed *eventlog.TrimmedError
	if errors.As(err, &trimmed) {
		p.skipTo(trimmed.First)
		return false, nil
	}
	if err != nil {
		return false, err
	}
	currentAt := sentAt
	if len(read.Records) == 0 {
		currentAt = longpoll.AsOf(sentAt, wait, boottime.Now())
	}
	p.apply(read, currentAt)
	return read.First+int64(len(read.Records)) >= read.End, nil
}

// apply applies the records that no concurrent read has applied yet. currentAt is the time at which the
// batch's end was the end of the partition.
func (p *partition) apply(read eventlog.Batch, currentAt time.Time) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.state.Next
	for i, raw := range read.Records {
		if read.First+int64(i) != p.state.Next {
			continue
		}
		record, err := batch.Decode(raw)
		if err != nil {
			p.logger.Error().Err(err).Int64("offset", p.state.Next).Msg("index record skipped: it cannot be decoded")
			p.state.Skip()
			continue
		}
		if record.IsEmpty() {
			p.logUnknown(batch.FieldNames(raw))
		}
		p.state.Apply(record, now)
	}
	if p.state.Next >= read.End && currentAt.After(p.readAt) {
		p.readAt = currentAt
	}
	if p.state.Next >= read.End {
		for _, observer := range p.pendingObservers {
			p.state.Observe(observer)
		}
		p.pendingObservers = nil
	}
	if !p.reachable {
		p.reachable = true
		p.logger.Info().Int64("offset", p.state.Next).Msg("index partition reachable")
	}
	if p.state.Next != before {
		close(p.changed)
		p.changed = make(chan struct{})
	}
}

// logUnknown logs a kind of record that was written by a newer build, once. Must be called with mu held.
func (p *partition) logUnknown(kind string) {
	if p.unknownKinds.First(kind) {
		p.logger.Warn().Str("kind", kind).Str("topic", p.index.Topic).Int64("offset", p.state.Next).
			Msg("records of unknown kind skipped")
	}
}

// skipTo continues at the log's first retained record, since unread records were trimmed.
func (p *partition) skipTo(first int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.logger.Warn().Int64("offset", p.state.Next).Int64("first_kept", first).
		Msg("unread index records were trimmed from the log")
	p.state.SkipTo(first)
	p.historyLostAt = boottime.Now()
}

// markUnreachable logs the first failed read after a successful one.
func (p *partition) markUnreachable(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reachable {
		p.reachable = false
		p.logger.Info().Err(err).Int64("offset", p.state.Next).Msg("index partition unreachable")
	}
}

func (p *partition) observe(observer batch.Observer) {
	p.activate()
	defer p.wakeUp()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pendingObservers = append(p.pendingObservers, observer)
}

func (p *partition) unobserve(observer batch.Observer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pendingObservers = slices.DeleteFunc(p.pendingObservers, func(o batch.Observer) bool { return o == observer })
	p.state.Unobserve(observer)
}

// expire drops jobs that are not open and were first read before the given time.
func (p *partition) expire(before time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.Forget(before)
}
