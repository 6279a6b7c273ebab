package batchplan

import (
	"container/heap"
	"time"

	"github.com/corkpulley/corkpulley/internal/core/incarnation"
)

const (
	// occupancyCost is the share by which each running item slows an engine.
	occupancyCost = 0.006
	// homeBonus is the share of its score that a group's engine is spared.
	homeBonus = 0.05
	// memoryCost is the share by which an engine is expected to be slower for each time
	// that its memory is given away beyond the part memoryRoom of it: an engine whose
	// memory runs out interrupts an item, for a second or more, until others have ended.
	memoryCost = 0.5
	memoryRoom = 0.75
	// memoryOvercommit is how often an engine's memory may be given away: items grow
	// into theirs, end at different times, and their lengths are estimates.
	memoryOvercommit = 2
)

// pass is one look at the whole queue. While it lasts engines only fill up: their
// scores only rise, and what found no engine once finds none later. So each class
// of items keeps its engines in a heap, whose top is looked at anew before use.
type pass struct {
	plan    *Plan
	now     time.Time
	engines []Engine
	// byID holds the places of the engines in the slice.
	byID map[incarnation.ID]int
	// starts is how many items each engine may still be given in this pass.
	starts  []int
	typical time.Duration
	// bestPace is the pace of the fast engines, turnover the time that a running item is
	// expected to take there; both are zero when unknown.
	bestPace time.Duration
	turnover time.Duration
	classes  map[class]*candidates
}

// class is what decides which engines may run an item at all.
type class struct {
	service    string
	model      string
	minVersion int64
}

// candidates are the engines that may run items of a class, the best first. It
// implements heap.Interface.
type candidates struct {
	entries []candidate
	// blocked is true once an item found no engine; then freeTokens is the most
	// memory that one of them had left.
	blocked    bool
	freeTokens int
	// fastRunning counts the items at fast engines of the class when the pass began,
	// left those that were left to wait for one of them.
	fastRunning int
	left        int
}

type candidate struct {
	// engine is the place in the pass's slice, which decides between equal scores.
	engine int
	score  float64
}

func (c *candidates) Len() int { return len(c.entries) }

func (c *candidates) Less(i, j int) bool { return c.entries[i].before(c.entries[j]) }

func (c *candidates) Swap(i, j int) { c.entries[i], c.entries[j] = c.entries[j], c.entries[i] }

// Push implements heap.Interface.
func (c *candidates) Push(entry any) { c.entries = append(c.entries, entry.(candidate)) }

// Pop implements heap.Interface.
func (c *candidates) Pop() any {
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
	typical, best := plan.typicalAndBestPace()
	p := &pass{
		plan: plan, now: now, engines: engines, typical: typical, bestPace: best, turnover: plan.turnover(best),
		byID: make(map[incarnation.ID]int, len(engines)), classes: make(map[class]*candidates),
		starts: make([]int, len(engines)),
	}
	for i := range engines {
		p.byID[engines[i].ID] = i
		p.starts[i] = unbounded
		if engines[i].Cold {
			p.starts[i] = engines[i].Starts
		}
	}
	return p
}

// classOf returns the engines that may run an item.
func (p *pass) classOf(item Item) *candidates {
	key := class{item.Service, item.Model, item.MinVersion}
	known, found := p.classes[key]
	if found {
		return known
	}
	known = &candidates{}
	for i := range p.engines {
		engine := &p.engines[i]
		if !p.eligible(engine, key) {
			continue
		}
		if p.turnover > 0 && p.isFast(engine) {
			known.fastRunning += p.plan.count[engine.ID]
		}
		if p.hasSlot(engine) {
			known.entries = append(known.entries, candidate{i, p.score(engine)})
		}
	}
	heap.Init(known)
	p.classes[key] = known
	return known
}

// serves tells whether an engine may run items of a class now.
func (p *pass) serves(engine *Engine, key class) bool {
	return p.eligible(engine, key) && p.hasSlot(engine)
}

// eligible tells whether an engine may run items of a class while it has room.
func (p *pass) eligible(engine *Engine, key class) bool {
	if !engine.Usable || engine.Service != key.service || engine.Loading != "" && engine.Loading == key.model {
		return false
	}
	return engine.Versions[key.model] >= key.minVersion
}

func (p *pass) hasSlot(engine *Engine) bool {
	return p.plan.count[engine.ID] < engine.Slots && p.starts[p.byID[engine.ID]] > 0 && !p.isolated(engine)
}

// began notes that the pass gave an item to an engine.
func (p *pass) began(engine incarnation.ID) { p.starts[p.byID[engine]]-- }

// isolated tells whether an engine takes nothing beside a suspect item. Most of the time there
// is none.
func (p *pass) isolated(engine *Engine) bool {
	return len(p.plan.isolatedUntil) > 0 && p.now.Before(p.plan.isolatedUntil[engine.ID])
}

// score is the time between events expected at the engine with one item more, in
// units of the typical one.
func (p *pass) score(engine *Engine) float64 {
	score := 1.0
	if pace, found := p.plan.paces[engine.ID]; found && p.typical > 0 {
		score = float64(pace) / float64(p.typical)
	}
	return score * (1 + occupancyCost*float64(p.plan.count[engine.ID])) * p.memoryPressure(engine)
}

// memoryPressure is the factor by which an engine is expected to be slower for what was
// given away of its memory.
func (p *pass) memoryPressure(engine *Engine) float64 {
	if engine.Tokens <= 0 {
		return 1
	}
	given := float64(p.plan.tokens[engine.ID]) / float64(engine.Tokens)
	return 1 + memoryCost*max(0, given-memoryRoom)
}

// choose returns the best engine for an item.
func (p *pass) choose(item Item) (incarnation.ID, bool) {
	if item.Suspect {
		return p.chooseApart(item)
	}
	of := p.classOf(item)
	if of.blocked && item.Tokens > of.freeTokens {
		return incarnation.ID{}, false
	}
	best, found := p.best(item, of)
	if home, isHome := p.home(item, of); isHome && (!found || home.before(best)) {
		best, found = home, true
	}
	if !found {
		if item.Avoid.IsZero() && item.SameVersion == 0 {
			p.block(of)
		}
		return incarnation.ID{}, false
	}
	if p.worthWaiting(item, &p.engines[best.engine], of) {
		of.left++
		return incarnation.ID{}, false
	}
	return p.engines[best.engine].ID, true
}

// chooseApart returns the engine for a suspect item: the one where the last item began
// longest ago, since whatever ends engines does so soon after it begins.
func (p *pass) chooseApart(item Item) (incarnation.ID, bool) {
	key := class{item.Service, item.Model, item.MinVersion}
	var best *Engine
	for i := range p.engines {
		engine := &p.engines[i]
		if !p.serves(engine, key) || !p.fits(item, engine) {
			continue
		}
		if best == nil || p.plan.startedAt[engine.ID].Before(p.plan.startedAt[best.ID]) {
			best = engine
		}
	}
	if best == nil {
		return incarnation.ID{}, false
	}
	return best.ID, true
}

// best returns the candidate with the lowest score that fits the item itself.
func (p *pass) best(item Item, of *candidates) (candidate, bool) {
	var unfit []candidate
	defer func() {
		for _, each := range unfit {
			heap.Push(of, each)
		}
	}()
	for of.Len() > 0 {
		top := &of.entries[0]
		engine := &p.engines[top.engine]
		if !p.hasSlot(engine) {
			heap.Pop(of)
			continue
		}
		if score := p.score(engine); score != top.score {
			top.score = score
			heap.Fix(of, 0)
			continue
		}
		if p.fits(item, engine) {
			return *top, true
		}
		unfit = append(unfit, heap.Pop(of).(candidate))
	}
	return candidate{}, false
}

// home returns the engine of the item's group with its bonus, if it can take the
// item.
func (p *pass) home(item Item, of *candidates) (candidate, bool) {
	place, known := p.byID[p.plan.homes[item.Group]]
	if !known {
		return candidate{}, false
	}
	engine := &p.engines[place]
	if !p.serves(engine, class{item.Service, item.Model, item.MinVersion}) || !p.fits(item, engine) {
		return candidate{}, false
	}
	return candidate{place, p.score(engine) - homeBonus}, true
}

// fits tells whether an engine that serves the item's class suits the item itself.
func (p *pass) fits(item Item, engine *Engine) bool {
	if engine.ID == item.Avoid && len(p.plan.paces) > 1 {
		return false
	}
	if item.SameVersion != 0 && engine.Versions[item.Model] != item.SameVersion {
		return false
	}
	return item.Tokens <= p.freeTokens(engine)
}

// unbounded is the memory left at an engine that takes any item, and the starts at one that is not cold.
const unbounded = int(^uint(0) >> 1)

// freeTokens is the memory that an engine may still give away. One that runs
// nothing takes any item.
func (p *pass) freeTokens(engine *Engine) int {
	if engine.Tokens <= 0 || p.plan.count[engine.ID] == 0 {
		return unbounded
	}
	return memoryOvercommit*engine.Tokens - p.plan.tokens[engine.ID]
}

// block notes that no engine of a class takes what an item without wishes of its
// own asks.
func (p *pass) block(of *candidates) {
	of.blocked, of.freeTokens = true, -1
	for _, entry := range of.entries {
		of.freeTokens = max(of.freeTokens, p.freeTokens(&p.engines[entry.engine]))
	}
}
