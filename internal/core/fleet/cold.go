package fleet

import (
	"time"

	"github.com/corkpulley/corkpulley/internal/core/incarnation"
	"github.com/corkpulley/corkpulley/internal/core/routes"
)

// ColdReason is why an engine is treated as cold. Cold engines are slow and overload easily, as after a start.
type ColdReason uint8

// Reasons for treating an engine as cold.
const (
	// ReportedCold: its list entry says so.
	ReportedCold ColdReason = iota + 1
	// FirstSeen: it was just listed, so it may have just started.
	FirstSeen
	// ZoneReturned: the evacuation of its zone ended, and its engines may have been restarted meanwhile.
	ZoneReturned
	// Unreached: a connection to it was refused, lost or timed out, so it may have restarted.
	Unreached
	// RefusedItem: it rejected a batch item although it appeared to have a free slot.
	RefusedItem
)

var coldReasonNames = [...]string{
	ReportedCold: "told_cold", FirstSeen: "first_seen", ZoneReturned: "zone_returned", Unreached: "unreached",
	RefusedItem: "refused_item",
}

// String returns the reason's name in logs; empty for none.
func (r ColdReason) String() string { return coldReasonNames[r] }

// clearedByResponse reports whether a response of the engine ends the mark, at once or after the slow start
// period. Other marks end by time only.
func (r ColdReason) clearedByResponse() bool { return r == Unreached || r == RefusedItem }

// coldMark records why an engine may be cold although its entry does not say so.
type coldMark struct {
	reason ColdReason
	at     time.Time
	// respondedAt is the time of the first response after the mark; set for Unreached only.
	respondedAt time.Time
	// other is a mark kept alongside one with reason Unreached; it ends by time only. Nil for none.
	other *coldMark
}

// active reports whether the mark still applies. An unreachable engine may have restarted at any time
// before its first response.
func (m coldMark) active(period time.Duration, now time.Time) bool {
	if m.reason != Unreached {
		return now.Before(m.at.Add(period))
	}
	return m.respondedAt.IsZero() || now.Before(m.respondedAt.Add(period))
}

// Coldness describes a cold engine.
type Coldness struct {
	Reason ColdReason
	// RatePerSecond is the engine's limit on requests from all nodes together while it is cold.
	RatePerSecond float64
}

// coldTracker holds slow start settings and cold marks.
type coldTracker struct {
	// services holds the settings of each service that has a slow start.
	services map[string]routes.SlowStart
	marks    map[incarnation.ID]coldMark
}

func newColdTracker() coldTracker {
	return coldTracker{services: make(map[string]routes.SlowStart), marks: make(map[incarnation.ID]coldMark)}
}

// add records a mark. A mark with reason Unreached and one that ends by time only are kept side by side, since each
// ends on its own.
func (c *coldTracker) add(id incarnation.ID, mark coldMark) {
	current, found := c.marks[id]
	switch {
	case found && current.reason == Unreached && mark.reason != Unreached:
		current.other = &mark
		c.marks[id] = current
		return
	case found && current.reason == Unreached:
		mark.other = current.other
	case found && mark.reason == Unreached && !current.reason.clearedByResponse():
		mark.other = &current
	}
	c.marks[id] = mark
}

// end removes the current mark and restores the one kept alongside it.
func (c *coldTracker) end(id incarnation.ID) {
	if other := c.marks[id].other; other != nil {
		c.marks[id] = *other
		return
	}
	delete(c.marks, id)
}

// SetSlowStarts sets the services whose cold engines are rate limited, with their settings.
func (f *Fleet) SetSlowStarts(services map[string]routes.SlowStart) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cold.services = services
}

// SlowStart returns the slow start settings of a service; found is false if it has none.
func (f *Fleet) SlowStart(service string) (slowStart routes.SlowStart, found bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	slowStart, found = f.cold.services[service]
	return slowStart, found
}

// MarkPossiblyCold records that an engine may be cold although its entry does not say so. It may be called
// before Put, so that no request finds the engine unmarked.
func (f *Fleet) MarkPossiblyCold(id incarnation.ID, reason ColdReason, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cold.add(id, coldMark{reason: reason, at: at})
}

// MarkZonePossiblyCold records that all engines of a zone may be cold.
func (f *Fleet) MarkZonePossiblyCold(zone string, reason ColdReason, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.members {
		if m.engine.Zone == zone {
			f.cold.add(m.engine.Incarnation(), coldMark{reason: reason, at: at})
		}
	}
}

// RecordResponse records that an engine is working on a request or has answered one.
func (f *Fleet) RecordResponse(id incarnation.ID, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordResponse(id, at)
}

// sameIncarnationMargin bounds the time from an engine's exit until the loss of a connection to it is detected, and
// the time from then on in which events that it sent before the exit are still read.
const sameIncarnationMargin = 300 * time.Millisecond

// RecordStreamProgress records that a stream opened at openedAt delivered events generated after generatedAfter. All
// streams of an engine break when it exits, so an engine with a stream that was open before and after it was
// unreachable has not restarted.
func (f *Fleet) RecordStreamProgress(id incarnation.ID, openedAt, generatedAfter time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	mark, found := f.cold.marks[id]
	if !found || mark.reason != Unreached {
		return
	}
	if openedAt.Before(mark.at.Add(-sameIncarnationMargin)) && generatedAfter.After(mark.at.Add(sameIncarnationMargin)) {
		f.cold.end(id)
	}
}

// recordResponse records a response of an engine. Must be called with mu held.
func (f *Fleet) recordResponse(id incarnation.ID, at time.Time) {
	mark, found := f.cold.marks[id]
	if !found || !mark.reason.clearedByResponse() || at.Before(mark.at) {
		return
	}
	if mark.reason == RefusedItem {
		delete(f.cold.marks, id)
		return
	}
	if mark.respondedAt.IsZero() {
		mark.respondedAt = at
		f.cold.marks[id] = mark
	}
}

// updateColdMark applies the outcome of a request to the engine's cold mark. Must be called with mu held.
func (f *Fleet) updateColdMark(id incarnation.ID, outcome Outcome) {
	switch {
	case outcome.Unreached:
		f.cold.add(id, coldMark{reason: Unreached, at: outcome.At})
	case outcome.RefusedItem:
		if _, marked := f.cold.marks[id]; !marked {
			f.cold.marks[id] = coldMark{reason: RefusedItem, at: outcome.At}
		}
	case outcome.Latency > 0:
		f.recordResponse(id, outcome.At)
	}
}

// Cold reports whether an engine is cold, and its request rate limit. Engines of services without a slow
// start never are.
func (f *Fleet) Cold(id incarnation.ID, now time.Time) (Coldness, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, found := f.lookUp(id)
	if !found {
		return Coldness{}, false
	}
	return f.coldnessOf(m, now)
}

// coldnessOf reports whether a member is cold, and its request rate limit. Must be called with mu held.
func (f *Fleet) coldnessOf(m *member, now time.Time) (Coldness, bool) {
	slowStart, hasSlowStart := f.cold.services[m.engine.Service]
	if !hasSlowStart {
		return Coldness{}, false
	}
	if now.Before(m.engine.ColdUntil) {
		return Coldness{Reason: ReportedCold, RatePerSecond: slowStart.RatePerSecond}, true
	}
	id := m.engine.Incarnation()
	for {
		mark, marked := f.cold.marks[id]
		if !marked {
			return Coldness{}, false
		}
		if mark.active(slowStart.Period, now) {
			return Coldness{Reason: mark.reason, RatePerSecond: slowStart.RatePerSecond}, true
		}
		f.cold.end(id)
	}
}

// ColdEngine is an engine that is cold.
type ColdEngine struct {
	Engine Engine
	Coldness
}

func (f *Fleet) ColdEngines(now time.Time) []ColdEngine {
	f.mu.Lock()
	defer f.mu.Unlock()
	var cold []ColdEngine
	for _, m := range f.members {
		if coldness, isCold := f.coldnessOf(m, now); isCold {
			cold = append(cold, ColdEngine{Engine: m.engine, Coldness: coldness})
		}
	}
	f.pruneColdMarks(now)
	return cold
}

// unlistedMarkTTL is how long a mark of an engine without an entry is kept, since engines are marked before Put.
const unlistedMarkTTL = time.Second

// pruneColdMarks drops the marks of engines that are no longer listed. Must be called with mu held.
func (f *Fleet) pruneColdMarks(now time.Time) {
	for id, mark := range f.cold.marks {
		if _, listed := f.lookUp(id); !listed && now.Sub(mark.at) > unlistedMarkTTL {
			delete(f.cold.marks, id)
		}
	}
}
