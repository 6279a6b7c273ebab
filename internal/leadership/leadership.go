// Package leadership elects one leader among the nodes through the log and issues its permits to send orders.
// See internal/core/lease for the rules.
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
	topic              = "corkpulley.lease"
	renewalsPerTTL     = 5
	minRenewalInterval = 100 * time.Millisecond
	// marginDivisor sets the safety margin: a holder treats its lease as expired TTL/marginDivisor early.
	marginDivisor = 6
	// pollWait bounds a long poll. It is short because a node may claim only after an answered read that shows
	// no renewal. It grows with the number of nodes, up to maxPollWait.
	pollWait    = 300 * time.Millisecond
	maxPollWait = time.Second
	// readInterval is the pause between two reads of a node that does not lead, since every renewal ends a long
	// poll. It grows with the number of nodes, up to maxReadInterval.
	readInterval    = 20 * time.Millisecond
	maxReadInterval = 400 * time.Millisecond
	maxReadBytes    = 256 << 10
	// retryDelay is the pause after a failed read. It grows with the number of nodes, up to maxRetryDelay.
	retryDelay    = 100 * time.Millisecond
	maxRetryDelay = time.Second
	// recordTimeout bounds the append of one record, and thus how long the next append waits for it.
	recordTimeout = 400 * time.Millisecond
	// permitTimeout covers the append in progress and the one that records the order.
	permitTimeout = 2 * recordTimeout
	// deferredClaimDelay is added to the claim delay of a node that is about to stop.
	deferredClaimDelay = 250 * time.Millisecond
	// handoverTimeout bounds how long a release waits for the role to end.
	handoverTimeout       = time.Second
	handoverCheckInterval = 10 * time.Millisecond
	checkInterval         = 50 * time.Millisecond
	// sendWindow is how long after its record was composed an order may be sent. It must cover the append, dialing
	// and scheduling delays.
	sendWindow = 500 * time.Millisecond
	// maxArrivalDelay is how long after its record was composed an order may still arrive.
	maxArrivalDelay = sendWindow + lease.MaxTransitTime
	// claimJitter spreads the claims of nodes that find the lease free at the same time.
	claimJitter = 60 * time.Millisecond
	// observerReadInterval is the pause between two reads of a node that is not eligible. Such a node needs to know
	// the leader only to request permits for cold engines.
	observerReadInterval = time.Second
)

// Role is run while the node leads. It must return soon after ctx ends.
type Role func(ctx context.Context, term Term)

// Options configure an elector.
type Options struct {
	// Topic holds the lease's records in its only partition; empty for the cluster leader's lease. Each topic
	// is a separate lease.
	Topic string
	// Holder identifies this process. Node identifies its machine.
	Holder string
	Node   string
	// Address is bound by this process for its lifetime; empty for none. A process that has bound the
	// holder's address takes the lease over at once.
	Address string
	// TTL is how long a lease is valid after its last renewal.
	TTL time.Duration
	// ClaimDelay is how long this node defers a claim in favor of more capable nodes.
	ClaimDelay time.Duration
	// QuietPeriod is the minimum time between the orders of two machines to the same engine.
	QuietPeriod time.Duration
	// EnginesFence is true when engines reject fencing tokens lower than the highest one seen.
	EnginesFence bool
	// Eligible reports whether this node may claim the lease; nil for always. A held lease is kept in any case.
	Eligible func() bool
	// Budget bounds the log reads of all nodes together.
	Budget pacing.Budget
	// OnSuperseded, if set, is called for each record that a holder wrote after a newer claim took effect.
	OnSuperseded func(kind lease.RecordKind)
	Logger       zerolog.Logger
}

// Elector takes part in the election and runs the role while this node leads.
type Elector struct {
	log       eventlog.Log
	partition eventlog.Partition
	options   Options
	role      Role
	// now is the clock of all times below. It must advance while the machine is suspended, so that a leader's
	// lease expires during suspension.
	now func() time.Time

	mu    sync.Mutex
	state lease.State
	// contactSince is when reads began to succeed without interruption; zero without contact.
	contactSince time.Time
	// readAt is when the last read that reached the end of the log was answered.
	readAt time.Time
	// validUntil is when this node's lease ends unless renewed.
	validUntil time.Time
	// claimSent is when this node sent its last claim.
	claimSent time.Time
	// termStart is when this node read back its last claim.
	termStart time.Time
	// sequence is the number of this node's last record. pending holds the records not read back yet, by number.
	sequence int64
	pending  map[int64]*pendingRecord
	// knownEnd is the offset after this node's last acknowledged record.
	knownEnd int64
	// waiting holds the requests for the next Order record.
	waiting  []*orderRequest
	stopping bool
	// deferClaims is set when the node is about to stop.
	deferClaims bool
	// leading is true while the role is running.
	leading bool
	// unknownKinds limits the warning about unknown record kinds to one for each kind.
	unknownKinds once.PerKey

	// writeSlot is a semaphore: records are appended one at a time.
	writeSlot chan struct{}
	// changed wakes Run after records were read.
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
		pending:   make(map[int64]*pendingRecord),
		writeSlot: make(chan struct{}, 1),
		changed:   make(chan struct{}, 1),
	}
}

// Run takes part in the election until ctx ends.
func (e *Elector) Run(ctx context.Context) error {
	go e.tail(ctx)
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-e.changed:
		case <-time.After(checkInterval):
		}
		if epoch, held := e.heldEpoch(); held {
			e.lead(ctx, epoch)
			continue
		}
		e.claimIfFree(ctx)
	}
	return nil
}

// Valid reports whether this node holds an unexpired lease of the epoch. Sending an order also needs a permit, see
// Term.Permit.
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
	// Address is where the process listens for other nodes; empty if not announced.
	Address string
}

// Holder returns the holder of the lease, as last read; the zero value if the lease is released.
func (e *Elector) Holder() Holder {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state.Released {
		return Holder{}
	}
	return Holder{Node: e.state.Node, Address: e.state.Address}
}

// DeferClaims defers claims from now on, since this node is about to stop. A lease that it holds is kept until Stop,
// since all other nodes may be stopping too.
func (e *Elector) DeferClaims() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.deferClaims = true
}

// Stop releases the lease, if held, and stops claiming.
func (e *Elector) Stop(ctx context.Context) {
	e.mu.Lock()
	e.stopping = true
	epoch := e.state.Epoch
	held := e.holdsLocked(epoch)
	e.validUntil = time.Time{}
	e.mu.Unlock()
	e.signal()
	if !held {
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
			// Another node leads, or an earlier release took effect without an answer.
			return
		}
		retry.Sleep(ctx, retryDelay)
	}
}

// heldEpoch returns the epoch in force and whether this node holds it.
func (e *Elector) heldEpoch() (int64, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state.Epoch, e.holdsLocked(e.state.Epoch) && !e.stopping
}

// holdsLocked reports whether this node holds the epoch, as far as it has read. Must be called with mu held.
func (e *Elector) holdsLocked(epoch int64) bool {
	return e.state.HeldBy(e.options.Holder, epoch)
}

func (e *Elector) isEligible() bool { return e.options.Eligible == nil || e.options.Eligible() }

// UnheldFor reports whether no node has renewed the lease for its TTL plus the given period, while this node was in
// contact with the log.
func (e *Elector) UnheldFor(period time.Duration) bool {
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

// claimIfFree claims the lease if this node is eligible and the lease is free.
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
	delay := e.options.ClaimDelay
	if e.deferClaims {
		delay += deferredClaimDelay
	}
	next := e.state.Next
	claimPending := now.Sub(e.claimSent) < e.options.TTL/renewalsPerTTL
	e.mu.Unlock()
	if !free || claimPending {
		return
	}
	if !ownMachine {
		retry.Sleep(ctx, rand.N(claimJitter)+delay)
	}
	e.claim(ctx, next)
}

// signal wakes Run.
func (e *Elector) signal() {
	select {
	case e.changed <- struct{}{}:
	default:
	}
}
