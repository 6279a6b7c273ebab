package leadership

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/core/lease"
)

// errQuiet is returned when an order of another holder may recently have reached the engine.
var errQuiet = errors.New("the quiet period after another holder's order is not over")

// Term is one term of leadership. It implements lease.Term.
type Term struct {
	// Epoch is the fencing token. It is higher than that of any earlier term.
	Epoch int64

	elector *Elector
}

var _ lease.Term = Term{}

// Valid implements lease.Term.
func (t Term) Valid() bool { return t.elector.Valid(t.Epoch) }

// QuietUntil implements lease.Term.
func (t Term) QuietUntil(subject string) time.Time {
	e := t.elector
	quiet := lease.QuietPeriod{
		BetweenMachines: e.options.QuietPeriod, MaxArrivalDelay: maxArrivalDelay, EnginesFence: e.options.EnginesFence,
	}
	e.mu.Lock()
	until := e.state.QuietUntil(subject, quiet)
	e.mu.Unlock()
	if until.IsZero() {
		return until
	}
	left := until.Sub(e.now())
	return time.Now().Add(left)
}

// Permit implements lease.Term. It records the order in the log first: the next holder reads the record before it may
// claim, so it knows until when the order may still arrive.
func (t Term) Permit(ctx context.Context, subject string) (lease.Permit, error) {
	if !t.Valid() {
		return nil, errNotHeld
	}
	if time.Now().Before(t.QuietUntil(subject)) {
		return nil, errQuiet
	}
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	began := t.elector.now()
	accepted, err := t.elector.recordOrder(ctx, t.Epoch, subject)
	t.elector.logOrder(subject, t.Epoch, accepted, began, err)
	if err != nil {
		return nil, err
	}
	// Records read during the append may contain an order of another holder.
	if time.Now().Before(t.QuietUntil(subject)) {
		return nil, errQuiet
	}
	return &permit{term: t, until: accepted.sent.Add(sendWindow)}, nil
}

// permit is the permission to send one order. It implements lease.Permit.
type permit struct {
	term Term
	// until is a time of the elector's clock, counted from when the record was sent, not acknowledged.
	until time.Time
}

// Valid implements lease.Permit.
func (p *permit) Valid() bool {
	return p.term.Valid() && p.term.elector.now().Before(p.until)
}

// WithDeadline implements lease.Permit.
func (p *permit) WithDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	left := p.until.Add(lease.MaxTransitTime).Sub(p.term.elector.now())
	return context.WithTimeout(ctx, left)
}

// orderRequest is an order that waits to be recorded.
type orderRequest struct {
	epoch  int64
	engine string
	// done is closed once accepted and err are set.
	done     chan struct{}
	accepted receipt
	err      error
}

// recordOrder records that an order is about to be sent to an engine. Concurrent requests are batched into one record,
// so that latency does not grow with their number.
func (e *Elector) recordOrder(ctx context.Context, epoch int64, engine string) (receipt, error) {
	request := &orderRequest{epoch: epoch, engine: engine, done: make(chan struct{})}
	e.mu.Lock()
	e.waiting = append(e.waiting, request)
	e.mu.Unlock()
	select {
	case e.writeSlot <- struct{}{}:
		e.writeOrders(ctx, epoch)
		<-e.writeSlot
	case <-request.done:
	case <-ctx.Done():
		e.withdraw(request)
		return receipt{}, ctx.Err()
	}
	// The request was in an earlier batch or in the one just written.
	<-request.done
	return request.accepted, request.err
}

// writeOrders writes one record with all waiting orders. Must be called with the write slot held.
func (e *Elector) writeOrders(ctx context.Context, epoch int64) {
	e.mu.Lock()
	requests := e.waiting
	e.waiting = nil
	e.mu.Unlock()
	if len(requests) == 0 {
		return
	}
	engines := make([]string, len(requests))
	for i, each := range requests {
		engines[i] = each.engine
	}
	// Canceling one caller must not affect the other orders of the batch.
	accepted, err := e.writeWithSlot(context.WithoutCancel(ctx), epoch, lease.Order, engines)
	for _, each := range requests {
		each.accepted, each.err = accepted, err
		if each.epoch != epoch {
			each.err = errNotHeld
		}
		close(each.done)
	}
}

// withdraw removes a request that is not yet part of a batch.
func (e *Elector) withdraw(request *orderRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waiting = slices.DeleteFunc(e.waiting, func(each *orderRequest) bool { return each == request })
}

// logOrder logs the basis of a permit: the offset of the order's record, the age of the last read, and the remaining
// time of the lease.
func (e *Elector) logOrder(engine string, epoch int64, accepted receipt, began time.Time, err error) {
	now := e.now()
	e.mu.Lock()
	readAge, leaseLeft := now.Sub(e.readAt), e.validUntil.Sub(now)
	e.mu.Unlock()
	e.options.Logger.Info().Err(err).Str("engine", engine).Int64("epoch", epoch).Int64("offset", accepted.offset).
		Dur("took_ms", now.Sub(began)).Dur("read_age_ms", readAge).Dur("lease_left_ms", leaseLeft).Msg("order recorded")
}
