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

// cell is one shard of the dispatcher: the scheduler of a cell of engines with its tasks and engine
// links, under one lock.
type cell struct {
	id         message.CellID
	dispatcher *Dispatcher

	mutex     sync.Mutex
	scheduler *scheduler.Cell
	prefixes  *prefixcache.Index
	links     map[string]*engineLink
	tasks     map[string]*task
	// attempts are the running attempts by task ID.
	attempts map[string]runningAttempt
	// directives are the active load directives by model.
	directives map[string]*directive
	// owned is set while rendezvous hashing assigns the cell to this node.
	owned    bool
	draining bool
	// lastSubmitAt is the time of the last submission.
	lastSubmitAt time.Time
	announced    announcement
}

// runningAttempt is an attempt that has not ended, with its cancel function.
type runningAttempt struct {
	attempt *attempt
	cancel  context.CancelCauseFunc
}

// newCell returns a cell without engines. Must be called with the dispatcher's mutex held.
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
		prefixes:     prefixes,
		links:        make(map[string]*engineLink),
		tasks:        make(map[string]*task),
		attempts:     make(map[string]runningAttempt),
		directives:   make(map[string]*directive),
		draining:     owner.draining,
		lastSubmitAt: time.Now(),
	}
}

// cellName returns the cell's name for logs and metrics.
func cellName(id message.CellID) string {
	return fmt.Sprintf("%s/%s/%d", id.Zone, id.Pool, id.Index)
}

// submit queues a submission and returns its task. If a task for the same request and attempt exists,
// it returns that one.
func (c *cell) submit(submit message.Submit, row policy.Row, inFlightCap int) (*task, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.lastSubmitAt = time.Now()
	if existing, ok := c.tasks[taskID(&submit)]; ok {
		return existing, nil
	}
	if c.draining {
		return nil, errkind.New(errkind.Draining, "node %s is stopping", c.dispatcher.options.NodeID)
	}
	if len(c.links) == 0 {
		return nil, errkind.New(errkind.NoCapacity, "cell %s has no engines", cellName(c.id))
	}
	t := newTask(c.dispatcher.baseContext, c, submit, row, inFlightCap)
	if err := c.scheduler.Enqueue(c.lastSubmitAt, t.item(c.lastSubmitAt)); err != nil {
		t.cancel()
		return nil, err
	}
	if !c.dispatcher.start(t.run) {
		c.scheduler.Remove(t.id)
		return nil, errkind.New(errkind.ShuttingDown, "node %s has stopped", c.dispatcher.options.NodeID)
	}
	c.tasks[t.id] = t
	if len(c.tasks) == 1 {
		c.dispatcher.wakeUp()
	}
	c.dispatch(c.lastSubmitAt)
	return t, nil
}

// lookup returns the task with an ID, or nil.
func (c *cell) lookup(id string) *task {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.tasks[id]
}

// removeTask removes a task that has no reader.
func (c *cell) removeTask(t *task) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.tasks[t.id] == t {
		delete(c.tasks, t.id)
	}
}

// dispatch assigns queued tasks to free engines. Must be called with mutex held.
func (c *cell) dispatch(now time.Time) {
	for _, assignment := range c.scheduler.Dispatch(now) {
		placed := placement{assignment: assignment}
		if link, ok := c.links[assignment.EngineID]; ok {
			placed.address = link.address
			placed.generation = link.generation
		}
		c.sendPlacement(assignment.Item.ID, placed)
	}
}

// sendPlacement sends a placement to its task. A task waits for at most one at a time, so the channel
// always has room. Must be called with mutex held.
func (c *cell) sendPlacement(id string, placed placement) {
	if t, ok := c.tasks[id]; ok {
		t.placements <- placed
		return
	}
	// The task was abandoned but not yet withdrawn from the queue.
	c.scheduler.Unassign(id)
}

// tick expires queued tasks past their deadline, dispatches queued tasks, cancels attempts on
// unreachable engines and sends due load orders. It reports whether the cell has tasks.
func (c *cell) tick(now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, expired := range c.scheduler.Expire(now) {
		c.sendPlacement(expired.Item.ID, placement{err: expired.Err})
	}
	c.dispatch(now)
	c.cancelUnreachableAttempts(now)
	c.sendDueOrders(now)
	return len(c.tasks) > 0
}

// withdraw removes a task from the queue, or releases the engine slot that it was just assigned.
func (c *cell) withdraw(t *task) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.scheduler.Remove(t.id) {
		c.scheduler.Unassign(t.id)
	}
	c.dispatch(time.Now())
}

// release frees the engine slot of a task whose attempt ended; ran is false if the engine certainly
// did not run it.
func (c *cell) release(t *task, ran bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	if ran {
		c.scheduler.Finish(now, t.id)
	} else {
		c.scheduler.Unassign(t.id)
	}
	c.dispatch(now)
}

// updateProgress reports to the scheduler how many tokens the running attempt of a task has generated.
func (c *cell) updateProgress(t *task, tokens int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.scheduler.RecordProgress(t.id, tokens)
}

// allExcluded reports whether every engine of the cell is in the list.
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

// registerAttempt registers a running attempt. The caller must call end when the attempt is over.
func (c *cell) registerAttempt(a *attempt) (ctx context.Context, end func()) {
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

// cancelUnreachableAttempts cancels attempts that have received no chunks for engineUnreachableTimeout
// and whose engine has been unreachable as long or is no longer listed. An engine removed from the
// list as planned may still finish its streams. Must be called with mutex held.
func (c *cell) cancelUnreachableAttempts(now time.Time) {
	for _, running := range c.attempts {
		link, listed := c.links[running.attempt.placement.assignment.EngineID]
		unavailable := !listed || (!link.reachable && now.Sub(link.unreachableSince) > engineUnreachableTimeout)
		if unavailable && running.attempt.timeSinceChunk(now) > engineUnreachableTimeout {
			running.cancel(errEngineUnreachable)
		}
	}
}

// drain makes the cell refuse new submissions and fails queued tasks that never reached an engine as
// not executed.
func (c *cell) drain() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.draining = true
	for _, t := range c.tasks {
		if t.requeued || !c.scheduler.Remove(t.id) {
			continue
		}
		err := errkind.New(errkind.Draining, "node %s is stopping", c.dispatcher.options.NodeID)
		t.placements <- placement{err: err}
	}
}

// busy reports whether any task has not ended or is still being read.
func (c *cell) busy() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, t := range c.tasks {
		if t.buffer.busy() {
			return true
		}
	}
	return false
}
