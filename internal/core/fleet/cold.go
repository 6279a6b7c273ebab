package fleet

import (
	"time"

	"github.com/corkpulley/corkpulley/internal/core/incarnation"
	"github.com/corkpulley/corkpulley/internal/core/routes"
)

// ColdReason is why an engine counts as cold.
type ColdReason uint8

// The reasons.
const (
	// ToldCold: its list entry says so.
	ToldCold ColdReason = iota + 1
	// FirstSeen: it was listed just now, so it may have started just now.
	FirstSeen
	// ZoneReturned: its zone gets work again after an evacuation, and engines may have been
	// started anew meanwhile.
	ZoneReturned
	// Unreached: a connection to it was refused, lost or silent, so it may have started again.
	Unreached
	// RefusedItem: it did not run an item though it had a place as far as was known.
	RefusedItem
)

var coldReasonNames = [...]string{
	ToldCold: "told_cold", FirstSeen: "first_seen", ZoneReturned: "zone_returned", Unreached: "unreached",
	RefusedItem: "refused_item",
}

// String returns the reason as it stands in logs; empty for none.
func (r ColdReason) String() string { return coldReasonNames[r] }

// heardEnds tells whether an answer of the engine says something of the doubt: one that was out of
// reach stays in doubt until it is heard, one that refused an item until it runs one.
func (r ColdReason) heardEnds() bool { return r == Unreached || r == RefusedItem }

// doubt is why an engine that does not say that it is cold may be.
type doubt struct {
	reason ColdReason
	at     time.Time
	// heardAt is when the engine was heard first after an Unreached.
	heardAt time.Time
	// other is a doubt beside an Unreached, which answers of the engine do not end; nil for none.
	other *doubt
}

// lasts tells whether the doubt still counts. An engine may have started at any moment until it
// was heard again.
func (d doubt) lasts(period time.Duration, now time.Time) bool {
	if d.reason != Unreached {
		return now.Before(d.at.Add(period))
	}
	return d.heardAt.IsZero() || now.Before(d.heardAt.Add(period))
}

// Coldness is how an engine counts as cold.
type Coldness struct {
	Reason ColdReason
	// RatePerSecond is what the engine takes meanwhile from all nodes together.
	RatePerSecond float64
}

// coldness is what the fleet keeps of slow starts.
type coldness struct {
	// services holds the slow start of the services that have one.
	services map[string]routes.SlowStart
	doubts   map[incarnation.ID]doubt
}

func newColdness() coldness {
	return coldness{services: make(map[string]routes.SlowStart), doubts: make(map[incarnation.ID]doubt)}
}

// add notes a doubt. An Unreached and one of another reason stand side by side: each ends by itself.
func (c *coldness) add(of incarnation.ID, added doubt) {
	known, found := c.doubts[of]
	switch {
	case found && known.reason == Unreached && added.reason != Unreached:
		known.other = &added
		c.doubts[of] = known
		return
	case found && known.reason == Unreached:
		added.other = known.other
	case found && added.reason == Unreached && !known.reason.heardEnds():
		added.other = &known
	}
	c.doubts[of] = added
}

// end drops a doubt, and leaves the one beside it.
func (c *coldness) end(of incarnation.ID) {
	if other := c.doubts[of].other; other != nil {
		c.doubts[of] = *other
		return
	}
	delete(c.doubts, of)
}

// SetSlowStarts sets the services whose engines take a bounded rate while they are cold.
func (f *Fleet) SetSlowStarts(services map[string]routes.SlowStart) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cold.services = services
}

// SlowStart returns the slow start of a service; bounded is false where it has none.
func (f *Fleet) SlowStart(service string) (slowStart routes.SlowStart, bounded bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	slowStart, bounded = f.cold.services[service]
	return slowStart, bounded
}

// MarkDoubtful notes that an engine may be cold though its entry does not say so. It may come
// before Put, so that no request finds the engine between the two.
func (f *Fleet) MarkDoubtful(of incarnation.ID, reason ColdReason, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cold.add(of, doubt{reason: reason, at: at})
}

// MarkZoneDoubtful is MarkDoubtful for all engines of a zone.
func (f *Fleet) MarkZoneDoubtful(zone string, reason ColdReason, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, each := range f.members {
		if each.engine.Zone == zone {
			f.cold.add(each.engine.Incarnation(), doubt{reason: reason, at: at})
		}
	}
}

// Heard notes that an engine works on a request, or has answered one.
func (f *Fleet) Heard(of incarnation.ID, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heard(of, at)
}

// sameLifeMargin is how long before a lost connection was noticed an engine may have ended, and how
// long after it events that it had made before may still be read.
const sameLifeMargin = 300 * time.Millisecond

// Continues notes that an engine goes on with a stream that began before, as its events from one time
// on show. It ends with all its streams, so it has not started again since the stream began.
func (f *Fleet) Continues(of incarnation.ID, began, eventsFrom time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known, found := f.cold.doubts[of]
	if !found || known.reason != Unreached {
		return
	}
	if began.Before(known.at.Add(-sameLifeMargin)) && eventsFrom.After(known.at.Add(sameLifeMargin)) {
		f.cold.end(of)
	}
}

// heard is Heard; mu is held.
func (f *Fleet) heard(of incarnation.ID, at time.Time) {
	known, found := f.cold.doubts[of]
	if !found || !known.reason.heardEnds() || at.Before(known.at) {
		return
	}
	if known.reason == RefusedItem {
		delete(f.cold.doubts, of)
		return
	}
	if known.heardAt.IsZero() {
		known.heardAt = at
		f.cold.doubts[of] = known
	}
}

// noteOutcome takes what a request's end says of whether the engine is cold; mu is held.
func (f *Fleet) noteOutcome(of incarnation.ID, outcome Outcome) {
	switch {
	case outcome.Unreached:
		f.cold.add(of, doubt{reason: Unreached, at: outcome.At})
	case outcome.RefusedItem:
		if _, doubtful := f.cold.doubts[of]; !doubtful {
			f.cold.doubts[of] = doubt{reason: RefusedItem, at: outcome.At}
		}
	case outcome.Latency > 0:
		f.heard(of, outcome.At)
	}
}

// Cold tells whether an engine counts as cold, and at which rate it takes requests then. Those of
// services without a bound never do.
func (f *Fleet) Cold(of incarnation.ID, now time.Time) (Coldness, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known, found := f.lookUp(of)
	if !found {
		return Coldness{}, false
	}
	return f.coldnessOf(known, now)
}

// coldnessOf is Cold of a member; mu is held.
func (f *Fleet) coldnessOf(of *member, now time.Time) (Coldness, bool) {
	slowStart, bounded := f.cold.services[of.engine.Service]
	if !bounded {
		return Coldness{}, false
	}
	if now.Before(of.engine.ColdUntil) {
		return Coldness{Reason: ToldCold, RatePerSecond: slowStart.RatePerSecond}, true
	}
	id := of.engine.Incarnation()
	for {
		known, doubtful := f.cold.doubts[id]
		if !doubtful {
			return Coldness{}, false
		}
		if known.lasts(slowStart.Period, now) {
			return Coldness{Reason: known.reason, RatePerSecond: slowStart.RatePerSecond}, true
		}
		f.cold.end(id)
	}
}

// ColdEngine is an engine that counts as cold.
type ColdEngine struct {
	Engine Engine
	Coldness
}

// ColdEngines returns all engines that count as cold.
func (f *Fleet) ColdEngines(now time.Time) []ColdEngine {
	f.mu.Lock()
	defer f.mu.Unlock()
	var cold []ColdEngine
	for _, each := range f.members {
		if found, isCold := f.coldnessOf(each, now); isCold {
			cold = append(cold, ColdEngine{Engine: each.engine, Coldness: found})
		}
	}
	f.forgetDoubts(now)
	return cold
}

// markLead is how long before its entry is put an engine may be marked as doubtful.
const markLead = time.Second

// forgetDoubts drops what is kept of engines that are not listed any more; mu is held.
func (f *Fleet) forgetDoubts(now time.Time) {
	for of, each := range f.cold.doubts {
		if _, listed := f.lookUp(of); !listed && now.Sub(each.at) > markLead {
			delete(f.cold.doubts, of)
		}
	}
}
