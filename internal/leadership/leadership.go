// Package leadership elects one leader among the nodes through the log and
// tells it for how long it may act. See internal/core/lease for the rules.
package leadership

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/corkpulley/corkpulley/internal/common/boottime"
	"github.com/corkpulley/corkpulley/internal/common/retry"
	"github.com/corkpulley/corkpulley/internal/core/lease"
	"github.com/corkpulley/corkpulley/internal/core/pacing"
	"github.com/corkpulley/corkpulley/internal/eventlog"
)

const (
	// topic holds the lease's records in its only partition.
	topic = "corkpulley.lease"
	// renewalsPerTTL is how often a lease is renewed in its time.
	renewalsPerTTL = 5
	// minRenewalGap is the least time between two renewals.
	minRenewalGap = 100 * time.Millisecond
	// marginShare is the share of its time by which a holder stops early.
	marginShare = 6
	// pollWait is short, since a claim wants an answer to a read that shows no renewal.
	pollWait    = 300 * time.Millisecond
	maxPollWait = time.Second
	// readGap is the time between two reads of a node that does not lead: every
	// renewal ends a read that waits. It grows with the nodes.
	readGap    = 20 * time.Millisecond
	maxReadGap = 400 * time.Millisecond
	readLimit  = 256 << 10
	retryDelay = 100 * time.Millisecond
	// renewalTimeout bounds one renewal; the next one does not wait longer.
	renewalTimeout = 400 * time.Millisecond
	// maxOpenRenewals bounds the renewals that are waited for.
	maxOpenRenewals = 32
	// hesitantDelay is how long a node that is about to stop leaves a free lease to
	// others.
	hesitantDelay = 250 * time.Millisecond
	// handoverTimeout bounds the end of the role before a lease is released.
	handoverTimeout = time.Second
	handoverCheck   = 10 * time.Millisecond
	// checkPeriod is the time between two looks at a lease held by another.
	checkPeriod = 50 * time.Millisecond
	// arrivalSlack is how long after its record an order may reach its engine: calls of
	// engines end after 0.8 s.
	arrivalSlack = 800 * time.Millisecond
	// claimJitter spreads the claims of nodes that find a lease free at once.
	claimJitter = 60 * time.Millisecond
)

// Term is one time of leading.
type Term struct {
	// Epoch is the fencing token: higher than that of every earlier term.
	Epoch int64
}

// Role is what a leader does. It returns soon after ctx ends.
type Role func(ctx context.Context, term Term)

// Options say who asks for leadership and how.
type Options struct {
	// Holder names this process, Node its machine.
	Holder string
	Node   string
	// TTL is how long a lease holds after its last renewal.
	TTL time.Duration
	// ClaimDelay is how long this node leaves a free lease to others, which are more
	// able to lead.
	ClaimDelay time.Duration
	// Quiet is the time that must lie between orders of two machines.
	Quiet time.Duration
	// EnginesFence is true when engines refuse lower fencing tokens than one seen.
	EnginesFence bool
	// Budget is what all nodes together may read of the log.
	Budget pacing.Budget
	// Behind, if set, is told of each record that a holder wrote after another claim had won.
	Behind func(kind lease.RecordKind)
	Logger zerolog.Logger
}

// Elector takes part in the election and runs the role while it leads.
type Elector struct {
	log       eventlog.Log
	partition eventlog.Partition
	options   Options
	role      Role
	// now reads the clock of all times below. It goes on while the machine is suspended:
	// a leader that wakes must know that its lease is over.
	now func() time.Time

	mu    sync.Mutex
	state lease.State
	// contactSince is the start of the time during which reads have succeeded.
	contactSince time.Time
	// readAt is when the newest read was answered that reached the end.
	readAt time.Time
	// validUntil is when this node's own lease ends unless renewed.
	validUntil time.Time
	// claimSent is when the open claim was sent.
	claimSent time.Time
	// termBegan is when this node read its own newest claim.
	termBegan time.Time
	// sequence numbers the renewals, sentAt holds when those that were not read
	// back yet were sent.
	sequence int64
	sentAt   map[int64]time.Time
	stopping bool
	// hesitant is true while the node is about to stop.
	hesitant bool
	// leading is true while the role runs.
	leading bool

	changed chan struct{}
}

// New returns an elector; Run starts it.
func New(log eventlog.Log, options Options, role Role) *Elector {
	return &Elector{
		log:       log,
		partition: eventlog.Partition{Topic: topic},
		options:   options,
		role:      role,
		now:       boottime.Now,
		sentAt:    make(map[int64]time.Time),
		changed:   make(chan struct{}, 1),
	}
}

// Run takes part until ctx ends.
func (e *Elector) Run(ctx context.Context) error {
	go e.tail(ctx)
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-e.changed:
		case <-time.After(checkPeriod):
		}
		if epoch, held := e.held(); held {
			e.lead(ctx, epoch)
			continue
		}
		e.claimIfFree(ctx)
	}
	return nil
}

// Valid tells whether this node holds the epoch at this moment.
func (e *Elector) Valid(epoch int64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state.Epoch == epoch && e.state.Holder == e.options.Holder && e.now().Before(e.validUntil)
}

// QuietUntil is the time before which this node, leading, may not order the
// engine: another machine may have ordered it just now. It may lie in the past. It is
// a time of time.Now.
func (e *Elector) QuietUntil(engine string) time.Time {
	e.mu.Lock()
	until := e.state.QuietUntil(engine, e.options.Quiet+arrivalSlack, e.options.EnginesFence)
	e.mu.Unlock()
	if until.IsZero() {
		return until
	}
	left := until.Sub(e.now())
	return time.Now().Add(left)
}

// RecordOrder says in the log that this node is about to order an engine in the
// epoch. Without an error the order may follow at once, if Valid still holds.
func (e *Elector) RecordOrder(ctx context.Context, epoch int64, engine string) error {
	record := e.record(lease.Order, epoch)
	record.Engines = []string{engine}
	began := e.now()
	offset, err := e.append(ctx, record)
	e.logOrder(engine, epoch, offset, began, err)
	return err
}

// logOrder tells by what an order was allowed: the place of its record, how old the node's
// knowledge of the log was, and how much of its lease was left.
func (e *Elector) logOrder(engine string, epoch, offset int64, began time.Time, err error) {
	now := e.now()
	e.mu.Lock()
	readAge, leaseLeft := now.Sub(e.readAt), e.validUntil.Sub(now)
	e.mu.Unlock()
	e.options.Logger.Info().Err(err).Str("engine", engine).Int64("epoch", epoch).Int64("offset", offset).
		Dur("took_ms", now.Sub(began)).Dur("read_age_ms", readAge).Dur("lease_left_ms", leaseLeft).Msg("order recorded")
}

// Leader returns the holder of the lease and its epoch, as last read.
func (e *Elector) Leader() (string, int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state.Holder, e.state.Epoch
}

// Hesitate leaves a free lease to others for a moment, since this node is about
// to stop. A lease that it holds it keeps until Stop: others may be stopping too.
func (e *Elector) Hesitate() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hesitant = true
}

// Stop gives up the lease, if it is held, and claims none any more.
func (e *Elector) Stop(ctx context.Context) {
	e.mu.Lock()
	e.stopping = true
	epoch, own := e.state.Epoch, e.state.Holder == e.options.Holder
	e.validUntil = time.Time{}
	e.mu.Unlock()
	e.signal()
	if !own || epoch == 0 {
		return
	}
	e.awaitRole(ctx)
	for ctx.Err() == nil {
		if _, err := e.append(ctx, e.record(lease.Release, epoch)); err == nil {
			e.options.Logger.Info().Int64("epoch", epoch).Msg("leadership released")
			return
		}
		retry.Sleep(ctx, retryDelay)
	}
}

func (e *Elector) held() (int64, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	own := e.state.Epoch > 0 && e.state.Holder == e.options.Holder && !e.state.Released && !e.stopping
	return e.state.Epoch, own && e.now().Before(e.validUntil)
}

func (e *Elector) claimIfFree(ctx context.Context) {
	now := e.now()
	e.mu.Lock()
	inContact := !e.contactSince.IsZero()
	free := inContact && !e.stopping &&
		e.state.Claimable(e.options.Node, e.options.Holder, e.readAt, e.contactSince, e.options.TTL)
	ownMachine := e.state.Node == e.options.Node
	hesitation := e.options.ClaimDelay
	if e.hesitant {
		hesitation += hesitantDelay
	}
	next, previous := e.state.Next, e.state.Epoch
	pending := now.Sub(e.claimSent) < e.options.TTL/renewalsPerTTL
	e.mu.Unlock()
	if !free || pending {
		return
	}
	if !ownMachine {
		retry.Sleep(ctx, rand.N(claimJitter)+hesitation)
	}
	e.mu.Lock()
	if e.state.Next != next {
		e.mu.Unlock()
		return
	}
	e.claimSent = e.now()
	e.mu.Unlock()
	err := e.appendAt(ctx, next, e.record(lease.Claim, previous))
	e.options.Logger.Info().Err(err).Int64("follows_epoch", previous).Int64("offset", next).Msg("leadership claimed")
}

func (e *Elector) signal() {
	select {
	case e.changed <- struct{}{}:
	default:
	}
}

func (e *Elector) record(kind lease.RecordKind, epoch int64) lease.Record {
	record := lease.Record{Kind: kind, Holder: e.options.Holder, Node: e.options.Node, Epoch: epoch}
	e.mu.Lock()
	defer e.mu.Unlock()
	if kind != lease.Claim && !e.termBegan.IsZero() {
		record.Held = e.now().Sub(e.termBegan)
	}
	return record
}

// append returns the offset of the record.
func (e *Elector) append(ctx context.Context, record lease.Record) (int64, error) {
	raw, err := msgpack.Marshal(&record)
	if err != nil {
		return 0, errors.Wrap(err, "encode the lease record")
	}
	return e.log.Append(ctx, e.partition, [][]byte{raw})
}

func (e *Elector) appendAt(ctx context.Context, end int64, record lease.Record) error {
	raw, err := msgpack.Marshal(&record)
	if err != nil {
		return errors.Wrap(err, "encode the lease record")
	}
	_, err = e.log.AppendAt(ctx, e.partition, end, [][]byte{raw})
	return err
}
