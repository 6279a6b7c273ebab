package scheduler

import (
	"slices"
	"strings"
	"time"
)

// flow is the queue of one service within a class. Flows are served by start-time
// fair queuing (Goyal, Vin, Cheng 1996): the flow with the lowest start tag is next,
// and each dispatched item advances the tag by its expected tokens / share.
type flow struct {
	service  string
	startTag float64
	queued   int
	lanes    map[laneKey]*lane
	// ordered is the reused result buffer of lanesInOrder.
	ordered []*lane
}

func (f *flow) push(queued *entry, firstInFirstOut bool) {
	key := laneKeyOf(&queued.item)
	target, ok := f.lanes[key]
	if !ok {
		target = &lane{key: key, entries: laneHeap{firstInFirstOut: firstInFirstOut}}
		f.lanes[key] = target
	}
	target.push(queued)
	queued.flow = f
	f.queued++
}

func (f *flow) remove(queued *entry) {
	source := queued.lane
	source.remove(queued)
	if source.empty() {
		delete(f.lanes, source.key)
	}
	f.queued--
}

// lanesInOrder returns the lanes ordered by their head entries. The result is valid
// until the next call.
func (f *flow) lanesInOrder(firstInFirstOut bool) []*lane {
	f.ordered = f.ordered[:0]
	for _, candidate := range f.lanes {
		f.ordered = append(f.ordered, candidate)
	}
	slices.SortFunc(f.ordered, func(a, b *lane) int {
		if entryBefore(a.head(), b.head(), firstInFirstOut) {
			return -1
		}
		return 1
	})
	return f.ordered
}

// class is the queue of one priority.
type class struct {
	priority int
	queued   int
	// virtualTime is the highest start tag of the items dispatched so far.
	virtualTime float64
	flows       map[string]*flow
	// waitingSince is when the class was last served or last became non-empty,
	// whichever is later.
	waitingSince time.Time
	// ordered is the reused result buffer of flowsInOrder.
	ordered []*flow
}

func newClass(priority int) *class {
	return &class{priority: priority, flows: make(map[string]*flow)}
}

func (c *class) push(now time.Time, flowName string, queued *entry, firstInFirstOut bool) {
	if c.queued == 0 {
		c.waitingSince = now
	}
	target, ok := c.flows[flowName]
	if !ok {
		target = &flow{service: flowName, lanes: make(map[laneKey]*lane)}
		c.flows[flowName] = target
	}
	if target.queued == 0 {
		// An idle service accumulates no credit.
		target.startTag = max(target.startTag, c.virtualTime)
	}
	target.push(queued, firstInFirstOut)
	c.queued++
}

func (c *class) remove(queued *entry) {
	queued.flow.remove(queued)
	c.queued--
}

// recordDispatch updates the tags and waitingSince for a dispatched entry.
func (c *class) recordDispatch(now time.Time, queued *entry) {
	source := queued.flow
	c.virtualTime = max(c.virtualTime, source.startTag)
	source.startTag += float64(queued.expectedTokens()) / float64(max(queued.item.Share, 1))
	c.waitingSince = now
}

// flowsInOrder returns the flows with queued items by ascending start tag. The
// result is valid until the next call.
func (c *class) flowsInOrder() []*flow {
	c.ordered = c.ordered[:0]
	for _, candidate := range c.flows {
		if candidate.queued > 0 {
			c.ordered = append(c.ordered, candidate)
		}
	}
	slices.SortFunc(c.ordered, func(a, b *flow) int {
		switch {
		case a.startTag < b.startTag:
			return -1
		case a.startTag > b.startTag:
			return 1
		default:
			return strings.Compare(a.service, b.service)
		}
	})
	return c.ordered
}

// starved reports whether the class has queued items and was not served for bound.
func (c *class) starved(now time.Time, bound time.Duration) bool {
	return c.queued > 0 && now.Sub(c.waitingSince) >= bound
}
