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

// directive is an active load directive of a cell.
type directive struct {
	message message.Directive
	// newerEpoch is the highest fence returned by an engine that refused this directive's epoch. If it
	// is set, no more orders are sent for the directive.
	newerEpoch int64
}

// orderState is the state of the last load order to one engine.
type orderState struct {
	target engine.ModelVersion
	// sending is set until the order call returns.
	sending bool
	// settleUntil is the time until which an accepted order counts as loading although the engine does
	// not report it yet.
	settleUntil time.Time
	// retryAt is the earliest time of the next order.
	retryAt time.Time
}

// observe processes an engine's status. Once a status shows the load or its end, settleUntil no longer
// applies.
func (o *orderState) observe(status *engine.Status) {
	reported := status.Loading != nil && *status.Loading == o.target
	if reported || status.State == engine.StateBroken || slices.Contains(status.Models, o.target) {
		o.settleUntil = time.Time{}
	}
}

// loadPending reports whether a load of the model was ordered that the engine does not report yet.
func (o *orderState) loadPending(model string, now time.Time) bool {
	return o.target.Model == model && (o.sending || now.Before(o.settleUntil))
}

// handleDirective applies a directive and returns the cell's progress.
func (d *Dispatcher) handleDirective(_ context.Context, request peer.Request) (any, error) {
	var received message.Directive
	if err := request.Decode(&received); err != nil {
		return nil, errkind.New(errkind.InvalidRequest, "directive: %s", err)
	}
	if received.Model == "" || received.Version == 0 || received.Concurrent < 0 {
		return nil, errkind.New(errkind.InvalidRequest,
			"directive needs a model, a version and a concurrent count of at least 0")
	}
	target, err := d.cell(received.Cell)
	if err != nil {
		return nil, err
	}
	return target.applyDirective(received)
}

// applyDirective activates a directive unless one of a later epoch is active, and returns the cell's
// progress.
func (c *cell) applyDirective(received message.Directive) (message.DirectiveResult, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.owned {
		return message.DirectiveResult{}, errkind.New(errkind.NotOwner, "cell %s is not owned by this node", cellName(c.id))
	}
	current, ok := c.directives[received.Model]
	if ok && current.message.Epoch > received.Epoch {
		result := c.rolloutProgress(&received)
		result.NewerEpoch = current.message.Epoch
		return result, nil
	}
	if !ok || current.message.Epoch < received.Epoch {
		current = &directive{}
		c.directives[received.Model] = current
	}
	current.message = received
	c.sendDueOrders(time.Now())
	result := c.rolloutProgress(&received)
	result.NewerEpoch = current.newerEpoch
	return result, nil
}

// sendDueOrders sends the load orders that are due. Must be called with mutex held.
func (c *cell) sendDueOrders(now time.Time) {
	if !c.owned {
		return
	}
	for _, current := range c.directives {
		if current.newerEpoch != 0 {
			continue
		}
		engines := c.rolloutEngines(&current.message, now)
		floor := c.floor(current.message.Model)
		for _, id := range planLoads(engines, current.message.Concurrent, floor) {
			c.sendOrder(c.links[id], current, now)
		}
	}
}

// floor returns the highest floor, in percent, of the policy rows that use the model on this pool.
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

// rolloutEngines returns the rollout state of the engines that are not leaving. Must be called with
// mutex held.
func (c *cell) rolloutEngines(wanted *message.Directive, now time.Time) []rolloutEngine {
	var engines []rolloutEngine
	for _, link := range c.links {
		if !link.leaving {
			engines = append(engines, link.rolloutEngine(wanted, now))
		}
	}
	return engines
}

func (l *engineLink) rolloutEngine(wanted *message.Directive, now time.Time) rolloutEngine {
	version := l.version(wanted.Model)
	state := rolloutEngine{
		id:      l.id,
		version: version,
		loading: l.reachable && l.loading(wanted.Model, now),
		// Engines at any other version, newer ones included, are reloaded: the directive of the
		// current epoch decides which version should run.
		atTarget:  l.reachable && version == wanted.Version && l.status.State != engine.StateBroken,
		inService: l.reachable && version > 0 && l.status.State == engine.StateServing,
	}
	state.readyForOrder = l.reachable && l.status.State != engine.StateDraining &&
		!l.order.sending && !now.Before(l.order.retryAt)
	return state
}

func (l *engineLink) version(model string) uint64 {
	for _, held := range l.status.Models {
		if held.Model == model {
			return held.Version
		}
	}
	return 0
}

// loading reports whether the engine is loading the model or has just been ordered to.
func (l *engineLink) loading(model string, now time.Time) bool {
	reported := l.status.Loading != nil && l.status.Loading.Model == model
	return reported || l.order.loadPending(model, now)
}

// rolloutProgress counts the cell's engines by their rollout state. Must be called with mutex held.
func (c *cell) rolloutProgress(wanted *message.Directive) message.DirectiveResult {
	now := time.Now()
	var result message.DirectiveResult
	for _, link := range c.links {
		if link.leaving {
			continue
		}
		result.Engines++
		switch {
		case link.reachable && link.loading(wanted.Model, now):
			result.Loading++
		case link.reachable && link.status.State == engine.StateBroken:
			result.Broken++
		case link.reachable && link.version(wanted.Model) >= wanted.Version:
			result.AtLeastVersion++
			if link.version(wanted.Model) == wanted.Version {
				result.AtVersion++
			}
		}
	}
	return result
}

// sendOrder sends one load order. Must be called with mutex held.
func (c *cell) sendOrder(link *engineLink, active *directive, now time.Time) {
	wanted := active.message
	link.order = orderState{
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
	address := link.address
	c.dispatcher.start(func() {
		ctx, cancel := context.WithTimeout(c.dispatcher.baseContext, orderTimeout)
		defer cancel()
		err := c.dispatcher.options.EngineClient.Order(ctx, address, order)
		c.handleOrderResult(link, active, order, err)
	})
}

// handleOrderResult processes the result of an order call.
func (c *cell) handleOrderResult(link *engineLink, active *directive, order engine.Order, err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	link.order.sending = false
	link.order.retryAt = now.Add(orderRetryDelay)
	logger := c.dispatcher.options.Logger.With().
		Str("engine", link.id).Str("model", order.Model).
		Uint64("version", order.Version).Int64("fence", order.Fence).Logger()
	if err == nil {
		link.order.settleUntil = now.Add(orderSettleTime)
		link.order.observe(&link.status)
		c.dispatcher.metrics.orders.WithLabelValues("accepted").Inc()
		logger.Info().Msg("engine accepted a load order")
		return
	}
	c.dispatcher.metrics.orders.WithLabelValues("failed").Inc()
	logger.Warn().Err(err).Msg("load order failed")
	var failure *engine.SendError
	if errors.As(err, &failure) && failure.Refusal != nil && failure.Refusal.Code == engine.CodeStaleFence {
		active.newerEpoch = max(active.newerEpoch, failure.Refusal.Fence)
	}
}
