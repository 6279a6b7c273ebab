package leadership

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/core/lease"
)

// errQuiet is returned where another holder may have ordered an engine just now.
var errQuiet = errors.New("the quiet time after another holder's order is not over")

// Term is one time of leading. It implements lease.Term.
type Term struct {
	// Epoch is the fencing token: higher than that of every earlier term.
	Epoch int64

	elector *Elector
}

var _ lease.Term = Term{}

// Valid implements lease.Term.
func (t Term) Valid() bool { return t.elector.Valid(t.Epoch) }

// QuietUntil implements lease.Term.
func (t Term) QuietUntil(subject string) time.Time {
	e := t.elector
	quiet := lease.Quiet{Between: e.options.Quiet, Arrival: arrivalTime, EnginesFence: e.options.EnginesFence}
	e.mu.Lock()
	until := e.state.QuietUntil(subject, quiet)
	e.mu.Unlock()
	if until.IsZero() {
		return until
	}
	left := until.Sub(e.now())
	return time.Now().Add(left)
}

// Permit implements lease.Term. The next holder reads the record before it may claim, so it knows
// that an order may still arrive, and until when.
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
	taken, err := t.elector.recordOrder(ctx, t.Epoch, subject)
	t.elector.logOrder(subject, t.Epoch, taken, began, err)
	if err != nil {
		return nil, err
	}
	// Records that were read while this one was written may tell of another order.
	if time.Now().Before(t.QuietUntil(subject)) {
		return nil, errQuiet
	}
	return &permit{term: t, until: taken.sent.Add(sendWindow)}, nil
}

// permit is the leave to send one order. It implements lease.Permit.
type permit struct {
	term Term
	// until is a time of the elector's clock: that of the record, not of its answer, and it
	// goes on while the machine is suspended.
	until time.Time
}

// Open implements lease.Permit.
func (p *permit) Open() bool {
	return p.term.Valid() && p.term.elector.now().Before(p.until)
}

// Bound implements lease.Permit.
func (p *permit) Bound(ctx context.Context) (context.Context, context.CancelFunc) {
	left := p.until.Add(lease.InFlight).Sub(p.term.elector.now())
	return context.WithTimeout(ctx, left)
}

// orderRequest is an order that waits for its record.
type orderRequest struct {
	epoch  int64
	engine string
	// ended is closed once taken and err are set.
	ended chan struct{}
	taken receipt
	err   error
}

// recordOrder writes down that an engine is about to be ordered. Orders that wait for the log
// together are named by one record, so that their number does not slow them.
func (e *Elector) recordOrder(ctx context.Context, epoch int64, engine string) (receipt, error) {
	request := &orderRequest{epoch: epoch, engine: engine, ended: make(chan struct{})}
	e.mu.Lock()
	e.waiting = append(e.waiting, request)
	e.mu.Unlock()
	select {
	case e.turn <- struct{}{}:
		e.writeOrders(ctx, epoch)
		<-e.turn
	case <-request.ended:
	case <-ctx.Done():
		e.withdraw(request)
		return receipt{}, ctx.Err()
	}
	// Whoever had the turn before has ended this request or left it to be taken now.
	<-request.ended
	return request.taken, request.err
}

// writeOrders writes the record of all orders that wait, by the one whose turn it is.
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
	// The others' orders do not end with this one's.
	taken, err := e.writeInTurn(context.WithoutCancel(ctx), epoch, lease.Order, engines)
	for _, each := range requests {
		each.taken, each.err = taken, err
		if each.epoch != epoch {
			each.err = errNotHeld
		}
		close(each.ended)
	}
}

// withdraw takes a request back that no record names yet.
func (e *Elector) withdraw(request *orderRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waiting = slices.DeleteFunc(e.waiting, func(each *orderRequest) bool { return each == request })
}

// logOrder tells by what an order was allowed: the place of its record, how old the node's
// knowledge of the log was, and how much of its lease was left.
func (e *Elector) logOrder(engine string, epoch int64, taken receipt, began time.Time, err error) {
	now := e.now()
	e.mu.Lock()
	readAge, leaseLeft := now.Sub(e.readAt), e.validUntil.Sub(now)
	e.mu.Unlock()
	e.options.Logger.Info().Err(err).Str("engine", engine).Int64("epoch", epoch).Int64("offset", taken.offset).
		Dur("took_ms", now.Sub(began)).Dur("read_age_ms", readAge).Dur("lease_left_ms", leaseLeft).Msg("order recorded")
}
