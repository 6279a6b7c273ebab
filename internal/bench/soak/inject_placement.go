package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/corkpulley/corkpulley/internal/common/retry"
)

// evacuated counts the evacuations of each zone that are under way: a record is taken back
// with the last one.
type evacuated struct {
	mu     sync.Mutex
	counts map[string]int
}

func newEvacuated() *evacuated { return &evacuated{counts: make(map[string]int)} }

// add changes the count of a zone and calls change where the zone's first evacuation begins
// or its last one ends.
func (e *evacuated) add(zone string, by int, change func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	before := e.counts[zone]
	e.counts[zone] += by
	if before == 0 || e.counts[zone] == 0 {
		change()
	}
}

// strikePlacement is a placement fault from its begin to its end; false where the kind is
// another.
func (d *deployment) strikePlacement(ctx context.Context, fault Fault) bool {
	at := d.places[fault.Target%len(d.places)]
	switch fault.Kind {
	case EngineRestarted, EngineRestartedLate:
		d.restartEngine(ctx, at, fault)
	case EntriesBad:
		d.spoilEntries(ctx, at, fault)
	case ZoneEvacuated:
		d.evacuate(ctx, fault)
	case EngineCold:
		at.turnCold(fault.For)
	case ZoneCold:
		d.turnZoneCold(zoneOf(fault.Target), fault.For)
	default:
		return false
	}
	return true
}

// forgets tells whether an engine that starts again under its ID has lost its weights: for
// half of the targets.
func (f Fault) forgets() bool { return f.Target/zones%2 == 0 }

// restartEngine ends the engine of a place and starts it again under its ID.
func (d *deployment) restartEngine(ctx context.Context, at *place, fault Fault) {
	if !at.replacing.TryLock() {
		return
	}
	defer at.replacing.Unlock()
	before := at.entry()
	at.front.cut()
	at.stop()
	if fault.Kind == EngineRestartedLate {
		at.unlist()
	}
	retry.Sleep(ctx, fault.For)
	d.startUnderID(at, fault.forgets())
	if fault.writesLate() {
		retry.Sleep(ctx, lateEntry)
		d.store.store.PutEngineEntry(at.id(), before)
	}
}

// lateEntry is how long after the start of an engine the last entry of the incarnation
// before may still come.
const lateEntry = 100 * time.Millisecond

// writesLate tells whether it does: for half of the targets.
func (f Fault) writesLate() bool { return f.Target/(2*zones)%2 == 0 }

// restartTime is how long an engine that ended under a request is away at most, where it
// starts again under its ID.
const restartTime = 200 * time.Millisecond

// restartSoon starts the engine of a place, which has just ended, again under its ID.
func (d *deployment) restartSoon(ctx context.Context, at *place) {
	retry.Sleep(ctx, rand.N(restartTime))
	d.startUnderID(at, true)
}

func (d *deployment) startUnderID(at *place, forgets bool) {
	d.openFront(at)
	if err := at.startUnderID(forgets); err != nil {
		d.nodes[0].note("an engine did not start again: " + err.Error())
	}
}

// evacuate evacuates a zone for a time. Its engines may be cold at the end.
func (d *deployment) evacuate(ctx context.Context, fault Fault) {
	zone, store := zoneOf(fault.Target), d.store.store
	d.evacuated.add(zone, 1, func() {
		store.Evacuate(zone)
		d.history.addEvacuation(zone)
	})
	retry.Sleep(ctx, fault.For)
	if fault.forgets() {
		d.turnZoneCold(zone, coldStart)
	}
	d.evacuated.add(zone, -1, func() {
		d.history.endEvacuation(zone)
		store.EndEvacuation(zone)
	})
}

// turnZoneCold makes all engines of a zone cold.
func (d *deployment) turnZoneCold(zone string, lasting time.Duration) {
	for _, each := range d.places {
		if zoneOf(each.number) == zone {
			each.turnCold(lasting)
		}
	}
}

// spoilEntries writes entries that name no engine. For half of the targets one stands in
// the place of an engine's own entry, which is written again at the end.
func (d *deployment) spoilEntries(ctx context.Context, at *place, fault Fault) {
	store := d.store.store
	bad := badEntries(at.service, d.strayAddress)
	for i, content := range bad {
		store.PutEngineEntry(strayID(i), content)
	}
	if fault.forgets() && at.replacing.TryLock() {
		defer at.replacing.Unlock()
		defer at.spoilEntry(bad[fault.Target%len(bad)])()
	}
	retry.Sleep(ctx, fault.For)
	for i := range bad {
		store.UnlistEngine(strayID(i))
	}
}
