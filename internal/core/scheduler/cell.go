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
// Invariant: an enqueued item is in exactly one state: queued, running, or ended by
// Expire, Remove, Finish or Unassign.
type Cell struct {
	config Config
	// classes are sorted by descending priority.
	classes   []*class
	deadlines deadlineHeap
	queued    map[string]*entry
	running   map[string]*entry
	// queuedByService and runningByService count items.
	queuedByService  map[string]int
	runningByService map[string]int
	// engines are sorted by ID.
	engines     []*engineState
	liveReserve float64
	sequence    uint64
	lastPicked  string
	drain       drainRate
	eligible    candidates
	scores      []float64
}

// NewCell returns a cell without engines.
func NewCell(config Config) *Cell {
	return &Cell{
		config:           config.withDefaults(),
		queued:           make(map[string]*entry),
		running:          make(map[string]*entry),
		queuedByService:  make(map[string]int),
		runningByService: make(map[string]int),
	}
}

// SetLiveReserve sets the share of the slots, in [0, 1), reserved for live services.
func (c *Cell) SetLiveReserve(share float64) { c.liveReserve = share }

// Enqueue adds an item to the queue. On error the item was not executed; errors are
// *errkind.Error of kind QueueFull, CapReached, QueueTimeout (the deadline has
// passed) or InvalidRequest (the ID is in use).
func (c *Cell) Enqueue(now time.Time, item Item) error {
	if c.queued[item.ID] != nil || c.running[item.ID] != nil {
		return errkind.New(errkind.InvalidRequest, "request %s is already queued or running in this cell", item.ID)
	}
	if !item.Deadline.After(now) {
		return c.timeout(now, &item)
	}
	target := c.class(item.Priority)
	if !item.Requeued {
		if err := c.admit(now, target, &item); err != nil {
			return err
		}
	}
	c.sequence++
	queued := &entry{item: item, sequence: c.sequence, enqueued: now}
	target.push(now, c.flowName(&item), queued, c.config.Policy.firstInFirstOut())
	heap.Push(&c.deadlines, queued)
	c.queued[item.ID] = queued
	c.queuedByService[item.Service]++
	return nil
}

// admit returns an error if the queue of the class is full or if too many items of
// the service are queued behind its cap.
func (c *Cell) admit(now time.Time, target *class, item *Item) error {
	if target.queued >= c.config.QueueLimit {
		err := errkind.New(errkind.QueueFull, "queue of priority %d is full (%d)", item.Priority, target.queued)
		err.RetryAfter = c.drain.retryAfter(now, c.config.QueueLimit/retryDrainDivisor)
		return err
	}
	maxQueued := max(capQueueFactor*item.Cap, capQueueMinimum)
	if c.atCap(item) && c.queuedByService[item.Service] >= maxQueued {
		err := errkind.New(errkind.CapReached,
			"service %s has %d requests in flight in this cell and %d queued", item.Service, item.Cap, maxQueued)
		err.RetryAfter = c.drain.retryAfter(now, c.queuedByService[item.Service])
		return err
	}
	return nil
}

func (c *Cell) atCap(item *Item) bool {
	return item.Cap > 0 && c.runningByService[item.Service] >= item.Cap
}

// Remove removes a queued item; false if it is not queued.
func (c *Cell) Remove(id string) bool {
	queued, ok := c.queued[id]
	if ok {
		c.dequeue(queued)
	}
	return ok
}

// Expire removes and returns the queued items whose deadline has passed.
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

// queuedAhead counts the queued items of the given or a higher priority.
func (c *Cell) queuedAhead(priority int) int {
	ahead := 0
	for _, other := range c.classes {
		if other.priority >= priority {
			ahead += other.queued
		}
	}
	return ahead
}

// RecordProgress records the total number of tokens generated for a running item.
func (c *Cell) RecordProgress(id string, generated int) {
	running, ok := c.running[id]
	if !ok {
		return
	}
	if assigned := c.engine(running.engineID); assigned != nil && assigned.running[id] == running {
		assigned.recordProgress(running, generated)
	}
}

// Finish records that an assigned item ended on its engine; false if it was not
// running.
func (c *Cell) Finish(now time.Time, id string) bool {
	if !c.Unassign(id) {
		return false
	}
	c.drain.recordFinished(now)
	return true
}

// Unassign records that an assigned item was not executed; false if it was not
// assigned. Unlike Finish, it doesn't count toward the drain rate.
func (c *Cell) Unassign(id string) bool {
	finished, ok := c.running[id]
	if !ok {
		return false
	}
	delete(c.running, id)
	decrement(c.runningByService, finished.item.Service)
	if assigned := c.engine(finished.engineID); assigned != nil && assigned.running[id] == finished {
		assigned.finish(finished)
	}
	return true
}

// UpdateEngine adds an engine or updates its state.
func (c *Cell) UpdateEngine(update EngineUpdate) {
	position, found := c.search(update.ID)
	if !found {
		c.engines = slices.Insert(c.engines, position, newEngineState(update.ID))
	}
	c.engines[position].update(&update)
}

// RemoveEngine removes an engine. Items running on it count as running until
// Finish or Unassign.
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

// class returns the class of a priority and creates it if needed. Under the
// first-in-first-out policies there is a single class.
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
	decrement(c.queuedByService, queued.item.Service)
}

// reservedSlots returns the number of slots reserved for live services. At least
// one slot stays available to trainers.
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
