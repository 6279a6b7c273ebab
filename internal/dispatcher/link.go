package dispatcher

import (
	"context"
	"time"

	"github.com/corkpulley/corkpulley/internal/cluster"
	"github.com/corkpulley/corkpulley/internal/common/retry"
	"github.com/corkpulley/corkpulley/internal/core/scheduler"
	"github.com/corkpulley/corkpulley/internal/engine"
)

// engineLink is the state of a cell's connection to one engine. Guarded by the cell's mutex.
type engineLink struct {
	id      string
	address string
	leaving bool
	// reachable is set while the watch stream is connected and has delivered a status.
	reachable        bool
	unreachableSince time.Time
	status           engine.Status
	// generation counts the connections of the watch stream; events of older ones are ignored.
	generation uint64
	// disconnect closes the current connection of the watch stream.
	disconnect context.CancelFunc
	// stop ends the link.
	stop context.CancelFunc
	// order is the state of the last load order.
	order orderState
}

// openLink starts the watch stream of an engine. Must be called with mutex held.
func (c *cell) openLink(machine cluster.EngineMachine) {
	ctx, stop := context.WithCancel(c.dispatcher.baseContext)
	link := &engineLink{
		id:               machine.ID,
		address:          machine.Address,
		leaving:          machine.Leaving,
		unreachableSince: time.Now(),
		disconnect:       func() {},
		stop:             stop,
	}
	c.links[machine.ID] = link
	c.updateScheduler(link, false)
	c.dispatcher.start(func() { c.watch(ctx, link) })
}

// closeLink closes the link of an engine. Must be called with mutex held.
func (c *cell) closeLink(link *engineLink) {
	link.stop()
	delete(c.links, link.id)
	c.scheduler.RemoveEngine(link.id)
}

// watch keeps the watch stream of an engine connected until ctx ends.
func (c *cell) watch(ctx context.Context, link *engineLink) {
	delays := reconnectBackoff.Delays()
	for ctx.Err() == nil {
		if c.watchOnce(ctx, link) {
			delays.Reset()
		}
		retry.Sleep(ctx, delays.NextBackOff())
	}
}

// watchOnce reads one connection of the watch stream to its end and reports whether it delivered any
// event.
func (c *cell) watchOnce(ctx context.Context, link *engineLink) bool {
	connection, disconnect := context.WithCancel(ctx)
	defer disconnect()
	generation := c.beginConnection(link, disconnect)
	idleTimer := time.AfterFunc(watchIdleTimeout, disconnect)
	defer idleTimer.Stop()
	delivered := false
	err := c.dispatcher.options.EngineClient.Watch(connection, link.address, watchInterval, func(event engine.Event) {
		idleTimer.Reset(watchIdleTimeout)
		delivered = true
		c.observe(link, generation, &event)
	})
	c.endConnection(link, generation)
	if delivered && ctx.Err() == nil {
		c.dispatcher.options.Logger.Warn().Err(err).Str("engine", link.id).Msg("engine watch stream broke")
	}
	return delivered
}

func (c *cell) beginConnection(link *engineLink, disconnect context.CancelFunc) uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	link.generation++
	link.disconnect = disconnect
	return link.generation
}

func (c *cell) endConnection(link *engineLink, generation uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if link.generation == generation {
		c.setUnreachable(link)
	}
}

// suspectEngine takes an engine out of service and reconnects its watch stream, unless that has
// reconnected since the placement.
func (c *cell) suspectEngine(placed placement) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	link, ok := c.links[placed.assignment.EngineID]
	if !ok || link.generation != placed.generation {
		return
	}
	link.generation++
	link.disconnect()
	c.setUnreachable(link)
}

// setUnreachable takes an engine out of service. Must be called with mutex held.
func (c *cell) setUnreachable(link *engineLink) {
	if link.reachable {
		link.reachable = false
		link.unreachableSince = time.Now()
	}
	c.updateScheduler(link, false)
}

// observe processes a watch event, unless it is from an older connection.
func (c *cell) observe(link *engineLink, generation uint64, event *engine.Event) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if link.generation != generation || c.links[link.id] != link {
		return
	}
	switch event.Kind {
	case engine.EventStatus:
		if event.Status != nil {
			c.observeStatus(link, *event.Status)
		}
	case engine.EventStored:
		c.prefixes.RecordStored(link.id, event.Sequence, event.Prefixes)
	case engine.EventEvicted:
		c.prefixes.RecordEvicted(link.id, event.Sequence, event.Prefixes)
	}
}

func (c *cell) observeStatus(link *engineLink, status engine.Status) {
	if link.status.Incarnation != status.Incarnation {
		// A restarted engine has an empty cache.
		c.prefixes.Remove(link.id)
	}
	now := time.Now()
	link.status = status
	link.reachable = true
	link.order.observe(&status)
	c.updateScheduler(link, true)
	c.sendDueOrders(now)
	c.dispatch(now)
}

// updateScheduler passes the state of the link to the scheduler. Must be called with mutex held.
func (c *cell) updateScheduler(link *engineLink, reported bool) {
	if c.links[link.id] != link {
		return
	}
	c.scheduler.UpdateEngine(scheduler.EngineUpdate{
		ID:        link.id,
		Status:    link.status,
		Leaving:   link.leaving,
		Reachable: link.reachable,
		NewReport: reported,
	})
}
