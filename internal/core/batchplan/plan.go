// Package batchplan schedules the items of batch jobs on engines. It performs no I/O and reads no
// clock; callers pass the current time.
//
// Start order determines when the last group of a job is complete: jobs start by priority, then by
// age; within a job, items expected to be long come first, then items of unknown length, then items
// known to be short. An item is assigned to the engine that is expected to generate its tokens
// fastest. The items of a group share a prompt, so they are preferably assigned to the same engine.
package batchplan

import (
	"maps"
	"slices"
	"time"

	"github.com/corkpulley/corkpulley/internal/core/incarnation"
)

// Key identifies an item: the job's ID and the item's index in it.
type Key struct {
	Job  string
	Item int
}

// Item is an item to run.
type Item struct {
	Key     Key
	Service string
	Model   string
	// MinVersion is the oldest weight version that may generate its tokens.
	MinVersion int64
	// SameVersion is the only version that may continue the item; zero for any.
	SameVersion int64
	// IdleSince is the time since which an item with SameVersion has made no progress.
	IdleSince time.Time
	Group     string
	// Length is the expected output length in tokens; zero when unknown.
	Length int
	// Tokens is the memory that it is expected to need at an engine, in tokens; Prompt is the part of it that its
	// prompt needs.
	Tokens int
	Prompt int
	// WaitingSince is when the item was queued after its latest event; zero when unknown.
	WaitingSince time.Time
	// NotBefore is the earliest start after a failure.
	NotBefore time.Time
	// Avoid is the engine of the latest failed run.
	Avoid incarnation.ID
	// Events is the number of its events received in earlier runs. Passes sort items by value, so that each word counts.
	Events int32
}

// Engine is the state of an engine.
type Engine struct {
	ID      incarnation.ID
	Service string
	Slots   int
	// Tokens is its memory in tokens; zero when unknown.
	Tokens   int
	Versions map[string]int64
	// Loading is the model whose weights are being loaded; empty for none.
	Loading string
	// Usable is false for engines that accept no new work or have recently failed. Suspected is true for those that are
	// not usable only because they have recently failed, Leaving for those that drain or whose zone is evacuated.
	Usable    bool
	Suspected bool
	Leaving   bool
	// Cold is true for an engine in its slow start, which may be assigned at most MaxStarts items now.
	Cold      bool
	MaxStarts int
}

// Assignment is an item that starts at an engine.
type Assignment struct {
	Item   Item
	Engine incarnation.ID
	// Restart is why the item starts over without its output; NoRestart if it does not.
	Restart RestartReason
	// Wait is why the item waited last.
	Wait Wait
	// Running is the number of items that the engine already runs.
	Running int
	// Surplus is true if the item started after others because its submitter does not wait for its group.
	Surplus bool
	// Pace is the engine's mean time between events; zero when unknown.
	Pace time.Duration
	// Fast is true if the engine is in the fast class of its service, Long if the item counts as long. Both are false
	// if the service has no classes.
	Fast bool
	Long bool
}

// paceWeight is the weight of a new observation in the moving average of an engine's pace.
const paceWeight = 0.1

// Plan holds the waiting and the running items.
type Plan struct {
	// jobs holds the jobs by ID, order the same jobs in start order.
	jobs    map[string]*jobRank
	order   []*jobRank
	waiting map[Key]Item
	// waits holds why each waiting item waits, once that is known.
	waits map[Key]Wait
	// reservations holds the engines that take no other items until an overdue one has the memory that it needs.
	reservations map[incarnation.ID]Key
	running      map[Key]placement
	// runningCount is the number of running items of each engine; idle engines have no entry.
	runningCount map[incarnation.ID]int
	// reservedTokens is the memory that the running items of each engine are expected to need.
	reservedTokens map[incarnation.ID]int
	// paces is the moving average of the time between events of each engine.
	paces map[incarnation.ID]time.Duration
	// groupEngines is the engine of the latest started item of each group.
	groupEngines map[string]incarnation.ID
	// speeds holds the speed classes of the engines.
	speeds speeds
	// preferred is the engine at which a moved item starts if that can take it.
	preferred map[Key]incarnation.ID
	// lengthSum and eventCount are decaying sums of the expected lengths of completed items and of
	// their actual numbers of events.
	lengthSum  float64
	eventCount float64
	// runningLength is the sum of the expected lengths of the running items.
	runningLength int
	// due orders the jobs while items outnumber free slots; nil if they start in the order of their arrival.
	due *dueOrder
}

// lengthDecay is the factor applied to older observations at each new one.
const lengthDecay = 0.995

// ObserveLength records the number of events of a completed item of the given expected length.
func (p *Plan) ObserveLength(length int, eventCount int64) {
	if length <= 0 || eventCount <= 0 {
		return
	}
	p.lengthSum = lengthDecay*p.lengthSum + float64(length)
	p.eventCount = lengthDecay*p.eventCount + float64(eventCount)
}

// expectedEvents returns the expected number of events of an item of the given expected length;
// zero when nothing was observed.
func (p *Plan) expectedEvents(length int) float64 {
	if p.lengthSum == 0 {
		return 0
	}
	return float64(length) * p.eventCount / p.lengthSum
}

func New() *Plan {
	return &Plan{
		jobs:           make(map[string]*jobRank),
		waiting:        make(map[Key]Item),
		waits:          make(map[Key]Wait),
		reservations:   make(map[incarnation.ID]Key),
		running:        make(map[Key]placement),
		reservedTokens: make(map[incarnation.ID]int),
		runningCount:   make(map[incarnation.ID]int),
		paces:          make(map[incarnation.ID]time.Duration),
		groupEngines:   make(map[string]incarnation.ID),
		speeds:         newSpeeds(),
		preferred:      make(map[Key]incarnation.ID),
	}
}

// Add adds an item to the queue, initially or after a failed run. It replaces a waiting item with the same key.
func (p *Plan) Add(item Item) {
	if _, found := p.jobs[item.Key.Job]; !found {
		p.AddJob(Job{ID: item.Key.Job, Model: item.Model})
	}
	p.waiting[item.Key] = item
	p.due.itemWaits(item, p.jobs[item.Key.Job].pool(item.Service))
}

// Remove removes an item, whether it waits or runs.
func (p *Plan) Remove(key Key) {
	delete(p.waiting, key)
	delete(p.waits, key)
	p.due.itemDone(key)
	delete(p.preferred, key)
	p.Ended(key)
}

// Ended records that an item no longer runs.
func (p *Plan) Ended(key Key) {
	placed, found := p.running[key]
	if !found {
		return
	}
	delete(p.running, key)
	p.runningLength -= placed.length
	p.runningCount[placed.engine]--
	p.reservedTokens[placed.engine] -= placed.reservedTokens
	if p.runningCount[placed.engine] == 0 {
		delete(p.runningCount, placed.engine)
		delete(p.reservedTokens, placed.engine)
	}
}

// placement is the engine of a running item and what the item takes up there.
type placement struct {
	service        string
	engine         incarnation.ID
	reservedTokens int
	length         int
	// events is the number of the item's events so far, prompt the part of reservedTokens that its prompt needs.
	events int32
	prompt int
}

// Running returns the number of items that the engine runs.
func (p *Plan) Running(engine incarnation.ID) int { return p.runningCount[engine] }

// MemoryOvercommitted reports whether the items that an engine runs are together expected to exceed
// its memory, in tokens, although the given one alone fits. The memory of items is estimated:
// prompts are known, outputs are what the submitter expects, or half of the most. The sum errs either way,
// by up to a third for a few items and less for many; items that run longer than expected make it too small.
func (p *Plan) MemoryOvercommitted(key Key, engine incarnation.ID, memory int) bool {
	placed, found := p.running[key]
	return found && memory > 0 && placed.reservedTokens <= memory && p.reservedTokens[engine] > memory
}

// AllRunning returns the number of running items of each engine that runs any.
func (p *Plan) AllRunning() map[incarnation.ID]int { return maps.Clone(p.runningCount) }

// Waiting returns the number of waiting items.
func (p *Plan) Waiting() int { return len(p.waiting) }

// WaitingItems returns the waiting items, in no particular order.
func (p *Plan) WaitingItems() []Item { return slices.Collect(maps.Values(p.waiting)) }

// Items returns the number of waiting and running items of each service.
func (p *Plan) Items() map[string]int {
	items := make(map[string]int)
	for _, item := range p.waiting {
		items[item.Service]++
	}
	for _, placed := range p.running {
		items[placed.service]++
	}
	return items
}

// WaitingByModel returns the number of waiting items of each model.
func (p *Plan) WaitingByModel() map[string]int {
	waiting := make(map[string]int)
	for _, item := range p.waiting {
		waiting[item.Model]++
	}
	return waiting
}

// ObservePace records the time between two events of an item at the engine.
func (p *Plan) ObservePace(engine incarnation.ID, interval time.Duration) {
	known, found := p.paces[engine]
	if !found {
		p.paces[engine] = interval
		return
	}
	p.paces[engine] = known + time.Duration(paceWeight*float64(interval-known))
}

// Pace returns the engine's mean time between events; zero when unknown.
func (p *Plan) Pace(engine incarnation.ID) time.Duration { return p.paces[engine] }

// BestPace returns the lower quartile of the engines' paces, which is robust to single outliers;
// zero when unknown.
func (p *Plan) BestPace() time.Duration {
	_, best := p.medianAndBestPace()
	return best
}

// medianAndBestPace returns the median and the lower quartile of the engines' paces; zero when unknown.
func (p *Plan) medianAndBestPace() (median, best time.Duration) {
	if len(p.paces) == 0 {
		return 0, 0
	}
	paces := slices.Sorted(maps.Values(p.paces))
	return paces[len(paces)/2], paces[len(paces)/4]
}

// ForgetEngines drops the observations of engines that are gone.
func (p *Plan) ForgetEngines(gone func(engine incarnation.ID) bool) {
	maps.DeleteFunc(p.paces, func(engine incarnation.ID, _ time.Duration) bool { return gone(engine) })
	p.speeds.forget(gone)
}

// Assign assigns waiting items to engines with free slots, records that they run, and returns the assignments.
func (p *Plan) Assign(now time.Time, engines []Engine) []Assignment {
	if len(p.waiting) == 0 {
		return nil
	}
	pass := newPass(p, engines, now)
	pass.dropReservations()
	var assigned []Assignment
	queue := p.startOrder(pass)
	p.recordDelayed(now, len(queue))
	p.movedFirst(queue)
	for _, item := range queue {
		item, engine, restart, reason := pass.chooseOrRestart(item)
		if reason != NotWaiting {
			p.setWaitReason(item.Key, now, reason)
			if reason == NoMemory && p.isOverdue(item.Key) {
				pass.reserve(&item)
			}
			continue
		}
		wait := p.waits[item.Key]
		delete(p.waiting, item.Key)
		delete(p.waits, item.Key)
		classes := p.speeds.classes[item.Service]
		assigned = append(assigned, Assignment{
			Item: item, Engine: engine, Restart: restart, Wait: wait, Running: p.runningCount[engine], Pace: p.paces[engine],
			Surplus: p.startsAsSurplus(item.Key, now),
			Fast:    classes.IsFast(engine), Long: p.isLong(classes, &item),
		})
		if restart != NoRestart {
			item = item.withoutOutput()
		}
		p.recordStart(item, engine, now)
		pass.countStart(item, engine)
	}
	return assigned
}

// recordStart records that an item runs at an engine.
func (p *Plan) recordStart(item Item, engine incarnation.ID, now time.Time) {
	p.running[item.Key] = placement{
		service: item.Service, engine: engine, reservedTokens: item.Tokens, length: item.Length,
		prompt: item.Prompt, events: item.Events,
	}
	delete(p.preferred, item.Key)
	p.releaseReservation(item.Key)
	p.runningLength += item.Length
	p.runningCount[engine]++
	p.reservedTokens[engine] += item.Tokens
	p.groupEngines[item.Group] = engine
	p.due.itemStarted(item.Key, now)
}
