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
	// pollWait is how long a read of the index waits for a record, where somebody
	// here waits for what it brings.
	pollWait = 600 * time.Millisecond
	// idleReadPeriod is the time between two reads where nobody does: they only
	// keep what is left to read small. It grows with the nodes.
	idleReadPeriod    = time.Second
	maxIdleReadPeriod = 30 * time.Second
	retryDelay        = 100 * time.Millisecond
	// freshness is the age up to which what was read counts as the present. A
	// position that somebody read elsewhere must be found here a second later.
	freshness = 900 * time.Millisecond
	// catchUpTimeout bounds a read that makes the state fresh again.
	catchUpTimeout = 800 * time.Millisecond
)

// partition reads one partition of the index.
type partition struct {
	log    eventlog.Log
	index  eventlog.Partition
	budget pacing.Budget
	logger zerolog.Logger
	// keepJobs is Options.KeepJobs.
	keepJobs time.Duration
	// hurry ends the pause between two reads.
	hurry chan struct{}
	// interest is closed once somebody here has asked for what the partition holds.
	// Until then it is not read: a node would read the whole index after each start.
	interest chan struct{}
	asked    sync.Once

	mu    sync.Mutex
	state *batch.Partition
	// readAt is as of when the end was reached, by boottime: a suspended machine must not
	// take what it knew before for the present.
	readAt time.Time
	// lostAt is when records were missed last that the log had dropped, by boottime; zero for never.
	lostAt time.Time
	// changed is closed and replaced at each change.
	changed chan struct{}
	healthy bool
	// waiters counts the readers that want changes at once, as observers do.
	waiters int
	// joining are observers that are told of changes from the next read on that
	// reaches the end; until then they would hear of jobs that are long over.
	joining []batch.Observer
	// unknownKinds holds the kinds of records that were logged as unknown.
	unknownKinds once.PerKey
}

func newPartition(log eventlog.Log, number int, options Options) *partition {
	return &partition{
		log:      log,
		index:    eventlog.Partition{Topic: indexTopic, Number: number},
		logger:   options.Logger.With().Int("partition", number).Logger(),
		budget:   options.Budget,
		keepJobs: options.KeepJobs,
		hurry:    make(chan struct{}, 1),
		interest: make(chan struct{}),
		state:    batch.NewPartition(),
		changed:  make(chan struct{}),
	}
}

// data is where bodies and texts of jobs that are bound to regions are written, or of those that are
// bound to none. A read of the log brings neighbours along, so jobs that may not be read in the same regions
// share no topic.
func (p *partition) data(regions []string) eventlog.Partition {
	topic := dataTopic
	if set := homes.Of(regions); set.Bound() {
		topic += "." + set.ID()
	}
	return eventlog.Partition{Topic: topic, Number: p.index.Number}
}

// tail reads the partition until ctx ends, once somebody has asked for it.
func (p *partition) tail(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-p.interest:
	}
	for ctx.Err() == nil {
		atEnd, err := p.read(ctx, p.pollTime())
		if err != nil && ctx.Err() == nil {
			p.contact(err)
			retry.Sleep(ctx, retryDelay)
			continue
		}
		if atEnd {
			p.pause(ctx)
		}
	}
}

// pollTime is how long the next read waits for a record. It waits only where
// somebody here waits for what it brings, and not while an observer is to join.
func (p *partition) pollTime() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.joining) == 0 && p.wanted() {
		return pollWait
	}
	return 0
}

// wanted tells whether somebody here waits for records; mu is held.
func (p *partition) wanted() bool {
	return p.state.Observed() || len(p.joining) > 0 || p.waiters > 0
}

// pause lets records gather, unless somebody here waits for them.
func (p *partition) pause(ctx context.Context) {
	p.mu.Lock()
	wanted := p.wanted()
	p.mu.Unlock()
	if wanted {
		return
	}
	timer := time.NewTimer(p.budget.Stretch(idleReadPeriod, maxIdleReadPeriod))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-p.hurry:
	}
}

// wait counts a reader that waits for records, or no longer does.
func (p *partition) wait(change int) {
	p.mu.Lock()
	p.waiters += change
	p.mu.Unlock()
	p.hurryUp()
}

func (p *partition) hurryUp() {
	select {
	case p.hurry <- struct{}{}:
	default:
	}
}

// read reads once from where the state stands and applies what is new there. It
// reports whether that was all.
func (p *partition) read(ctx context.Context, wait time.Duration) (bool, error) {
	p.mu.Lock()
	from := p.state.Next
	p.mu.Unlock()
	sent := boottime.Now()
	read, err := p.log.Read(ctx, p.index, from, readLimit, wait)
	var gone *eventlog.GoneError
	if errors.As(err, &gone) {
		p.skipTo(gone.First)
		return false, nil
	}
	if err != nil {
		return false, err
	}
	known := sent
	if len(read.Records) == 0 {
		known = answered.At(sent, wait, boottime.Now())
	}
	p.apply(read, known)
	return read.First+int64(len(read.Records)) >= read.End, nil
}

// apply takes the records that another read has not brought meanwhile. What the read says of the
// end holds as of the given time.
func (p *partition) apply(read eventlog.Batch, known time.Time) {
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
	if p.state.Next >= read.End && known.After(p.readAt) {
		p.readAt = known
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

func (p *partition) contact(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.healthy {
		p.healthy = false
		p.logger.Info().Err(err).Int64("offset", p.state.Next).Msg("index partition out of reach")
	}
}

func (p *partition) observe(observer batch.Observer) {
	p.follow()
	defer p.hurryUp()
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
