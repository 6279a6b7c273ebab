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

	"github.com/corkpulley/corkpulley/internal/common/boottime"
	"github.com/corkpulley/corkpulley/internal/common/once"
	"github.com/corkpulley/corkpulley/internal/common/retry"
	"github.com/corkpulley/corkpulley/internal/core/lease"
	"github.com/corkpulley/corkpulley/internal/core/pacing"
	"github.com/corkpulley/corkpulley/internal/eventlog"
)

const (
	// topic holds the lease's records in its only partition, unless the options name another one.
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
	// retryDelay is the time between two tries of a read; it grows with the nodes, up to maxRetryDelay.
	retryDelay    = 100 * time.Millisecond
	maxRetryDelay = time.Second
	// recordTimeout bounds the writing of one record; the next one does not wait longer.
	recordTimeout = 400 * time.Millisecond
	// permitTimeout bounds the wait for a permit: for the record under way, and for the one that
	// names the order.
	permitTimeout = 2 * recordTimeout
	// hesitantDelay is how long a node that is about to stop leaves a free lease to
	// others.
	hesitantDelay = 250 * time.Millisecond
	// handoverTimeout bounds the end of the role before a lease is released.
	handoverTimeout = time.Second
	handoverCheck   = 10 * time.Millisecond
	// checkPeriod is the time between two looks at a lease held by another.
	checkPeriod = 50 * time.Millisecond
	// sendWindow is how long after its record was written an order may leave the node. It bounds
	// the time that the log takes to acknowledge the record, that a connection takes to be
	// made, and that the process gets no processor.
	sendWindow = 500 * time.Millisecond
	// arrivalTime is how long after its record an order may arrive.
	arrivalTime = sendWindow + lease.InFlight
	// claimJitter spreads the claims of nodes that find a lease free at once.
	claimJitter = 60 * time.Millisecond
	// observerGap is the time between two reads of a node that is not to lead: who leads it must know only to
	// ask that node for permits. In a cluster of a thousand nodes, those that may lead read three times a
	// second each, and all others were most of what the log served.
	observerGap = time.Second
)

// Role is what a leader does. It returns soon after ctx ends.
type Role func(ctx context.Context, term Term)

// Options say who asks for leadership and how.
type Options struct {
	// Topic holds the records of the lease in its only partition; empty for those of the leader of all
	// nodes. Each topic has a holder of its own.
	Topic string
	// Holder names this process, Node its machine.
	Holder string
	Node   string
	// Address is one that this process holds for as long as it lives; empty for none. A process
	// that starts where another one held it takes the lease over at once.
	Address string
	// TTL is how long a lease holds after its last renewal.
	TTL time.Duration
	// ClaimDelay is how long this node leaves a free lease to others, which are more
	// able to lead.
	ClaimDelay time.Duration
	// Quiet is the time that must lie between orders of two machines.
	Quiet time.Duration
	// EnginesFence is true when engines refuse lower fencing tokens than one seen.
	EnginesFence bool
	// Eligible tells whether this node may claim a lease now; nil for always. A lease that it holds it keeps.
	Eligible func() bool
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
	// claimSent is when the newest claim was sent.
	claimSent time.Time
	// termBegan is when this node read its own newest claim.
	termBegan time.Time
	// sequence numbers the own records, written holds those that were not read back yet.
	sequence int64
	written  map[int64]*written
	// knownEnd is where the log ends after the newest own record that it acknowledged.
	knownEnd int64
	// waiting are the orders that the next record is to name.
	waiting  []*orderRequest
	stopping bool
	// hesitant is true while the node is about to stop.
	hesitant bool
	// leading is true while the role runs.
	leading bool
	// unknownKinds holds the kinds of records that were logged as unknown.
	unknownKinds once.PerKey

	// turn is held while a record is being written: they go one after the other.
	turn    chan struct{}
	changed chan struct{}
}

// New returns an elector; Run starts it.
func New(log eventlog.Log, options Options, role Role) *Elector {
	if options.Topic == "" {
		options.Topic = topic
	}
	return &Elector{
		log:       log,
		partition: eventlog.Partition{Topic: options.Topic},
		options:   options,
		role:      role,
		now:       boottime.Now,
		written:   make(map[int64]*written),
		turn:      make(chan struct{}, 1),
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
		if epoch, held := e.own(); held {
			e.lead(ctx, epoch)
			continue
		}
		e.claimIfFree(ctx)
	}
	return nil
}

// Valid tells whether this node holds the epoch at this moment, as far as it knows. That alone is no
// leave to order an engine: see Term.Permit.
func (e *Elector) Valid(epoch int64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.holdsLocked(epoch) && e.now().Before(e.validUntil)
}

// Leader returns the holder of the lease and its epoch, as last read.
func (e *Elector) Leader() (string, int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state.Holder, e.state.Epoch
}

// Holder is the process that holds the lease, as last read.
type Holder struct {
	Node string
	// Address is where it listens for other nodes; empty when it told none.
	Address string
}

// Holder returns who holds the lease, as last read; the zero value where it was given up.
func (e *Elector) Holder() Holder {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state.Released {
		return Holder{}
	}
	return Holder{Node: e.state.Node, Address: e.state.Address}
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
	epoch := e.state.Epoch
	own := e.holdsLocked(epoch)
	e.validUntil = time.Time{}
	e.mu.Unlock()
	e.signal()
	if !own {
		return
	}
	e.awaitRole(ctx)
	for ctx.Err() == nil {
		_, err := e.write(ctx, epoch, lease.Release, nil)
		if err == nil {
			e.options.Logger.Info().Int64("epoch", epoch).Msg("leadership released")
			return
		}
		if errors.Is(err, errNotHeld) {
			// Another node leads, or a release whose answer was lost has taken effect.
			return
		}
		retry.Sleep(ctx, retryDelay)
	}
}

// own returns the epoch that this node holds, if it does.
func (e *Elector) own() (int64, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state.Epoch, e.holdsLocked(e.state.Epoch) && !e.stopping
}

// holdsLocked tells whether this node holds the epoch as far as it has read; mu is held.
func (e *Elector) holdsLocked(epoch int64) bool {
	return e.state.HeldBy(e.options.Holder, epoch)
}

// isEligible tells whether this node may claim the lease.
func (e *Elector) isEligible() bool { return e.options.Eligible == nil || e.options.Eligible() }

// Unheld tells whether nobody has held the lease for a period longer than it takes to claim one, as far as
// this node has been in contact with the log for that long.
func (e *Elector) Unheld(period time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.contactSince.IsZero() {
		return false
	}
	since := e.state.SeenAt
	if e.contactSince.After(since) {
		since = e.contactSince
	}
	return e.readAt.Sub(since) >= e.options.TTL+period
}

func (e *Elector) claimIfFree(ctx context.Context) {
	if !e.isEligible() {
		return
	}
	now := e.now()
	e.mu.Lock()
	inContact := !e.contactSince.IsZero()
	free := inContact && !e.stopping &&
		e.state.Claimable(e.options.Node, e.options.Holder, e.options.Address, e.readAt, e.contactSince, e.options.TTL)
	ownMachine := e.state.Node == e.options.Node
	hesitation := e.options.ClaimDelay
	if e.hesitant {
		hesitation += hesitantDelay
	}
	next := e.state.Next
	pending := now.Sub(e.claimSent) < e.options.TTL/renewalsPerTTL
	e.mu.Unlock()
	if !free || pending {
		return
	}
	if !ownMachine {
		retry.Sleep(ctx, rand.N(claimJitter)+hesitation)
	}
	e.claim(ctx, next)
}

func (e *Elector) signal() {
	select {
	case e.changed <- struct{}{}:
	default:
	}
}
