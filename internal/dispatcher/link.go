package dispatcher

import (
	"context"
	"time"

	"github.com/corkpulley/corkpulley/internal/cluster"
	"github.com/corkpulley/corkpulley/internal/common/retry"
	"github.com/corkpulley/corkpulley/internal/core/scheduler"
	"github.com/corkpulley/corkpulley/internal/engine"
)

// link is what a cell knows of one engine. The cell's lock guards it.
type link struct {
	id      string
	address string
	leaving bool
	// reachable: the watch stream is up and has brought a status.
	reachable        bool
	unreachableSince time.Time
	status           engine.Status
	// generation counts the connections of the watch stream.
	generation uint64
	// disconnect breaks the current connection of the watch stream.
	disconnect context.CancelFunc
	// stop ends the link.
	stop context.CancelFunc
	// order is the state of the last load order.
	order orderState
}

// open starts the watch stream of an engine. The caller holds the lock.
func (c *cell) open(machine cluster.EngineMachine) {
	ctx, stop := context.WithCancel(c.dispatcher.base)
	opened := &link{
		id:               machine.ID,
		address:          machine.Address,
		leaving:          machine.Leaving,
		unreachableSince: time.Now(),
		disconnect:       func() {},
		stop:             stop,
	}
	c.links[machine.ID] = opened
	c.updateScheduler(opened, false)
	c.dispatcher.start(func() { c.watch(ctx, opened) })
}

// shut ends the link of an engine. The caller holds the lock.
func (c *cell) shut(closing *link) {
	closing.stop()
	delete(c.links, closing.id)
	c.scheduler.RemoveEngine(closing.id)
}

// watch keeps the watch stream of an engine up until ctx ends.
func (c *cell) watch(ctx context.Context, on *link) {
	delays := reconnectRetries.Delays()
	for ctx.Err() == nil {
		if c.watchOnce(ctx, on) {
			delays.Reset()
		}
		retry.Sleep(ctx, delays.NextBackOff())
	}
}

// watchOnce follows one connection of the watch stream; true when it brought
// any event.
func (c *cell) watchOnce(ctx context.Context, on *link) bool {
	connection, disconnect := context.WithCancel(ctx)
	defer disconnect()
	generation := c.connecting(on, disconnect)
	silence := time.AfterFunc(watchSilence, disconnect)
	defer silence.Stop()
	heard := false
	err := c.dispatcher.options.EngineClient.Watch(connection, on.address, watchInterval, func(event engine.Event) {
		silence.Reset(watchSilence)
		heard = true
		c.observe(on, generation, &event)
	})
	c.disconnected(on, generation)
	if heard && ctx.Err() == nil {
		c.dispatcher.options.Logger.Warn().Err(err).Str("engine", on.id).Msg("engine watch stream broke")
	}
	return heard
}

func (c *cell) connecting(on *link, disconnect context.CancelFunc) uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	on.generation++
	on.disconnect = disconnect
	return on.generation
}

func (c *cell) disconnected(on *link, generation uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if on.generation == generation {
		c.setUnreachable(on)
	}
}

// suspect takes an engine out of service until its watch stream is up again,
// unless that has already come anew since the placement was made.
func (c *cell) suspect(placed placement) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	on, ok := c.links[placed.assignment.EngineID]
	if !ok || on.generation != placed.generation {
		return
	}
	on.generation++
	on.disconnect()
	c.setUnreachable(on)
}

// setUnreachable takes an engine out of service. The caller holds the lock.
func (c *cell) setUnreachable(on *link) {
	if on.reachable {
		on.reachable = false
		on.unreachableSince = time.Now()
	}
	c.updateScheduler(on, false)
}

// observe takes in an event, unless it is of an older connection.
func (c *cell) observe(on *link, generation uint64, event *engine.Event) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if on.generation != generation || c.links[on.id] != on {
		return
	}
	switch event.Kind {
	case engine.EventStatus:
		if event.Status != nil {
			c.observeStatus(on, *event.Status)
		}
	case engine.EventStored:
		c.prefixes.Stored(on.id, event.Sequence, event.Prefixes)
	case engine.EventEvicted:
		c.prefixes.Evicted(on.id, event.Sequence, event.Prefixes)
	}
}

func (c *cell) observeStatus(on *link, status engine.Status) {
	if on.status.Incarnation != status.Incarnation {
		// A new start of the engine has an empty cache.
		c.prefixes.Remove(on.id)
	}
	now := time.Now()
	on.status = status
	on.reachable = true
	on.order.observe(&status)
	c.updateScheduler(on, true)
	c.followDirectives(now)
	c.dispatch(now)
}

// updateScheduler tells the scheduler what the link knows. The caller holds
// the lock.
func (c *cell) updateScheduler(on *link, reported bool) {
	if c.links[on.id] != on {
		return
	}
	c.scheduler.UpdateEngine(scheduler.EngineUpdate{
		ID:        on.id,
		Status:    on.status,
		Leaving:   on.leaving,
		Reachable: on.reachable,
		Reported:  reported,
	})
}
