package leadership

import (
	"context"
	"time"

	"github.com/corkpulley/corkpulley/internal/common/retry"
	"github.com/corkpulley/corkpulley/internal/core/lease"
)

// awaitRole waits until the role has returned, for handoverTimeout at most.
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
		retry.Sleep(ctx, handoverCheckInterval)
	}
}

func (e *Elector) setLeading(leading bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leading = leading
}

// lead runs the role until the lease is lost.
func (e *Elector) lead(ctx context.Context, epoch int64) {
	term := Term{Epoch: epoch, elector: e}
	e.options.Logger.Info().Int64("epoch", epoch).Msg("leadership gained")
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

// renewWhileHeld renews until another epoch is in force or the node stops. The role may continue while the log is
// unreachable: orders need a permit, and records of the role are validated when they are read. Without a recent
// read no renewal is sent, so that a node that can write but not read does not keep the lease.
func (e *Elector) renewWhileHeld(ctx context.Context, epoch int64) {
	period := e.options.TTL / renewalsPerTTL
	for ctx.Err() == nil && e.inForce(epoch) {
		sent := e.now()
		if e.readWithin(e.options.TTL) {
			e.renew(ctx, epoch)
		}
		e.sleepWhileInForce(ctx, epoch, max(period-e.now().Sub(sent), minRenewalInterval))
	}
}

func (e *Elector) renew(ctx context.Context, epoch int64) {
	accepted, err := e.write(ctx, epoch, lease.Renew, nil)
	if err != nil {
		e.options.Logger.Info().Err(err).Int64("epoch", epoch).Msg("lease not renewed")
		return
	}
	e.extend(epoch, accepted.sent)
}

// inForce reports whether this node holds the epoch, as far as it knows, and is not stopping.
func (e *Elector) inForce(epoch int64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.holdsLocked(epoch) && !e.stopping
}

func (e *Elector) readWithin(period time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.now().Sub(e.readAt) < period
}

// sleepWhileInForce sleeps for the period, or until the lease is lost.
func (e *Elector) sleepWhileInForce(ctx context.Context, epoch int64, period time.Duration) {
	for until := e.now().Add(period); ctx.Err() == nil && e.inForce(epoch); {
		left := until.Sub(e.now())
		if left <= 0 {
			return
		}
		retry.Sleep(ctx, min(left, checkInterval))
	}
}

// extend extends the lease. sent is when the accepted record was sent.
func (e *Elector) extend(epoch int64, sent time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.extendLocked(epoch, sent)
}

// extendLocked implements extend. Must be called with mu held.
func (e *Elector) extendLocked(epoch int64, sent time.Time) {
	if !e.holdsLocked(epoch) || e.stopping {
		return
	}
	if until := sent.Add(e.options.TTL - e.options.TTL/marginDivisor); until.After(e.validUntil) {
		e.validUntil = until
	}
}
