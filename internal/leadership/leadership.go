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

	"github.com/corkpulley/corkpulley/internal/core/lease"
	"github.com/corkpulley/corkpulley/internal/core/pacing"
	"github.com/corkpulley/corkpulley/internal/eventlog"
)

const (
	// topic holds the lease's records in its only partition.
	topic = "corkpulley.lease"
	// renewalsPerTTL is how often a lease is renewed in its time.
	renewalsPerTTL = 5
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
	// claimJitter spreads the claims of nodes that find a lease free at once.
	claimJitter = 60 * time.Millisecond
)

// Term is one time of leading.
type Term struct {
	// Epoch is the fencing token: higher than that of every earlier term.
	Epoch int64
	// Began is when this node learnt that it leads.
	Began time.Time
	// QuietUntil is the time before which no engine may be ordered: a leader on
	// another machine may have ordered it just now. It may lie in the past.
	QuietUntil time.Time
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
	// Quiet is the time that must lie between orders of two machines.
	Quiet time.Duration
	// EnginesFence is true when engines refuse lower fencing tokens than one seen.
	EnginesFence bool
	// Nodes returns the number of nodes that share the log.
	Nodes  func() int
	Logger zerolog.Logger
}

// Elector takes part in the election and runs the role while it leads.
type Elector struct {
	log       eventlog.Log
	partition eventlog.Partition
	options   Options
	role      Role

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
	return e.state.Epoch == epoch && e.state.Holder == e.options.Holder && time.Now().Before(e.validUntil)
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
		if err := e.append(ctx, e.record(lease.Release, epoch)); err == nil {
			e.options.Logger.Info().Int64("epoch", epoch).Msg("leadership released")
			return
		}
		sleep(ctx, retryDelay)
	}
}

// awaitRole waits for the end of the role, which hands its work over.
func (e *Elector) awaitRole(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	for ctx.Err() == nil {
		e.mu.Lock()
		leading := e.leading
		e.mu.Unlock()
		if !leading {
			return
		}
		sleep(ctx, handoverCheck)
	}
}

func (e *Elector) setLeading(leading bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leading = leading
}

func (e *Elector) held() (int64, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	own := e.state.Epoch > 0 && e.state.Holder == e.options.Holder && !e.state.Released && !e.stopping
	return e.state.Epoch, own && time.Now().Before(e.validUntil)
}

// lead runs the role until the lease is lost.
func (e *Elector) lead(ctx context.Context, epoch int64) {
	e.mu.Lock()
	term := Term{Epoch: epoch, QuietUntil: e.state.QuietUntil(e.options.Quiet, e.options.EnginesFence)}
	e.mu.Unlock()
	e.options.Logger.Info().Int64("epoch", epoch).Dur("quiet_ms", max(0, time.Until(term.QuietUntil))).
		Msg("leadership gained")
	e.setLeading(true)
	defer e.setLeading(false)
	roleContext, cancel := context.WithCancel(ctx)
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		e.role(roleContext, term)
	}()
	e.renewWhileHeld(ctx, epoch)
	cancel()
	<-finished
	holder, newest := e.Leader()
	e.options.Logger.Info().Int64("epoch", epoch).Str("holder", holder).Int64("newest_epoch", newest).
		Msg("leadership lost")
}

// renewWhileHeld renews until another epoch is in force or the node stops. While
// the log is out of reach the role goes on, since no promise rests on it: orders
// ask Valid, and what the role records is decided when it is read. Without a
// read no renewal is sent, so a node that is only heard, or that cannot know of a
// newer epoch, does not keep others from leading.
func (e *Elector) renewWhileHeld(ctx context.Context, epoch int64) {
	period := e.options.TTL / renewalsPerTTL
	for ctx.Err() == nil && e.inForce(epoch) {
		sent := time.Now()
		if e.readWithin(e.options.TTL) {
			e.renew(ctx, epoch, sent)
		}
		e.sleepWhileInForce(ctx, epoch, max(period-time.Since(sent), lease.MinRenewalGap))
	}
}

func (e *Elector) renew(ctx context.Context, epoch int64, sent time.Time) {
	record := e.record(lease.Renew, epoch)
	record.Sequence = e.noteRenewal(sent)
	ctx, cancel := context.WithTimeout(ctx, renewalTimeout)
	defer cancel()
	if err := e.append(ctx, record); err != nil {
		e.options.Logger.Info().Err(err).Int64("epoch", epoch).Msg("lease not renewed")
		return
	}
	e.extend(epoch, sent)
}

// inForce tells whether this node holds the epoch as far as it knows.
func (e *Elector) inForce(epoch int64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state.Epoch == epoch && e.state.Holder == e.options.Holder && !e.state.Released && !e.stopping
}

func (e *Elector) readWithin(period time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Since(e.readAt) < period
}

// sleepWhileInForce sleeps, but not on when the lease has gone.
func (e *Elector) sleepWhileInForce(ctx context.Context, epoch int64, period time.Duration) {
	for until := time.Now().Add(period); ctx.Err() == nil && e.inForce(epoch); {
		left := time.Until(until)
		if left <= 0 {
			return
		}
		sleep(ctx, min(left, checkPeriod))
	}
}

// noteRenewal numbers a renewal and remembers when it was sent: one whose answer
// is lost counts once it is read back.
func (e *Elector) noteRenewal(sent time.Time) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.sentAt) >= maxOpenRenewals {
		clear(e.sentAt)
	}
	e.sequence++
	e.sentAt[e.sequence] = sent
	return e.sequence
}

// extend counts the lease from when the acknowledged record was sent.
func (e *Elector) extend(epoch int64, sent time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.extendLocked(epoch, sent)
}

// extendLocked is extend with mu held.
func (e *Elector) extendLocked(epoch int64, sent time.Time) {
	if e.state.Epoch != epoch || e.state.Holder != e.options.Holder || e.stopping {
		return
	}
	if until := sent.Add(e.options.TTL - e.options.TTL/marginShare); until.After(e.validUntil) {
		e.validUntil = until
	}
}

func (e *Elector) claimIfFree(ctx context.Context) {
	now := time.Now()
	e.mu.Lock()
	inContact := !e.contactSince.IsZero()
	free := inContact && !e.stopping &&
		e.state.Claimable(e.options.Node, e.options.Holder, e.readAt, e.contactSince, e.options.TTL)
	ownMachine := e.state.Node == e.options.Node
	hesitation := time.Duration(0)
	if e.hesitant {
		hesitation = hesitantDelay
	}
	next, previous := e.state.Next, e.state.Epoch
	pending := now.Sub(e.claimSent) < e.options.TTL/renewalsPerTTL
	e.mu.Unlock()
	if !free || pending {
		return
	}
	if !ownMachine {
		sleep(ctx, rand.N(claimJitter)+hesitation)
	}
	e.mu.Lock()
	if e.state.Next != next {
		e.mu.Unlock()
		return
	}
	e.claimSent = time.Now()
	e.mu.Unlock()
	err := e.appendAt(ctx, next, e.record(lease.Claim, previous))
	e.options.Logger.Info().Err(err).Int64("follows_epoch", previous).Int64("offset", next).Msg("leadership claimed")
}

// tail reads the lease's records for good.
func (e *Elector) tail(ctx context.Context) {
	for ctx.Err() == nil {
		e.mu.Lock()
		next := e.state.Next
		e.mu.Unlock()
		batch, err := e.log.Read(ctx, e.partition, next, readLimit, pacing.Stretch(pollWait, maxPollWait, e.options.Nodes()))
		var gone *eventlog.GoneError
		switch {
		case err == nil:
			e.apply(batch)
			sleep(ctx, e.gap())
		case errors.As(err, &gone):
			e.skipTo(gone.First)
		default:
			e.lostContact(err)
			sleep(ctx, retryDelay)
		}
	}
}

// gap is the pause before the next read.
func (e *Elector) gap() time.Duration {
	e.mu.Lock()
	leading := e.leading
	e.mu.Unlock()
	if leading {
		return 0
	}
	return pacing.Stretch(readGap, maxReadGap, e.options.Nodes())
}

func (e *Elector) apply(batch eventlog.Batch) {
	now := time.Now()
	e.mu.Lock()
	for _, raw := range batch.Records {
		var record lease.Record
		if err := msgpack.Unmarshal(raw, &record); err != nil {
			e.state.Skip()
			continue
		}
		if e.state.Apply(record, now) {
			e.epochChanged(record)
		}
		e.readBack(record)
	}
	if e.state.Next >= batch.End {
		e.readAt = now
		if e.contactSince.IsZero() {
			e.contactSince = now
		}
	}
	e.mu.Unlock()
	if len(batch.Records) > 0 {
		e.signal()
	}
}

// epochChanged starts the own lease from when its claim was sent; mu is held.
func (e *Elector) epochChanged(record lease.Record) {
	if record.Holder == e.options.Holder {
		e.validUntil = e.claimSent.Add(e.options.TTL - e.options.TTL/marginShare)
	}
	e.options.Logger.Info().Str("holder", e.state.Holder).Int64("epoch", e.state.Epoch).Msg("leader changed")
}

// readBack counts an own renewal that was read from the log; mu is held.
func (e *Elector) readBack(record lease.Record) {
	if record.Holder != e.options.Holder || record.Kind != lease.Renew {
		return
	}
	if sent, open := e.sentAt[record.Sequence]; open {
		delete(e.sentAt, record.Sequence)
		e.extendLocked(record.Epoch, sent)
	}
}

// skipTo passes over records that are no longer kept. Renewals go on while a
// holder lives, so the epoch in force shows in the first record kept.
func (e *Elector) skipTo(first int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state.Next = max(e.state.Next, first)
}

func (e *Elector) lostContact(err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.contactSince.IsZero() {
		e.options.Logger.Info().Err(err).Int64("offset", e.state.Next).Msg("lease contact lost")
	}
	e.contactSince = time.Time{}
}

func (e *Elector) signal() {
	select {
	case e.changed <- struct{}{}:
	default:
	}
}

func (e *Elector) record(kind lease.RecordKind, epoch int64) lease.Record {
	return lease.Record{Kind: kind, Holder: e.options.Holder, Node: e.options.Node, Epoch: epoch}
}

func (e *Elector) append(ctx context.Context, record lease.Record) error {
	raw, err := msgpack.Marshal(&record)
	if err != nil {
		return errors.Wrap(err, "encode the lease record")
	}
	_, err = e.log.Append(ctx, e.partition, [][]byte{raw})
	return err
}

func (e *Elector) appendAt(ctx context.Context, end int64, record lease.Record) error {
	raw, err := msgpack.Marshal(&record)
	if err != nil {
		return errors.Wrap(err, "encode the lease record")
	}
	_, err = e.log.AppendAt(ctx, e.partition, end, [][]byte{raw})
	return err
}

func sleep(ctx context.Context, period time.Duration) {
	timer := time.NewTimer(period)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
