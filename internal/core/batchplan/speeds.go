package batchplan

import (
	"maps"
	"slices"
	"time"

	"github.com/corkpulley/corkpulley/internal/core/enginespeed"
	"github.com/corkpulley/corkpulley/internal/core/incarnation"
)

const (
	// classifyInterval is the minimum time between two classifications. Classes change after seconds, so more
	// frequent ones would only cost time.
	classifyInterval = 250 * time.Millisecond
	// longShare is the share of the time until results are due that a long item is expected to take at the median
	// pace. What is left of it covers the wait for an engine and the error of the length hint.
	longShare = 0.6
	// keptSlots and keptMemory are the shares of a fast engine's slots and memory from which short items avoid it.
	keptSlots  = 0.5
	keptMemory = 0.4
	// keptScore is the score of an engine that an item avoids. It exceeds that of any other engine, so that the item
	// starts there only if no other can take it.
	keptScore = 1e6
	// projectedEvents is the number of further events of each running item up to which an engine's memory has to
	// suffice. Items start and end at different times; the sum of their final sizes made long items wait while
	// engines used a third of their memory.
	projectedEvents = 50
	// outrunFactor is the least ratio of an item's expected events to those so far: an item that outruns its hint is
	// likely to be long.
	outrunFactor = 1.3
)

// speeds holds the speed classes of the engines of each service.
type speeds struct {
	// services holds the service of each engine that was running an item at a classification.
	services    map[incarnation.ID]string
	classifiers map[string]*enginespeed.Classifier
	// classes holds the classes of the services that have any.
	classes      map[string]*enginespeed.Classes
	classifiedAt time.Time
}

func newSpeeds() speeds {
	return speeds{
		services:    make(map[incarnation.ID]string),
		classifiers: make(map[string]*enginespeed.Classifier),
		classes:     make(map[string]*enginespeed.Classes),
	}
}

// forget drops engines. Their classes are gone with the next classification.
func (s *speeds) forget(gone func(engine incarnation.ID) bool) {
	forgotten := false
	maps.DeleteFunc(s.services, func(engine incarnation.ID, _ string) bool {
		forgotten = forgotten || gone(engine)
		return gone(engine)
	})
	if forgotten {
		s.classifiedAt = time.Time{}
	}
}

// SpeedChange is a change of the fast engines of a service.
type SpeedChange struct {
	Service string
	// Classes are the new classes; nil if the service has none any more.
	Classes *enginespeed.Classes
}

// Classify updates the speed classes of all engines by their paces, at most every classifyInterval, and returns the
// changes. Until it is called no service has classes.
func (p *Plan) Classify(now time.Time) []SpeedChange {
	if now.Sub(p.speeds.classifiedAt) < classifyInterval {
		return nil
	}
	p.speeds.classifiedAt = now
	for _, placed := range p.running {
		p.speeds.services[placed.engine] = placed.service
	}
	paces := make(map[string]map[incarnation.ID]time.Duration)
	for engine, pace := range p.paces {
		service, known := p.speeds.services[engine]
		if !known {
			continue
		}
		if paces[service] == nil {
			paces[service] = make(map[incarnation.ID]time.Duration)
		}
		paces[service][engine] = pace
	}
	for service := range paces {
		if p.speeds.classifiers[service] == nil {
			p.speeds.classifiers[service] = enginespeed.New()
		}
	}
	var changes []SpeedChange
	for service, classifier := range p.speeds.classifiers {
		changed := classifier.Update(now, paces[service])
		classes := classifier.Classes()
		if changed {
			changes = append(changes, SpeedChange{Service: service, Classes: classes})
		}
		if classes != nil {
			p.speeds.classes[service] = classes
		} else {
			delete(p.speeds.classes, service)
		}
		if len(paces[service]) == 0 {
			delete(p.speeds.classifiers, service)
		}
	}
	return changes
}

// HasClasses reports whether the engines of an engine's service are divided into classes.
func (p *Plan) HasClasses(engine incarnation.ID) bool {
	return p.speeds.classes[p.speeds.services[engine]] != nil
}

// FastEngines returns the engines of the fast classes of all services.
func (p *Plan) FastEngines() map[incarnation.ID]bool {
	fast := make(map[incarnation.ID]bool)
	for _, classes := range p.speeds.classes {
		maps.Copy(fast, classes.Fast)
	}
	return fast
}

// RecordEvents records the number of events of a running item so far. It applies before there are classes as well: the
// first moves depend on it.
func (p *Plan) RecordEvents(key Key, events int64) {
	if placed, found := p.running[key]; found {
		placed.events = int32(events)
		p.running[key] = placed
		p.due.recordEvents(key, int32(events))
	}
}

// Prefer makes a waiting or running item start next at an engine, if that can take it then.
func (p *Plan) Prefer(key Key, engine incarnation.ID) { p.preferred[key] = engine }

// isLong reports whether an item counts as long: at the median pace it is expected to take more than longShare of the
// time until results are due.
func (p *Plan) isLong(classes *enginespeed.Classes, item *Item) bool {
	if classes == nil {
		return false
	}
	dueAfter := p.jobs[item.Key.Job].dueAfter
	return dueAfter > 0 && p.expectedEvents(item.Length)*float64(classes.MedianPace) > longShare*float64(dueAfter)
}

// avoidsFast reports whether an item is kept off fast engines. Without a due time it isn't known which items are long.
func (p *Plan) avoidsFast(classes *enginespeed.Classes, item *Item) bool {
	return classes != nil && p.jobs[item.Key.Job].dueAfter > 0 && !p.isLong(classes, item)
}

// projectedNeed returns the memory, in tokens, that an item is projected to need within the next projectedEvents
// events. Tokens is the expected size of the whole item, of which prompt is known; events are those so far. Tokens per
// event are learned from completed items; until then it is the whole size.
func (p *Plan) projectedNeed(prompt, tokens int, events int32) float64 {
	if p.eventCount == 0 {
		return float64(tokens)
	}
	tokensPerEvent := p.lengthSum / p.eventCount
	expected := max(float64(tokens-prompt), outrunFactor*float64(events)*tokensPerEvent)
	return float64(prompt) + min(float64(events+projectedEvents)*tokensPerEvent, expected)
}

// projectedByEngine returns the memory that the running items of each engine are projected to need.
func (p *Plan) projectedByEngine() map[incarnation.ID]float64 {
	projected := make(map[incarnation.ID]float64, len(p.runningCount))
	for _, placed := range p.running {
		projected[placed.engine] += p.projectedNeed(placed.prompt, placed.reservedTokens, placed.events)
	}
	return projected
}

// keptForLongItems reports whether so much of a fast engine is in use that short items avoid it.
func (p *pass) keptForLongItems(engine *Engine) bool {
	if !p.speeds[engine.Service].IsFast(engine.ID) {
		return false
	}
	return float64(p.plan.runningCount[engine.ID]) >= keptSlots*float64(engine.Slots) ||
		engine.Tokens > 0 && p.projected[engine.ID] >= keptMemory*float64(engine.Tokens)
}

// movedFirst sorts the items that a move chose an engine for before the others, so that these don't take the slot.
func (p *Plan) movedFirst(queue []Item) {
	if len(p.preferred) == 0 {
		return
	}
	isMoved := func(item Item) int {
		if _, found := p.preferred[item.Key]; found {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(queue, func(a, b Item) int { return isMoved(a) - isMoved(b) })
}

func (p *Plan) isRunning(key Key) bool { _, found := p.running[key]; return found }

func (p *Plan) isWaiting(key Key) bool { _, found := p.waiting[key]; return found }

// preferredEngine returns the engine that a move chose for the item, if that can still take it. The choice applies to
// one attempt: later, others may be better.
func (p *pass) preferredEngine(item Item) (incarnation.ID, bool) {
	engine, found := p.plan.preferred[item.Key]
	if !found {
		return incarnation.ID{}, false
	}
	delete(p.plan.preferred, item.Key)
	index, known := p.byID[engine]
	if !known || !p.canServe(&p.engines[index], p.classOf(&item)) || !p.fits(item, &p.engines[index]) {
		return incarnation.ID{}, false
	}
	return engine, true
}
