package scheduler

import (
	"slices"
	"time"
)

// Dispatch assigns queued items to engines while any may run. The caller sends
// each at once and calls Finished for each later.
func (c *Cell) Dispatch(now time.Time) []Assignment {
	var assignments []Assignment
	for len(c.queued) > 0 {
		assignment, ok := c.next(now)
		if !ok {
			break
		}
		assignments = append(assignments, assignment)
	}
	return assignments
}

// next assigns one item: first from a starved class, the longest waiting one
// first, then from the highest class that has an item that may run.
func (c *Cell) next(now time.Time) (Assignment, bool) {
	if !c.anyRoom() {
		return Assignment{}, false
	}
	for _, starved := range c.starvedClasses(now) {
		if assignment, ok := c.nextOf(now, starved, true); ok {
			return assignment, true
		}
	}
	for _, from := range c.classes {
		if assignment, ok := c.nextOf(now, from, false); ok {
			return assignment, true
		}
	}
	return Assignment{}, false
}

// anyRoom is a quick check that some engine could take something.
func (c *Cell) anyRoom() bool {
	if c.config.Policy.byReport() {
		return true
	}
	for _, candidate := range c.engines {
		if candidate.inService() && candidate.free() > 0 {
			return true
		}
	}
	return false
}

func (c *Cell) starvedClasses(now time.Time) []*class {
	var starved []*class
	for _, candidate := range c.classes {
		if candidate.starved(now, c.config.StarvationBound) {
			starved = append(starved, candidate)
		}
	}
	slices.SortStableFunc(starved, func(a, b *class) int {
		return a.waitingSince.Compare(b.waitingSince)
	})
	return starved
}

// nextOf assigns one item of a class, in the order of the fair shares.
func (c *Cell) nextOf(now time.Time, from *class, starvedTurn bool) (Assignment, bool) {
	if from.queued == 0 {
		return Assignment{}, false
	}
	trainersMayRun := c.trainersMayRun(starvedTurn)
	for _, candidate := range from.flowsInOrder() {
		for _, within := range candidate.lanesInOrder(c.config.Policy.firstInFirstOut()) {
			head := within.head()
			if c.atCap(&head.item) || (!head.item.Live && !trainersMayRun) {
				continue
			}
			if on := c.choose(head); on != nil {
				return c.assign(now, from, head, on), true
			}
		}
	}
	return Assignment{}, false
}

// trainersMayRun keeps the live reserve: trainers leave its slots free, so that
// a live request finds one at once. In the turn of a starved class it is enough
// that trainers do not hold more than all other slots.
func (c *Cell) trainersMayRun(starvedTurn bool) bool {
	if c.config.Policy.firstInFirstOut() || c.liveReserve <= 0 {
		return true
	}
	slots, free, trainers := 0, 0, 0
	for _, candidate := range c.engines {
		if candidate.inService() {
			slots += candidate.status.MaxBatch
			free += candidate.free()
			trainers += candidate.trainers
		}
	}
	reserved := c.reservedSlots(slots)
	if starvedTurn {
		return trainers < slots-reserved
	}
	return free > reserved
}

// choose filters, scores and picks the engine for an entry; nil for none.
func (c *Cell) choose(queued *entry) *engineState {
	c.filter(queued)
	if len(c.choice.engines) == 0 {
		return nil
	}
	switch c.config.Policy {
	case PolicyRoundRobin:
		return pickNext(c.choice.engines, c.lastPicked)
	case PolicyLeastLoad, PolicyOneHop:
		return pickLeastReported(c.choice.engines)
	default:
		return c.pickByScore(queued)
	}
}

// filter leaves in c.choice the engines that may run the entry.
func (c *Cell) filter(queued *entry) {
	slot := filter(filterFreeSlot)
	if c.config.Policy.byReport() {
		slot = filterReportedSlot
	}
	c.choice.engines = c.choice.engines[:0]
	for _, candidate := range c.engines {
		if slot(&queued.item, candidate) && admits(eligibility, &queued.item, candidate) {
			c.choice.engines = append(c.choice.engines, candidate)
		}
	}
}

func (c *Cell) pickByScore(queued *entry) *engineState {
	c.choice.measure(queued.item.Model)
	c.scores = c.scores[:0]
	for _, candidate := range c.choice.engines {
		score := c.config.Weights.score(queued, candidate, &c.choice, c.config.Prefixes)
		c.scores = append(c.scores, score)
	}
	return pickHighest(c.choice.engines, c.scores, c.config.Seed, queued.item.ID)
}

// assign moves an entry from the queue to an engine.
func (c *Cell) assign(now time.Time, from *class, queued *entry, on *engineState) Assignment {
	from.served(now, queued)
	c.dequeue(queued)
	on.start(queued)
	c.running[queued.item.ID] = queued
	c.runningOf[queued.item.Service]++
	c.lastPicked = on.id
	version, _ := on.version(queued.item.Model)
	if c.config.Prefixes != nil {
		c.config.Prefixes.Sent(on.id, queued.prefixHashes(version))
	}
	queued.hashes = nil
	return Assignment{
		Item:     queued.item,
		EngineID: on.id,
		Version:  version,
		Waited:   now.Sub(queued.enqueued),
	}
}
