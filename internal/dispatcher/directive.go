package dispatcher

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/engine"
	"github.com/corkpulley/corkpulley/internal/message"
	"github.com/corkpulley/corkpulley/internal/peer"
)

// directive is a load directive in force on a cell.
type directive struct {
	message message.Directive
	// staleEpoch is the highest fence that an engine answered with when it
	// refused this directive's epoch; no more orders follow from it then.
	staleEpoch int64
}

// orderState is the state of the last load order to one engine.
type orderState struct {
	target engine.ModelVersion
	// sending: the order call has not returned.
	sending bool
	// settleUntil is until when an accepted order counts as loading although
	// the engine does not report it yet.
	settleUntil time.Time
	// retryAt is when the next order may be sent.
	retryAt time.Time
}

// observe takes in an engine's report. Once that shows the load, or its end,
// the reports alone tell how far it is.
func (o *orderState) observe(status *engine.Status) {
	shows := status.Loading != nil && *status.Loading == o.target
	if shows || status.State == engine.StateBroken || slices.Contains(status.Models, o.target) {
		o.settleUntil = time.Time{}
	}
}

// loads tells whether the last order has still to show in the reports.
func (o *orderState) loads(model string, now time.Time) bool {
	return o.target.Model == model && (o.sending || now.Before(o.settleUntil))
}

// handleDirective puts a directive in force and answers the cell's progress.
func (d *Dispatcher) handleDirective(_ context.Context, request peer.Request) (any, error) {
	var received message.Directive
	if err := request.Decode(&received); err != nil {
		return nil, errkind.New(errkind.InvalidRequest, "directive: %s", err)
	}
	if received.Model == "" || received.Version == 0 || received.Concurrent < 0 {
		return nil, errkind.New(errkind.InvalidRequest, "directive needs a model, a version and a count from 0")
	}
	on, err := d.cell(received.Cell)
	if err != nil {
		return nil, err
	}
	return on.direct(received)
}

// direct puts a directive in force, unless a later epoch's already is.
func (c *cell) direct(received message.Directive) (message.DirectiveResult, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.owned {
		return message.DirectiveResult{}, errkind.New(errkind.NotOwner, "cell %s is not this node's", cellName(c.id))
	}
	current, ok := c.directives[received.Model]
	if ok && current.message.Epoch > received.Epoch {
		result := c.progress(&received)
		result.StaleEpoch = current.message.Epoch
		return result, nil
	}
	if !ok || current.message.Epoch < received.Epoch {
		current = &directive{}
		c.directives[received.Model] = current
	}
	current.message = received
	c.followDirectives(time.Now())
	result := c.progress(&received)
	result.StaleEpoch = current.staleEpoch
	return result, nil
}

// followDirectives sends the orders that are due. The caller holds the lock.
func (c *cell) followDirectives(now time.Time) {
	if !c.owned {
		return
	}
	for _, current := range c.directives {
		if current.staleEpoch != 0 {
			continue
		}
		engines := c.rolloutEngines(&current.message, now)
		floor := c.floor(current.message.Model)
		for _, id := range planLoads(engines, current.message.Concurrent, floor) {
			c.order(c.links[id], current, now)
		}
	}
}

// floor returns the highest floor, in percent, of the table's rows that use the
// model on this pool.
func (c *cell) floor(model string) int {
	floor := 0
	table := c.dispatcher.options.Tables.Table()
	for i := range table.Rows {
		if row := &table.Rows[i]; row.Model == model && row.Pool == c.id.Pool {
			floor = max(floor, row.Floor)
		}
	}
	return floor
}

// rolloutEngines describes the engines that are not leaving. The caller holds
// the lock.
func (c *cell) rolloutEngines(wanted *message.Directive, now time.Time) []rolloutEngine {
	var engines []rolloutEngine
	for _, on := range c.links {
		if !on.leaving {
			engines = append(engines, on.rolloutEngine(wanted, now))
		}
	}
	return engines
}

func (l *link) rolloutEngine(wanted *message.Directive, now time.Time) rolloutEngine {
	version := l.version(wanted.Model)
	described := rolloutEngine{
		id:      l.id,
		version: version,
		loading: l.reachable && l.loading(wanted.Model, now),
		// An engine in order at another version is brought back as well: the
		// directive, under its epoch, says what should run.
		reached:   l.reachable && version == wanted.Version && l.status.State != engine.StateBroken,
		inService: l.reachable && version > 0 && l.status.State == engine.StateServing,
	}
	described.orderable = l.reachable && l.status.State != engine.StateDraining &&
		!l.order.sending && !now.Before(l.order.retryAt)
	return described
}

func (l *link) version(model string) uint64 {
	for _, held := range l.status.Models {
		if held.Model == model {
			return held.Version
		}
	}
	return 0
}

// loading tells whether the engine swaps the model in, or is about to.
func (l *link) loading(model string, now time.Time) bool {
	reported := l.status.Loading != nil && l.status.Loading.Model == model
	return reported || l.order.loads(model, now)
}

// progress counts how far the cell's engines are. The caller holds the lock.
func (c *cell) progress(wanted *message.Directive) message.DirectiveResult {
	now := time.Now()
	var result message.DirectiveResult
	for _, on := range c.links {
		if on.leaving {
			continue
		}
		result.Engines++
		switch {
		case on.reachable && on.loading(wanted.Model, now):
			result.Loading++
		case on.reachable && on.status.State == engine.StateBroken:
			result.Broken++
		case on.reachable && on.version(wanted.Model) >= wanted.Version:
			result.AtLeast++
			if on.version(wanted.Model) == wanted.Version {
				result.AtVersion++
			}
		}
	}
	return result
}

// order sends one load order. The caller holds the lock.
func (c *cell) order(on *link, under *directive, now time.Time) {
	wanted := under.message
	on.order = orderState{
		target:  engine.ModelVersion{Model: wanted.Model, Version: wanted.Version},
		sending: true,
		retryAt: now.Add(orderRetryDelay),
	}
	order := engine.Order{
		Fence:   wanted.Epoch,
		Kind:    engine.OrderLoad,
		Model:   wanted.Model,
		Version: wanted.Version,
	}
	address := on.address
	c.dispatcher.start(func() {
		ctx, cancel := context.WithTimeout(c.dispatcher.base, orderTimeout)
		defer cancel()
		err := c.dispatcher.options.EngineClient.Order(ctx, address, order)
		c.ordered(on, under, order, err)
	})
}

// ordered takes in the answer to an order.
func (c *cell) ordered(on *link, under *directive, order engine.Order, err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	on.order.sending = false
	on.order.retryAt = now.Add(orderRetryDelay)
	logger := c.dispatcher.options.Logger.With().
		Str("engine", on.id).Str("model", order.Model).
		Uint64("version", order.Version).Int64("fence", order.Fence).Logger()
	if err == nil {
		on.order.settleUntil = now.Add(orderSettleTime)
		on.order.observe(&on.status)
		c.dispatcher.metrics.orders.WithLabelValues("accepted").Inc()
		logger.Info().Msg("engine accepted a load order")
		return
	}
	c.dispatcher.metrics.orders.WithLabelValues("failed").Inc()
	logger.Warn().Err(err).Msg("load order failed")
	var failure *engine.SendError
	if errors.As(err, &failure) && failure.Refusal != nil && failure.Refusal.Code == engine.CodeStaleFence {
		under.staleEpoch = max(under.staleEpoch, failure.Refusal.Fence)
	}
}
