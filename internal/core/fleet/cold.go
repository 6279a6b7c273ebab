package fleet

import (
	"time"

	"github.com/corkpulley/corkpulley/internal/core/incarnation"
	"github.com/corkpulley/corkpulley/internal/core/routes"
)

// ColdReason is why an engine is treated as cold: one that is slow or overloads easily, as after a start.
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
	// other is a mark beside one with reason Unreached: one that ends by time only. It is nil for none.
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
	// services holds the slow start of each service that has one.
	services map[string]routes.SlowStart
	marks    map[incarnation.ID]coldMark
}

func newColdTracker() coldTracker {
	return coldTracker{services: make(map[string]routes.SlowStart), marks: make(map[incarnation.ID]coldMark)}
}

// add records a mark. A mark with reason Unreached and one that ends by time only are kept side by side, since each
// ends on its own.
func (c *coldTracker) add(of incarnation.ID, added coldMark) {
	known, found := c.marks[of]
	switch {
	case found && known.reason == Unreached && added.reason != Unreached:
		known.other = &added
		c.marks[of] = known
		return
	case found && known.reason == Unreached:
		added.other = known.other
	case found && added.reason == Unreached && !known.reason.clearedByResponse():
		added.other = &known
	}
	c.marks[of] = added
}

// end removes the current mark and restores the one beside it.
func (c *coldTracker) end(of incarnation.ID) {
	if other := c.marks[of].other; other != nil {
		c.marks[of] = *other
		return
	}
	delete(c.marks, of)
}

// SetSlowStarts sets the services whose cold engines are rate limited.
func (f *Fleet) SetSlowStarts(services map[string]routes.SlowStart) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cold.services = services
}

// SlowStart returns the slow start of a service; bounded is false if it has none.
func (f *Fleet) SlowStart(service string) (slowStart routes.SlowStart, bounded bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	slowStart, bounded = f.cold.services[service]
	return slowStart, bounded
}

// MarkPossiblyCold records that an engine may be cold although its entry does not say so. It may be called
// before Put, so that no request finds the engine unmarked.
func (f *Fleet) MarkPossiblyCold(of incarnation.ID, reason ColdReason, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cold.add(of, coldMark{reason: reason, at: at})
}

// MarkZonePossiblyCold records that all engines of a zone may be cold.
func (f *Fleet) MarkZonePossiblyCold(zone string, reason ColdReason, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, each := range f.members {
		if each.engine.Zone == zone {
			f.cold.add(each.engine.Incarnation(), coldMark{reason: reason, at: at})
		}
	}
}

// RecordResponse records that an engine is working on a request or has answered one.
func (f *Fleet) RecordResponse(of incarnation.ID, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordResponse(of, at)
}

// sameIncarnationMargin bounds how long after the end of an engine the loss of a connection to it is detected, and
// how long after that events are still read that the engine sent before its end.
const sameIncarnationMargin = 300 * time.Millisecond

// RecordStreamProgress records that a stream opened at began delivered events made after eventsFrom. An engine loses
// all streams when it ends, so an engine with a stream that was open before and after it was unreachable has not
// restarted.
func (f *Fleet) RecordStreamProgress(of incarnation.ID, began, eventsFrom time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known, found := f.cold.marks[of]
	if !found || known.reason != Unreached {
		return
	}
	if began.Before(known.at.Add(-sameIncarnationMargin)) && eventsFrom.After(known.at.Add(sameIncarnationMargin)) {
		f.cold.end(of)
	}
}

// recordResponse records a response of an engine. Must be called with mu held.
func (f *Fleet) recordResponse(of incarnation.ID, at time.Time) {
	known, found := f.cold.marks[of]
	if !found || !known.reason.clearedByResponse() || at.Before(known.at) {
		return
	}
	if known.reason == RefusedItem {
		delete(f.cold.marks, of)
		return
	}
	if known.respondedAt.IsZero() {
		known.respondedAt = at
		f.cold.marks[of] = known
	}
}

// updateColdMark applies the outcome of a request to the engine's cold mark. Must be called with mu held.
func (f *Fleet) updateColdMark(of incarnation.ID, outcome Outcome) {
	switch {
	case outcome.Unreached:
		f.cold.add(of, coldMark{reason: Unreached, at: outcome.At})
	case outcome.RefusedItem:
		if _, marked := f.cold.marks[of]; !marked {
			f.cold.marks[of] = coldMark{reason: RefusedItem, at: outcome.At}
		}
	case outcome.Latency > 0:
		f.recordResponse(of, outcome.At)
	}
}

// Cold reports whether an engine is cold, and its request rate limit. Engines of services without a slow
// start never are.
func (f *Fleet) Cold(of incarnation.ID, now time.Time) (Coldness, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known, found := f.lookUp(of)
	if !found {
		return Coldness{}, false
	}
	return f.coldnessOf(known, now)
}

// coldnessOf reports whether a member is cold, and its request rate limit. Must be called with mu held.
func (f *Fleet) coldnessOf(of *member, now time.Time) (Coldness, bool) {
	slowStart, bounded := f.cold.services[of.engine.Service]
	if !bounded {
		return Coldness{}, false
	}
	if now.Before(of.engine.ColdUntil) {
		return Coldness{Reason: ReportedCold, RatePerSecond: slowStart.RatePerSecond}, true
	}
	id := of.engine.Incarnation()
	for {
		known, marked := f.cold.marks[id]
		if !marked {
			return Coldness{}, false
		}
		if known.active(slowStart.Period, now) {
			return Coldness{Reason: known.reason, RatePerSecond: slowStart.RatePerSecond}, true
		}
		f.cold.end(id)
	}
}

// ColdEngine is an engine that is cold.
type ColdEngine struct {
	Engine Engine
	Coldness
}

// ColdEngines returns all cold engines.
func (f *Fleet) ColdEngines(now time.Time) []ColdEngine {
	f.mu.Lock()
	defer f.mu.Unlock()
	var cold []ColdEngine
	for _, each := range f.members {
		if found, isCold := f.coldnessOf(each, now); isCold {
			cold = append(cold, ColdEngine{Engine: each.engine, Coldness: found})
		}
	}
	f.pruneColdMarks(now)
	return cold
}

// unlistedMarkTTL is how long a mark of an engine without an entry is kept, since engines are marked before Put.
const unlistedMarkTTL = time.Second

// pruneColdMarks drops the marks of engines that are no longer listed. Must be called with mu held.
func (f *Fleet) pruneColdMarks(now time.Time) {
	for of, each := range f.cold.marks {
		if _, listed := f.lookUp(of); !listed && now.Sub(each.at) > unlistedMarkTTL {
			delete(f.cold.marks, of)
		}
	}
}
