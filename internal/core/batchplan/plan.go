// Package batchplan decides which item of a batch job runs at which engine, and
// when. It has no input, output or clock; every event comes with its time.
//
// The order in which items start decides when the last group of a job is whole:
// older jobs come first, in a job the items that are expected to be long, then those
// of unknown length, then those known to be short. An item goes to the engine that is expected to make its tokens
// fastest; the items of a group stay together while there is room, since they
// share their prompt.
package batchplan

import (
	"maps"
	"slices"
	"time"

	"github.com/corkpulley/corkpulley/internal/core/incarnation"
)

// Key names an item of a job.
type Key struct {
	Job  string
	Item int
}

// Item is one item to run.
type Item struct {
	Key     Key
	Service string
	Model   string
	// MinVersion is the oldest weight version that may make its tokens.
	MinVersion int64
	// SameVersion is the only version that may continue the item; zero for any.
	SameVersion int64
	Group       string
	// Length is the expected output; zero when unknown.
	Length int
	// Tokens is the memory that it is expected to take at an engine.
	Tokens int
	// NotBefore holds the item back after a failure.
	NotBefore time.Time
	// Avoid is the engine that failed it last.
	Avoid incarnation.ID
	// Suspect: engines have ended while they ran the item among others. It begins apart, so
	// that the next end tells whether it was this one; see IsolationTime.
	Suspect bool
}

// Engine is an engine as the plan sees it.
type Engine struct {
	ID      incarnation.ID
	Service string
	Slots   int
	// Tokens is its memory; zero when unknown.
	Tokens   int
	Versions map[string]int64
	// Loading names the model whose weights the engine is changing; empty for none.
	Loading string
	// Usable is false for engines that leave or failed just now.
	Usable bool
	// Cold is true for one that takes only so many items now, Starts, since it started just now.
	Cold   bool
	Starts int
}

// Assignment sends an item to an engine.
type Assignment struct {
	Item   Item
	Engine incarnation.ID
	// Running is the number of items at the engine before this one.
	Running int
	// Pace is the time between events expected there; zero when unknown.
	Pace time.Duration
}

// paceWeight is the weight of a new observation in an engine's moving mean.
const paceWeight = 0.1

// IsolationTime is how long after a suspect item has begun its engine takes no other item.
// What ends engines does so soon after it begins.
const IsolationTime = 2 * time.Second

// Plan holds the waiting and the running items.
type Plan struct {
	// jobs holds the known jobs, order the same in the order in which their items start.
	jobs    map[string]*jobRank
	order   []*jobRank
	waiting map[Key]Item
	running map[Key]placed
	// count is the number of running items of each engine.
	count map[incarnation.ID]int
	// tokens is the memory expected of the running items of each engine.
	tokens map[incarnation.ID]int
	// startedAt is when an item began last at each engine, isolatedUntil the time until which
	// an engine takes no item beside a suspect one.
	startedAt     map[incarnation.ID]time.Time
	isolatedUntil map[incarnation.ID]time.Time
	// paces is the moving mean of the time between events of each engine.
	paces map[incarnation.ID]time.Duration
	// homes is the engine of each group's latest item.
	homes map[string]incarnation.ID
	// lengths and events sum up the lengths that were expected of whole items and the
	// events that they came to have.
	lengths float64
	events  float64
	// runningLength is the sum of the lengths expected of the running items.
	runningLength int
}

// lengthMemory is what a new observation leaves of the older ones.
const lengthMemory = 0.995

// ObserveLength notes how many events an item of an expected length came to have.
func (p *Plan) ObserveLength(length int, events int64) {
	if length <= 0 || events <= 0 {
		return
	}
	p.lengths = lengthMemory*p.lengths + float64(length)
	p.events = lengthMemory*p.events + float64(events)
}

// expectedEvents is the number of events that an item of the length is expected to
// have; zero when nothing is known.
func (p *Plan) expectedEvents(length int) float64 {
	if p.lengths == 0 {
		return 0
	}
	return float64(length) * p.events / p.lengths
}

// New returns an empty plan.
func New() *Plan {
	return &Plan{
		jobs:          make(map[string]*jobRank),
		waiting:       make(map[Key]Item),
		running:       make(map[Key]placed),
		tokens:        make(map[incarnation.ID]int),
		count:         make(map[incarnation.ID]int),
		startedAt:     make(map[incarnation.ID]time.Time),
		isolatedUntil: make(map[incarnation.ID]time.Time),
		paces:         make(map[incarnation.ID]time.Duration),
		homes:         make(map[string]incarnation.ID),
	}
}

// Add puts an item into the queue, for the first time or again.
func (p *Plan) Add(item Item) {
	if _, found := p.jobs[item.Key.Job]; !found {
		p.AddJob(Job{ID: item.Key.Job, Model: item.Model})
	}
	p.waiting[item.Key] = item
}

// Remove takes an item out, whether it waits or runs.
func (p *Plan) Remove(key Key) {
	delete(p.waiting, key)
	p.Ended(key)
}

// Ended notes that an item no longer runs.
func (p *Plan) Ended(key Key) {
	place, found := p.running[key]
	if !found {
		return
	}
	delete(p.running, key)
	p.runningLength -= place.length
	p.count[place.engine]--
	p.tokens[place.engine] -= place.tokens
	if place.suspect {
		delete(p.isolatedUntil, place.engine)
	}
	if p.count[place.engine] == 0 {
		delete(p.count, place.engine)
		delete(p.tokens, place.engine)
	}
}

// placed is where an item runs.
type placed struct {
	service string
	engine  incarnation.ID
	tokens  int
	length  int
	suspect bool
}

// Running returns the number of items at the engine.
func (p *Plan) Running(engine incarnation.ID) int { return p.count[engine] }

// Crowded tells whether the running items of an engine are expected to need more than its memory together, though
// the named one fits by itself.
//
// What items need is estimated: prompts are known, outputs are what the submitter expects, or half of the most.
// So the sum errs either way, by up to a third for a few items and less for many; items that run longer than
// expected make it too small.
func (p *Plan) Crowded(key Key, engine incarnation.ID, memory int) bool {
	place, found := p.running[key]
	return found && memory > 0 && place.tokens <= memory && p.tokens[engine] > memory
}

// AllRunning returns the number of items at each engine, where some run.
func (p *Plan) AllRunning() map[incarnation.ID]int { return maps.Clone(p.count) }

// Waiting returns the number of waiting items.
func (p *Plan) Waiting() int { return len(p.waiting) }

// Items returns the number of waiting and running items of each service.
func (p *Plan) Items() map[string]int {
	items := make(map[string]int)
	for _, item := range p.waiting {
		items[item.Service]++
	}
	for _, place := range p.running {
		items[place.service]++
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

// ObservePace notes the time between two events of an item at the engine.
func (p *Plan) ObservePace(engine incarnation.ID, pause time.Duration) {
	known, found := p.paces[engine]
	if !found {
		p.paces[engine] = pause
		return
	}
	p.paces[engine] = known + time.Duration(paceWeight*float64(pause-known))
}

// Pace returns the engine's time between events; zero when unknown.
func (p *Plan) Pace(engine incarnation.ID) time.Duration { return p.paces[engine] }

// BestPace is the lower quartile over all engines, which one engine that was
// measured wrongly does not move; zero when unknown.
func (p *Plan) BestPace() time.Duration {
	_, best := p.typicalAndBestPace()
	return best
}

// typicalAndBestPace returns the median over all engines and the lower quartile;
// zero when unknown.
func (p *Plan) typicalAndBestPace() (typical, best time.Duration) {
	if len(p.paces) == 0 {
		return 0, 0
	}
	paces := slices.Sorted(maps.Values(p.paces))
	return paces[len(paces)/2], paces[len(paces)/4]
}

// ForgetEngines drops what is known of engines that are gone.
func (p *Plan) ForgetEngines(gone func(engine incarnation.ID) bool) {
	maps.DeleteFunc(p.paces, func(engine incarnation.ID, _ time.Duration) bool { return gone(engine) })
	maps.DeleteFunc(p.startedAt, func(engine incarnation.ID, _ time.Time) bool { return gone(engine) })
}

// Assign starts waiting items at engines with room and returns what it started.
func (p *Plan) Assign(now time.Time, engines []Engine) []Assignment {
	if len(p.waiting) == 0 {
		return nil
	}
	pass := newPass(p, engines, now)
	var assigned []Assignment
	for _, item := range p.queue(now) {
		engine, found := pass.choose(item)
		if !found {
			continue
		}
		delete(p.waiting, item.Key)
		assigned = append(assigned, Assignment{
			Item: item, Engine: engine, Running: p.count[engine], Pace: p.paces[engine],
		})
		p.place(item, engine, now)
		pass.began(engine)
	}
	return assigned
}

// place notes that an item runs at an engine.
func (p *Plan) place(item Item, engine incarnation.ID, now time.Time) {
	p.running[item.Key] = placed{item.Service, engine, item.Tokens, item.Length, item.Suspect}
	p.startedAt[engine] = now
	if item.Suspect {
		p.isolatedUntil[engine] = now.Add(IsolationTime)
	}
	p.runningLength += item.Length
	p.count[engine]++
	p.tokens[engine] += item.Tokens
	p.homes[item.Group] = engine
}
