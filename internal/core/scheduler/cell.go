package scheduler

import (
	"container/heap"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/corkpulley/corkpulley/internal/core/errkind"
)

// Cell is the scheduler of one cell. It is not safe for concurrent use.
//
// Invariant: an item that was enqueued is in exactly one place: queued,
// running, or handed back by Expire, Remove, Finished or Returned.
type Cell struct {
	config Config
	// classes are sorted by priority, the highest first.
	classes   []*class
	deadlines deadlineHeap
	queued    map[string]*entry
	running   map[string]*entry
	// queuedOf and runningOf count items by service.
	queuedOf  map[string]int
	runningOf map[string]int
	// engines are sorted by ID.
	engines     []*engineState
	liveReserve float64
	sequence    uint64
	lastPicked  string
	drain       drainRate
	choice      candidates
	scores      []float64
}

// NewCell returns a cell without engines.
func NewCell(config Config) *Cell {
	return &Cell{
		config:    config.withDefaults(),
		queued:    make(map[string]*entry),
		running:   make(map[string]*entry),
		queuedOf:  make(map[string]int),
		runningOf: make(map[string]int),
	}
}

// SetLiveReserve sets the share [0, 1) of the slots that trainers leave free
// for live services.
func (c *Cell) SetLiveReserve(share float64) { c.liveReserve = share }

// Enqueue takes an item into the queue. Errors are *errkind.Error, all not
// executed: QueueFull, CapReached, QueueTimeout (the deadline has passed), and
// InvalidRequest (the ID is in use).
func (c *Cell) Enqueue(now time.Time, item Item) error {
	if c.queued[item.ID] != nil || c.running[item.ID] != nil {
		return errkind.New(errkind.InvalidRequest, "request %s is already here", item.ID)
	}
	if !item.Deadline.After(now) {
		return c.timeout(now, &item)
	}
	into := c.class(item.Priority)
	if !item.Requeued {
		if err := c.admit(now, into, &item); err != nil {
			return err
		}
	}
	c.sequence++
	queued := &entry{item: item, sequence: c.sequence, enqueued: now}
	into.push(now, c.flowName(&item), queued, c.config.Policy.firstInFirstOut())
	heap.Push(&c.deadlines, queued)
	c.queued[item.ID] = queued
	c.queuedOf[item.Service]++
	return nil
}

// admit refuses what would only wait in vain.
func (c *Cell) admit(now time.Time, into *class, item *Item) error {
	if into.queued >= c.config.QueueLimit {
		err := errkind.New(errkind.QueueFull, "queue of priority %d is full (%d)", item.Priority, into.queued)
		err.RetryAfter = c.drain.retryAfter(now, c.config.QueueLimit/fullQueueFraction)
		return err
	}
	behindCap := max(capQueueFactor*item.Cap, capQueueMinimum)
	if c.atCap(item) && c.queuedOf[item.Service] >= behindCap {
		err := errkind.New(errkind.CapReached,
			"service %s has %d requests in flight here and %d queued", item.Service, item.Cap, behindCap)
		err.RetryAfter = c.drain.retryAfter(now, c.queuedOf[item.Service])
		return err
	}
	return nil
}

func (c *Cell) atCap(item *Item) bool {
	return item.Cap > 0 && c.runningOf[item.Service] >= item.Cap
}

// Remove takes a queued item out; false when it is not queued.
func (c *Cell) Remove(id string) bool {
	queued, ok := c.queued[id]
	if ok {
		c.dequeue(queued)
	}
	return ok
}

// Expire gives up on the queued items whose deadline has passed.
func (c *Cell) Expire(now time.Time) []Expired {
	var expired []Expired
	for len(c.deadlines) > 0 && !c.deadlines[0].item.Deadline.After(now) {
		queued := c.deadlines[0]
		err := c.timeout(now, &queued.item)
		c.dequeue(queued)
		expired = append(expired, Expired{Item: queued.item, Err: err})
	}
	return expired
}

func (c *Cell) timeout(now time.Time, item *Item) *errkind.Error {
	err := errkind.New(errkind.QueueTimeout, "no engine became free for service %s in time", item.Service)
	err.RetryAfter = c.drain.retryAfter(now, c.queuedAhead(item.Priority))
	return err
}

// queuedAhead counts the queued items of a priority and those above.
func (c *Cell) queuedAhead(priority int) int {
	ahead := 0
	for _, other := range c.classes {
		if other.priority >= priority {
			ahead += other.queued
		}
	}
	return ahead
}

// Progressed tells how many tokens of a running item have been generated.
func (c *Cell) Progressed(id string, generated int) {
	running, ok := c.running[id]
	if !ok {
		return
	}
	if on := c.engine(running.engineID); on != nil && on.running[id] == running {
		on.progressed(running, generated)
	}
}

// Finished tells that an assigned item ended on its engine; false when it was
// not running.
func (c *Cell) Finished(now time.Time, id string) bool {
	if !c.Returned(id) {
		return false
	}
	c.drain.finished(now)
	return true
}

// Returned tells that an assigned item did not run after all; false when it
// was not assigned. Unlike Finished it does not count as work drained.
func (c *Cell) Returned(id string) bool {
	finished, ok := c.running[id]
	if !ok {
		return false
	}
	delete(c.running, id)
	decrement(c.runningOf, finished.item.Service)
	if on := c.engine(finished.engineID); on != nil && on.running[id] == finished {
		on.finish(finished)
	}
	return true
}

// UpdateEngine adds an engine or takes in what changed about it.
func (c *Cell) UpdateEngine(update EngineUpdate) {
	position, found := c.search(update.ID)
	if !found {
		c.engines = slices.Insert(c.engines, position, newEngineState(update.ID))
	}
	c.engines[position].update(&update)
}

// RemoveEngine forgets an engine. Items that run there still count until
// Finished.
func (c *Cell) RemoveEngine(id string) {
	position, found := c.search(id)
	if !found {
		return
	}
	c.engines = slices.Delete(c.engines, position, position+1)
	if c.config.Prefixes != nil {
		c.config.Prefixes.Remove(id)
	}
}

func (c *Cell) search(id string) (int, bool) {
	return slices.BinarySearchFunc(c.engines, id, func(candidate *engineState, target string) int {
		return strings.Compare(candidate.id, target)
	})
}

func (c *Cell) engine(id string) *engineState {
	position, found := c.search(id)
	if !found {
		return nil
	}
	return c.engines[position]
}

// class returns the class of a priority. Under the first-in-first-out policies
// there is one class for all.
func (c *Cell) class(priority int) *class {
	if c.config.Policy.firstInFirstOut() {
		priority = 0
	}
	position, found := slices.BinarySearchFunc(c.classes, priority, func(candidate *class, target int) int {
		return target - candidate.priority
	})
	if !found {
		c.classes = slices.Insert(c.classes, position, newClass(priority))
	}
	return c.classes[position]
}

func (c *Cell) flowName(item *Item) string {
	if c.config.Policy.firstInFirstOut() {
		return ""
	}
	return item.Service
}

func (c *Cell) dequeue(queued *entry) {
	c.class(queued.item.Priority).remove(queued)
	heap.Remove(&c.deadlines, queued.deadlineIndex)
	delete(c.queued, queued.item.ID)
	decrement(c.queuedOf, queued.item.Service)
}

// reservedSlots is the number of slots that trainers may not take.
func (c *Cell) reservedSlots(slots int) int {
	if c.liveReserve <= 0 || slots == 0 {
		return 0
	}
	reserved := int(math.Ceil(c.liveReserve * float64(slots)))
	return min(reserved, slots-1)
}

func decrement(counts map[string]int, key string) {
	counts[key]--
	if counts[key] == 0 {
		delete(counts, key)
	}
}
