package batchplan

import (
	"container/heap"
	"math"
	"time"

	"github.com/corkpulley/corkpulley/internal/core/enginespeed"
	"github.com/corkpulley/corkpulley/internal/core/incarnation"
)

const (
	// occupancyCost is the relative slowdown of an engine per running item.
	occupancyCost = 0.006
	// groupBonus is subtracted from the score of the engine that runs the item's group.
	groupBonus = 0.05
	// memoryPressureCost is the relative slowdown expected of an engine per unit of its reserved share of
	// memory above memoryPressureThreshold: an engine that runs out of memory interrupts an item
	// for a second or more, until others have ended.
	memoryPressureCost = 0.5
	// memoryPressureThreshold is the share of an engine's memory that can be reserved without a slowdown.
	memoryPressureThreshold = 0.75
	// memoryOvercommit is the multiple of an engine's memory that may be reserved: items grow
	// into their reservations, end at different times, and their lengths are estimates.
	memoryOvercommit = 2
)

// pass is one assignment pass over the queue. During a pass the load of engines only grows, so their
// scores only rise, and an item for which there is no engine will not get one later in the pass. The
// engines of each class are therefore kept in a heap whose top is rescored before use.
type pass struct {
	plan    *Plan
	now     time.Time
	engines []Engine
	// byID maps engines to their indices in engines.
	byID map[incarnation.ID]int
	// startsLeft is the number of items that each engine may still be assigned in this pass.
	startsLeft []int
	// arriving holds the items that are being moved to each engine, as of the begin of the pass.
	arriving   map[incarnation.ID]arrivals
	medianPace time.Duration
	// bestPace is the pace of the fast engines, expectedRunTime the mean time that the running items
	// are expected to take there; both are zero when unknown.
	bestPace        time.Duration
	expectedRunTime time.Duration
	classes         map[class]*candidateHeap
	// idle holds the result of idleSlots by job, less the items that have left their part since.
	idle map[*jobRank]int
	// latest is the heap of the latest item, which mostly is that of the next one too; nil before the first item.
	latest *candidateHeap
	// speeds holds the speed classes of the services that have any, projected the memory that the running items of
	// each engine of these services are projected to need; both are nil if no service has classes.
	speeds    map[string]*enginespeed.Classes
	projected map[incarnation.ID]float64
}

// class holds the properties of an item that determine which engines are eligible for it.
type class struct {
	service    string
	model      string
	minVersion int64
	// avoidsFast is true for items that are kept off fast engines.
	avoidsFast bool
	// overdue is true for items that soft reasons no longer keep from an engine, allowsFailing if they may start on
	// engines that have recently failed, since no other serves them.
	overdue       bool
	allowsFailing bool
}

// classOf returns the class of an item.
func (p *pass) classOf(item *Item) class {
	key := class{
		service: item.Service, model: item.Model, minVersion: item.MinVersion, overdue: p.plan.isOverdue(item.Key),
	}
	key.allowsFailing = key.overdue && !p.isServed(key)
	if p.speeds != nil {
		key.avoidsFast = p.plan.avoidsFast(p.speeds[item.Service], item)
	}
	return key
}

// candidateHeap is a heap.Interface of the engines that may run items of a class, lowest score on top.
type candidateHeap struct {
	class   class
	entries []candidate
	// blocked is true once no engine could take an item without constraints of its own; freeTokens
	// is then the largest free memory of an engine.
	blocked    bool
	freeTokens int
	// reason is why no engine of the class has a free slot; it is determined on first use.
	reason WaitReason
	// fastRunning is the number of items that ran at fast engines of the class when the heap was built,
	// deferred the number of items that were left to wait for one of these engines.
	fastRunning int
	deferred    int
}

type candidate struct {
	// engine is the index in the pass's slice, which breaks ties between equal scores.
	engine int
	score  float64
}

func (c *candidateHeap) Len() int { return len(c.entries) }

func (c *candidateHeap) Less(i, j int) bool { return c.entries[i].before(c.entries[j]) }

func (c *candidateHeap) Swap(i, j int) { c.entries[i], c.entries[j] = c.entries[j], c.entries[i] }

// Push implements heap.Interface.
func (c *candidateHeap) Push(entry any) { c.entries = append(c.entries, entry.(candidate)) }

// Pop implements heap.Interface.
func (c *candidateHeap) Pop() any {
	last := c.entries[len(c.entries)-1]
	c.entries = c.entries[:len(c.entries)-1]
	return last
}

func (c candidate) before(other candidate) bool {
	if c.score != other.score {
		return c.score < other.score
	}
	return c.engine < other.engine
}

func newPass(plan *Plan, engines []Engine, now time.Time) *pass {
	medianPace, best := plan.medianAndBestPace()
	p := &pass{
		plan: plan, now: now, engines: engines, medianPace: medianPace, bestPace: best,
		expectedRunTime: plan.expectedRunTime(best),
		byID:            make(map[incarnation.ID]int, len(engines)), classes: make(map[class]*candidateHeap),
		idle:       make(map[*jobRank]int),
		startsLeft: make([]int, len(engines)), arriving: plan.arrivalsByEngine(),
	}
	if len(plan.speeds.classes) > 0 {
		p.speeds, p.projected = plan.speeds.classes, plan.projectedByEngine()
	}
	for i := range engines {
		p.byID[engines[i].ID] = i
		p.startsLeft[i] = unbounded
		if engines[i].Cold {
			p.startsLeft[i] = engines[i].MaxStarts
		}
	}
	return p
}

// candidatesFor returns the engines that may run items of the item's class.
func (p *pass) candidatesFor(item *Item) *candidateHeap {
	key := p.classOf(item)
	if p.latest != nil && p.latest.class == key {
		return p.latest
	}
	candidates, found := p.classes[key]
	if found {
		p.latest = candidates
		return candidates
	}
	candidates = &candidateHeap{class: key}
	for i := range p.engines {
		engine := &p.engines[i]
		if !p.eligible(engine, key) {
			continue
		}
		if p.expectedRunTime > 0 && p.isFast(engine) {
			candidates.fastRunning += p.plan.runningCount[engine.ID]
		}
		if p.hasSlot(engine) {
			candidates.entries = append(candidates.entries, candidate{i, p.score(engine, key.avoidsFast)})
		}
	}
	heap.Init(candidates)
	p.classes[key], p.latest = candidates, candidates
	return candidates
}

// isServed reports whether an engine that has not recently failed may run items of a class, regardless of free slots.
func (p *pass) isServed(key class) bool {
	for i := range p.engines {
		if p.eligible(&p.engines[i], key) {
			return true
		}
	}
	return false
}

// canServe reports whether an engine can start items of a class now.
func (p *pass) canServe(engine *Engine, key class) bool {
	return p.eligible(engine, key) && p.hasSlot(engine)
}

// eligible reports whether an engine may run items of a class, regardless of free slots.
func (p *pass) eligible(engine *Engine, key class) bool { return engine.eligible(key) }

// eligible reports whether the engine may run items of a class, regardless of free slots.
func (engine *Engine) eligible(key class) bool {
	if !engine.Usable && !(engine.Suspected && key.allowsFailing) || engine.Service != key.service || engine.Loading != "" && engine.Loading == key.model {
		return false
	}
	return engine.Versions[key.model] >= key.minVersion
}

func (p *pass) hasSlot(engine *Engine) bool {
	return p.plan.runningCount[engine.ID]+p.arriving[engine.ID].running < engine.Slots && p.startsLeft[p.byID[engine.ID]] > 0
}

// countStart counts an item that was assigned to an engine in this pass.
func (p *pass) countStart(item Item, engine incarnation.ID) {
	p.startsLeft[p.byID[engine]]--
	if p.speeds[item.Service] != nil {
		p.projected[engine] += p.plan.projectedNeed(item.Prompt, item.Tokens, item.Events)
	}
}

// score returns the pace expected at the engine with one more item, relative to the median pace;
// lower is better. avoidsFast is that of the item's class.
func (p *pass) score(engine *Engine, avoidsFast bool) float64 {
	if avoidsFast && p.keptForLongItems(engine) {
		return keptScore * p.occupancyFactor(engine) * p.memoryPressure(engine)
	}
	score := 1.0
	if pace, found := p.plan.paces[engine.ID]; found && p.medianPace > 0 {
		score = float64(pace) / float64(p.medianPace)
	}
	return score * p.occupancyFactor(engine) * p.memoryPressure(engine)
}

// occupancyFactor returns the factor by which an engine is expected to slow down due to the number of its items.
func (p *pass) occupancyFactor(engine *Engine) float64 {
	return 1 + occupancyCost*float64(p.plan.runningCount[engine.ID])
}

// memoryPressure returns the factor by which an engine is expected to slow down due to its
// reserved memory.
func (p *pass) memoryPressure(engine *Engine) float64 {
	if engine.Tokens <= 0 {
		return 1
	}
	reserved := float64(p.plan.reservedTokens[engine.ID]) / float64(engine.Tokens)
	if p.speeds[engine.Service] != nil {
		reserved = p.projected[engine.ID] / float64(engine.Tokens)
	}
	return 1 + memoryPressureCost*max(0, reserved-memoryPressureThreshold)
}

// choose returns the best engine for an item, or why it waits.
func (p *pass) choose(item Item) (incarnation.ID, WaitReason) {
	if len(p.plan.preferred) > 0 {
		if engine, found := p.preferredEngine(item); found {
			return engine, NotWaiting
		}
	}
	candidates := p.candidatesFor(&item)
	if candidates.blocked && p.need(&item) > candidates.freeTokens {
		return incarnation.ID{}, p.blockedReason(&item, candidates)
	}
	best, found := p.best(item, candidates)
	groupEngine, isGroupEngine := p.groupEngine(item, candidates)
	if isGroupEngine && (!found || groupEngine.before(best)) {
		best, found = groupEngine, true
	}
	if !found {
		if item.Avoid.IsZero() && item.SameVersion == 0 {
			p.markBlocked(candidates)
		}
		return incarnation.ID{}, p.waitReason(&item, candidates)
	}
	if !candidates.class.overdue && p.worthWaiting(item, &p.engines[best.engine], candidates) {
		candidates.deferred++
		return incarnation.ID{}, FasterEngine
	}
	return p.engines[best.engine].ID, NotWaiting
}

// best returns the candidate with the lowest score that fits the item.
func (p *pass) best(item Item, candidates *candidateHeap) (candidate, bool) {
	var unfit []candidate
	defer func() {
		for _, each := range unfit {
			heap.Push(candidates, each)
		}
	}()
	for candidates.Len() > 0 {
		top := &candidates.entries[0]
		engine := &p.engines[top.engine]
		if !p.hasSlot(engine) {
			heap.Pop(candidates)
			continue
		}
		if score := p.score(engine, candidates.class.avoidsFast); score != top.score {
			top.score = score
			heap.Fix(candidates, 0)
			continue
		}
		if p.fits(item, engine) {
			return *top, true
		}
		unfit = append(unfit, heap.Pop(candidates).(candidate))
	}
	return candidate{}, false
}

// groupEngine returns the engine of the latest item of the item's group, with groupBonus applied,
// if it can take the item.
func (p *pass) groupEngine(item Item, candidates *candidateHeap) (candidate, bool) {
	index, known := p.byID[p.plan.groupEngines[item.Group]]
	if !known {
		return candidate{}, false
	}
	engine := &p.engines[index]
	if !p.canServe(engine, candidates.class) || !p.fits(item, engine) {
		return candidate{}, false
	}
	return candidate{index, p.score(engine, candidates.class.avoidsFast) - groupBonus}, true
}

// fits reports whether an engine that serves the item's class meets the item's own constraints.
func (p *pass) fits(item Item, engine *Engine) bool {
	if engine.ID == item.Avoid && p.avoids(&item, engine) || p.isReservedForOther(&item, engine) {
		return false
	}
	return engine.mayContinue(&item) && p.need(&item) <= p.freeTokens(engine)
}

// mayContinue reports whether the engine's weight version may continue the item's output.
func (engine *Engine) mayContinue(item *Item) bool {
	return item.SameVersion == 0 || engine.Versions[item.Model] == item.SameVersion
}

// avoids reports whether an item waits for another engine than the one of its failed run: if another one may run it, and
// for a bounded time.
func (p *pass) avoids(item *Item, failed *Engine) bool {
	key := p.classOf(item)
	if key.overdue {
		return false
	}
	return p.hasEngineFor(item, key, failed.ID)
}

// hasEngineFor reports whether an engine other than the given one may run an item, regardless of free slots.
func (p *pass) hasEngineFor(item *Item, key class, other incarnation.ID) bool {
	for i := range p.engines {
		engine := &p.engines[i]
		if engine.ID != other && p.eligible(engine, key) && engine.mayContinue(item) {
			return true
		}
	}
	return false
}

// need returns the memory, in tokens, that has to be free at an engine to take an item.
func (p *pass) need(item *Item) int {
	if p.speeds == nil || p.speeds[item.Service] == nil {
		return item.Tokens
	}
	return int(math.Ceil(p.plan.projectedNeed(item.Prompt, item.Tokens, item.Events)))
}

// unbounded is the free memory of an engine, or the number of permitted starts, if there is no limit.
const unbounded = int(^uint(0) >> 1)

// freeTokens returns the memory, in tokens, that can still be reserved at an engine, or with classes the memory
// that is projected to stay free. An idle engine takes an item of any size.
func (p *pass) freeTokens(engine *Engine) int {
	if engine.Tokens <= 0 || p.plan.runningCount[engine.ID] == 0 {
		return unbounded
	}
	return p.unreservedTokens(engine)
}

// unreservedTokens returns the part of an engine's known memory, in tokens, that can still be reserved, or with classes
// that is projected to stay free.
func (p *pass) unreservedTokens(engine *Engine) int {
	if p.speeds[engine.Service] != nil {
		return engine.Tokens - int(math.Ceil(p.projected[engine.ID]))
	}
	return memoryOvercommit*engine.Tokens - p.plan.reservedTokens[engine.ID]
}

// markBlocked records that no engine of a class could take an item without constraints of its own.
func (p *pass) markBlocked(candidates *candidateHeap) {
	candidates.blocked, candidates.freeTokens = true, -1
	for _, entry := range candidates.entries {
		candidates.freeTokens = max(candidates.freeTokens, p.freeTokens(&p.engines[entry.engine]))
	}
}
