package batchjobs

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"github.com/corkpulley/corkpulley/internal/common/answered"
	"github.com/corkpulley/corkpulley/internal/common/boottime"
	"github.com/corkpulley/corkpulley/internal/common/once"
	"github.com/corkpulley/corkpulley/internal/common/retry"
	"github.com/corkpulley/corkpulley/internal/core/batch"
	"github.com/corkpulley/corkpulley/internal/core/homes"
	"github.com/corkpulley/corkpulley/internal/core/pacing"
	"github.com/corkpulley/corkpulley/internal/eventlog"
)

const (
	// pollWait is the long-poll wait of an index read while this node has waiters or observers.
	pollWait = 600 * time.Millisecond
	// idleReadPeriod is the time between two reads without any; they keep the backlog
	// small. It grows with the number of nodes.
	idleReadPeriod    = time.Second
	maxIdleReadPeriod = 30 * time.Second
	// indexReadLimit bounds one read of the index: replicas that restart together all read all of it, and a read
	// that times out has to be made again in full.
	indexReadLimit = 64 << 10
	// freshness is the age up to which a read counts as current. It must be below a second:
	// a position that a caller read at another node must be readable here that much later.
	freshness = 900 * time.Millisecond
	// catchUpTimeout bounds the reads to the end of the log for one query.
	catchUpTimeout = 800 * time.Millisecond
)

// readRetries are the delays between reads that fail.
var readRetries = retry.Policy{First: 100 * time.Millisecond, Longest: 500 * time.Millisecond}

// partition reads one partition of the index.
type partition struct {
	log    eventlog.Log
	index  eventlog.Partition
	budget pacing.Budget
	logger zerolog.Logger
	// keepJobs is Options.KeepJobs.
	keepJobs time.Duration
	// wake ends the pause between two reads.
	wake chan struct{}
	// activated is closed by the first query or observer. Until then the partition is not
	// read, so that a node does not read the whole index after each start.
	activated    chan struct{}
	activateOnce sync.Once

	mu    sync.Mutex
	state *batch.Partition
	// readAt is the time as of which the state is complete, by boottime: state from before a
	// suspension of the machine must not count as current.
	readAt time.Time
	// lostAt is when this node last found that the log had dropped unread records, by boottime; zero for never.
	lostAt time.Time
	// changed is closed and replaced at each change.
	changed chan struct{}
	healthy bool
	// waiters counts the queries that wait for new results.
	waiters int
	// joining are observers that are registered after the next read that reaches the end;
	// before that they would be notified of jobs that have long ended.
	joining []batch.Observer
	// unknownKinds holds the kinds of records that were logged as unknown.
	unknownKinds once.PerKey
}

func newPartition(log eventlog.Log, number int, options Options) *partition {
	return &partition{
		log:       log,
		index:     eventlog.Partition{Topic: indexTopic, Number: number},
		logger:    options.Logger.With().Int("partition", number).Logger(),
		budget:    options.Budget,
		keepJobs:  options.KeepJobs,
		wake:      make(chan struct{}, 1),
		activated: make(chan struct{}),
		state:     batch.NewPartition(),
		changed:   make(chan struct{}),
	}
}

// data returns the partition for bodies and texts of jobs that are bound to the regions; none for unbound
// jobs. A read of the log also returns adjacent records, so jobs with different homes must not share a topic.
func (p *partition) data(regions []string) eventlog.Partition {
	topic := dataTopic
	if set := homes.Of(regions); set.Bound() {
		topic += "." + set.ID()
	}
	return eventlog.Partition{Topic: topic, Number: p.index.Number}
}

// tail reads the partition from its activation until ctx ends.
func (p *partition) tail(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-p.activated:
	}
	failures := readRetries.Delays()
	for ctx.Err() == nil {
		atEnd, err := p.read(ctx, p.pollTime())
		if err != nil && ctx.Err() == nil {
			p.contactLost(err)
			retry.Sleep(ctx, failures.NextBackOff())
			continue
		}
		failures.Reset()
		if atEnd {
			p.pause(ctx)
		}
	}
}

// pollTime returns the long-poll wait of the next read: none without waiters and observers, and none
// while an observer is joining.
func (p *partition) pollTime() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.joining) == 0 && p.hasWaiters() {
		return pollWait
	}
	return 0
}

// hasWaiters reports whether queries or observers wait for records. Must be called with mu held.
func (p *partition) hasWaiters() bool {
	return p.state.Observed() || len(p.joining) > 0 || p.waiters > 0
}

// pause delays the next read while there are no waiters.
func (p *partition) pause(ctx context.Context) {
	p.mu.Lock()
	waiting := p.hasWaiters()
	p.mu.Unlock()
	if waiting {
		return
	}
	timer := time.NewTimer(p.budget.Stretch(idleReadPeriod, maxIdleReadPeriod))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-p.wake:
	}
}

// addWaiters changes the number of waiting queries.
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

// read reads once from the next offset, applies the new records and reports whether
// it has reached the end.
func (p *partition) read(ctx context.Context, wait time.Duration) (bool, error) {
	p.mu.Lock()
	from := p.state.Next
	p.mu.Unlock()
	sent := boottime.Now()
	read, err := p.log.Read(ctx, p.index, from, indexReadLimit, wait)
	var gone *eventlog.GoneError
	if errors.As(err, &gone) {
		p.skipTo(gone.First)
		return false, nil
	}
	if err != nil {
		return false, err
	}
	currentAt := sent
	if len(read.Records) == 0 {
		currentAt = answered.At(sent, wait, boottime.Now())
	}
	p.apply(read, currentAt)
	return read.First+int64(len(read.Records)) >= read.End, nil
}

// apply applies the records that a concurrent read has not applied. The read's end of the partition
// was current at the given time.
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
			p.logger.Error().Err(err).Int64("offset", p.state.Next).Msg("index record passed over")
			p.state.Skip()
			continue
		}
		if record.IsEmpty() {
			p.logUnknown(batch.KindOf(raw))
		}
		p.state.Apply(record, now)
	}
	if p.state.Next >= read.End && currentAt.After(p.readAt) {
		p.readAt = currentAt
	}
	if p.state.Next >= read.End {
		for _, observer := range p.joining {
			p.state.Observe(observer)
		}
		p.joining = nil
	}
	if !p.healthy {
		p.healthy = true
		p.logger.Info().Int64("offset", p.state.Next).Msg("index partition in reach")
	}
	if p.state.Next != before {
		close(p.changed)
		p.changed = make(chan struct{})
	}
}

// logUnknown logs a kind of record that only a newer build knows; mu is held.
func (p *partition) logUnknown(kind string) {
	if p.unknownKinds.First(kind) {
		p.logger.Warn().Str("kind", kind).Str("topic", p.index.Topic).Int64("offset", p.state.Next).
			Msg("records of unknown kind skipped")
	}
}

func (p *partition) skipTo(first int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.logger.Warn().Int64("offset", p.state.Next).Int64("first_kept", first).Msg("index history lost")
	p.state.SkipTo(first)
	p.lostAt = boottime.Now()
}

func (p *partition) contactLost(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.healthy {
		p.healthy = false
		p.logger.Info().Err(err).Int64("offset", p.state.Next).Msg("index partition out of reach")
	}
}

func (p *partition) observe(observer batch.Observer) {
	p.activate()
	defer p.wakeUp()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.joining = append(p.joining, observer)
}

func (p *partition) unobserve(observer batch.Observer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.joining = slices.DeleteFunc(p.joining, func(each batch.Observer) bool { return each == observer })
	p.state.Unobserve(observer)
}

func (p *partition) forget(before time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.Forget(before)
}
