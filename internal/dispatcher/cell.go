package dispatcher

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/core/policy"
	"github.com/corkpulley/corkpulley/internal/core/prefixcache"
	"github.com/corkpulley/corkpulley/internal/core/scheduler"
	"github.com/corkpulley/corkpulley/internal/message"
)

// cell is one shard of the dispatcher: the scheduler of a cell of engines with
// its tasks and engine links, under one lock.
type cell struct {
	id         message.CellID
	dispatcher *Dispatcher

	mutex     sync.Mutex
	scheduler *scheduler.Cell
	prefixes  *prefixcache.Index
	links     map[string]*link
	tasks     map[string]*task
	// attempts are the running attempts, by task ID.
	attempts map[string]runningAttempt
	// directives are the load directives in force, by model.
	directives map[string]*directive
	// owned: rendezvous hashing gives the cell to this node.
	owned    bool
	draining bool
	// usedAt is when the last request came in.
	usedAt    time.Time
	announced announcement
}

// runningAttempt is one attempt that has not ended.
type runningAttempt struct {
	attempt *attempt
	cancel  context.CancelCauseFunc
}

// newCell returns a cell without engines. The caller holds the dispatcher's lock.
func newCell(owner *Dispatcher, id message.CellID) *cell {
	prefixes := prefixcache.New(prefixcache.DefaultCapacity)
	return &cell{
		id:         id,
		dispatcher: owner,
		scheduler: scheduler.NewCell(scheduler.Config{
			Policy:   owner.options.Policy,
			Seed:     xxhash.Sum64String(cellName(id)),
			Prefixes: prefixes,
		}),
		prefixes:   prefixes,
		links:      make(map[string]*link),
		tasks:      make(map[string]*task),
		attempts:   make(map[string]runningAttempt),
		directives: make(map[string]*directive),
		draining:   owner.draining,
		usedAt:     time.Now(),
	}
}

// cellName is the cell's name in logs and metrics.
func cellName(id message.CellID) string {
	return fmt.Sprintf("%s/%s/%d", id.Zone, id.Pool, id.Index)
}

// submit returns the task of a submission: a running one with the same request
// and attempt, or a new one, which it queues.
func (c *cell) submit(submit message.Submit, row policy.Row, inFlightCap int) (*task, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.usedAt = time.Now()
	if known, ok := c.tasks[taskID(&submit)]; ok {
		return known, nil
	}
	if c.draining {
		return nil, errkind.New(errkind.Draining, "node %s is stopping", c.dispatcher.options.NodeID)
	}
	if len(c.links) == 0 {
		return nil, errkind.New(errkind.NoCapacity, "cell %s has no engine", cellName(c.id))
	}
	created := newTask(c.dispatcher.base, c, submit, row, inFlightCap)
	if err := c.scheduler.Enqueue(c.usedAt, created.item(c.usedAt)); err != nil {
		created.cancel()
		return nil, err
	}
	if !c.dispatcher.start(created.run) {
		c.scheduler.Remove(created.id)
		return nil, errkind.New(errkind.ShuttingDown, "node %s has stopped", c.dispatcher.options.NodeID)
	}
	c.tasks[created.id] = created
	if len(c.tasks) == 1 {
		c.dispatcher.wakeUp()
	}
	c.dispatch(c.usedAt)
	return created, nil
}

// lookup returns a task; nil when it is not here.
func (c *cell) lookup(id string) *task {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.tasks[id]
}

// forget drops a task that nobody reads any more.
func (c *cell) forget(t *task) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.tasks[t.id] == t {
		delete(c.tasks, t.id)
	}
}

// dispatch places what may run now. The caller holds the lock.
func (c *cell) dispatch(now time.Time) {
	for _, assignment := range c.scheduler.Dispatch(now) {
		placed := placement{assignment: assignment}
		if on, ok := c.links[assignment.EngineID]; ok {
			placed.address = on.address
			placed.generation = on.generation
		}
		c.place(assignment.Item.ID, placed)
	}
}

// place hands a placement to a task. A task waits for at most one at a time, so
// the channel always has room.
func (c *cell) place(id string, placed placement) {
	if waiting, ok := c.tasks[id]; ok {
		waiting.placed <- placed
		return
	}
	// The task was given up between its withdrawal and now.
	c.scheduler.Returned(id)
}

// tick gives up on queued tasks whose deadline passed, gives starved classes
// their turn, and follows the directives. It reports whether the cell has tasks.
func (c *cell) tick(now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, expired := range c.scheduler.Expire(now) {
		c.place(expired.Item.ID, placement{err: expired.Err})
	}
	c.dispatch(now)
	c.endLostAttempts(now)
	c.followDirectives(now)
	return len(c.tasks) > 0
}

// withdraw takes a task out of the queue, or gives back the engine that it was
// just placed on.
func (c *cell) withdraw(t *task) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.scheduler.Remove(t.id) {
		c.scheduler.Returned(t.id)
	}
	c.dispatch(time.Now())
}

// release frees the slot of a task whose attempt ended.
func (c *cell) release(t *task, ran bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	if ran {
		c.scheduler.Finished(now, t.id)
	} else {
		c.scheduler.Returned(t.id)
	}
	c.dispatch(now)
}

// progressed tells how many tokens the running attempt of a task has brought.
func (c *cell) progressed(t *task, tokens int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.scheduler.Progressed(t.id, tokens)
}

// allExcluded tells whether every engine of the cell is in the list.
func (c *cell) allExcluded(excluded []string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for id := range c.links {
		if !slices.Contains(excluded, id) {
			return false
		}
	}
	return true
}

// beginAttempt registers a running attempt. The caller calls end when it is over.
func (c *cell) beginAttempt(a *attempt) (ctx context.Context, end func()) {
	ctx, cancel := context.WithCancelCause(a.task.ctx)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.attempts[a.task.id] = runningAttempt{attempt: a, cancel: cancel}
	return ctx, func() {
		c.mutex.Lock()
		delete(c.attempts, a.task.id)
		c.mutex.Unlock()
		cancel(nil)
	}
}

// endLostAttempts ends the attempts that hang without an error: those on
// engines that stay unreachable or left the list, and that bring no chunks. An
// engine that left by plan may still finish its streams. The caller holds the lock.
func (c *cell) endLostAttempts(now time.Time) {
	for _, running := range c.attempts {
		on, listed := c.links[running.attempt.placed.assignment.EngineID]
		gone := !listed || (!on.reachable && now.Sub(on.unreachableSince) > engineGoneTimeout)
		if gone && running.attempt.silence(now) > engineGoneTimeout {
			running.cancel(errEngineGone)
		}
	}
}

// drain refuses new submissions, and sends away as not run those that are
// queued and never reached an engine.
func (c *cell) drain() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.draining = true
	for _, waiting := range c.tasks {
		if waiting.requeued || !c.scheduler.Remove(waiting.id) {
			continue
		}
		err := errkind.New(errkind.Draining, "node %s is stopping", c.dispatcher.options.NodeID)
		waiting.placed <- placement{err: err}
	}
}

// busy tells whether a task has not ended or is still being read.
func (c *cell) busy() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, known := range c.tasks {
		if known.buffer.busy() {
			return true
		}
	}
	return false
}
