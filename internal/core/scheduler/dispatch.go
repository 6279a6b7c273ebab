package scheduler

import (
	"slices"
	"time"
)

// Dispatch assigns queued items to engines until no further item can run. The caller
// must send each item immediately and later call Finish or Unassign for it.
func (c *Cell) Dispatch(now time.Time) []Assignment {
	var assignments []Assignment
	for len(c.queued) > 0 {
		assignment, ok := c.dispatchNext(now)
		if !ok {
			break
		}
		assignments = append(assignments, assignment)
	}
	return assignments
}

// dispatchNext assigns one item: from the starved classes, longest unserved first,
// otherwise from the highest class with an item that can run.
func (c *Cell) dispatchNext(now time.Time) (Assignment, bool) {
	if !c.mayHaveCapacity() {
		return Assignment{}, false
	}
	for _, starved := range c.starvedClasses(now) {
		if assignment, ok := c.dispatchFrom(now, starved, true); ok {
			return assignment, true
		}
	}
	for _, source := range c.classes {
		if assignment, ok := c.dispatchFrom(now, source, false); ok {
			return assignment, true
		}
	}
	return Assignment{}, false
}

// mayHaveCapacity is a cheap pre-check; false means that no engine can take an item.
func (c *Cell) mayHaveCapacity() bool {
	if c.config.Policy.usesReportedLoad() {
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

// dispatchFrom assigns one item of a class, in fair-queuing order of its flows.
func (c *Cell) dispatchFrom(now time.Time, source *class, forStarvedClass bool) (Assignment, bool) {
	if source.queued == 0 {
		return Assignment{}, false
	}
	trainersMayRun := c.trainersMayRun(forStarvedClass)
	for _, nextFlow := range source.flowsInOrder() {
		for _, nextLane := range nextFlow.lanesInOrder(c.config.Policy.firstInFirstOut()) {
			head := nextLane.head()
			if c.atCap(&head.item) || (!head.item.Live && !trainersMayRun) {
				continue
			}
			if selected := c.selectEngine(head); selected != nil {
				return c.assign(now, source, head, selected), true
			}
		}
	}
	return Assignment{}, false
}

// trainersMayRun reports whether a trainer item may take a slot without using the
// live reserve. Normally the reserved slots must stay free; for a starved class it is
// sufficient that trainers hold fewer than the unreserved slots.
func (c *Cell) trainersMayRun(forStarvedClass bool) bool {
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
	if forStarvedClass {
		return trainers < slots-reserved
	}
	return free > reserved
}

// selectEngine filters, scores and picks an engine for the entry; nil if none can run it.
func (c *Cell) selectEngine(queued *entry) *engineState {
	c.filter(queued)
	if len(c.eligible.engines) == 0 {
		return nil
	}
	switch c.config.Policy {
	case PolicyRoundRobin:
		return pickNext(c.eligible.engines, c.lastPicked)
	case PolicyLeastLoad, PolicyOneHop:
		return pickLeastReported(c.eligible.engines)
	default:
		return c.pickByScore(queued)
	}
}

// filter sets c.eligible.engines to the engines that may run the entry.
func (c *Cell) filter(queued *entry) {
	slot := filter(filterFreeSlot)
	if c.config.Policy.usesReportedLoad() {
		slot = filterReportedSlot
	}
	c.eligible.engines = c.eligible.engines[:0]
	for _, candidate := range c.engines {
		if slot(&queued.item, candidate) && passes(eligibilityFilters, &queued.item, candidate) {
			c.eligible.engines = append(c.eligible.engines, candidate)
		}
	}
}

func (c *Cell) pickByScore(queued *entry) *engineState {
	c.eligible.computeRanges(queued.item.Model)
	c.scores = c.scores[:0]
	for _, candidate := range c.eligible.engines {
		score := c.config.Weights.score(queued, candidate, &c.eligible, c.config.Prefixes)
		c.scores = append(c.scores, score)
	}
	return pickHighest(c.eligible.engines, c.scores, c.config.Seed, queued.item.ID)
}

// assign moves an entry from the queue to the engine.
func (c *Cell) assign(now time.Time, source *class, queued *entry, selected *engineState) Assignment {
	source.recordDispatch(now, queued)
	c.dequeue(queued)
	selected.start(queued)
	c.running[queued.item.ID] = queued
	c.runningByService[queued.item.Service]++
	c.lastPicked = selected.id
	version, _ := selected.version(queued.item.Model)
	if c.config.Prefixes != nil {
		c.config.Prefixes.RecordSent(selected.id, queued.prefixHashes(version))
	}
	queued.hashes = nil
	return Assignment{
		Item:     queued.item,
		EngineID: selected.id,
		Version:  version,
		Waited:   now.Sub(queued.enqueued),
	}
}
