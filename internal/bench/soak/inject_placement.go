package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/corkpulley/corkpulley/internal/common/retry"
)

// evacuationCounts counts the overlapping evacuations of each zone; a zone's record is removed with the
// last one.
type evacuationCounts struct {
	mu     sync.Mutex
	counts map[string]int
}

func newEvacuationCounts() *evacuationCounts { return &evacuationCounts{counts: make(map[string]int)} }

// add changes the count of a zone and calls change if its first evacuation begins or its last one ends.
func (e *evacuationCounts) add(zone string, delta int, change func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	before := e.counts[zone]
	e.counts[zone] += delta
	if before == 0 || e.counts[zone] == 0 {
		change()
	}
}

// applyPlacementFault runs a placement fault from start to end. It returns false if the fault is of
// another kind.
func (d *deployment) applyPlacementFault(ctx context.Context, fault Fault) bool {
	slot := d.slots[fault.Target%len(d.slots)]
	switch fault.Kind {
	case EngineRestarted, EngineRestartedLate:
		d.restartEngine(ctx, slot, fault)
	case EntriesInvalid:
		d.writeInvalidEntries(ctx, slot, fault)
	case ZoneEvacuated:
		d.evacuate(ctx, fault)
	case EngineCold:
		slot.markCold(fault.Duration)
	case ZoneCold:
		d.markZoneCold(zoneOf(fault.Target), fault.Duration)
	default:
		return false
	}
	return true
}

// hasExtraEffect reports whether the fault has an additional effect, as for half of the targets: the restarted
// engine has lost its weights, the engines of the evacuated zone are cold at the end, or an invalid entry
// replaces a valid one.
func (f Fault) hasExtraEffect() bool { return f.Target/zones%2 == 0 }

// restartEngine ends the engine of a slot and restarts it under the same ID.
func (d *deployment) restartEngine(ctx context.Context, slot *engineSlot, fault Fault) {
	if !slot.replacing.TryLock() {
		return
	}
	defer slot.replacing.Unlock()
	before := slot.entry()
	slot.senderProxy.cut()
	slot.stop()
	if fault.Kind == EngineRestartedLate {
		slot.unlist()
	}
	retry.Sleep(ctx, fault.Duration)
	d.restartWithSameID(slot, fault.hasExtraEffect())
	if fault.rewritesOldEntry() {
		retry.Sleep(ctx, oldEntryDelay)
		d.store.store.PutEngineEntry(slot.id(), before)
	}
}

// oldEntryDelay is how long after an engine's restart the last entry of its previous incarnation is written.
const oldEntryDelay = 100 * time.Millisecond

// rewritesOldEntry reports whether the last entry of the previous incarnation is written after the restart:
// for half of the targets.
func (f Fault) rewritesOldEntry() bool { return f.Target/(2*zones)%2 == 0 }

// maxRestartDelay is the longest downtime of an engine that crashed during a request and restarts under
// the same ID.
const maxRestartDelay = 200 * time.Millisecond

// restartAfterDelay restarts the engine of a slot, which has just crashed, under the same ID.
func (d *deployment) restartAfterDelay(ctx context.Context, slot *engineSlot) {
	retry.Sleep(ctx, rand.N(maxRestartDelay))
	d.restartWithSameID(slot, true)
}

func (d *deployment) restartWithSameID(slot *engineSlot, losesWeights bool) {
	d.reopenProxy(slot)
	if err := slot.restartWithSameID(losesWeights); err != nil {
		d.nodes[0].recordProblem("a restarted engine did not start: " + err.Error())
	}
}

// evacuate evacuates a zone for the fault's duration. With the extra effect, its engines are cold at the end.
func (d *deployment) evacuate(ctx context.Context, fault Fault) {
	zone, store := zoneOf(fault.Target), d.store.store
	d.evacuationCounts.add(zone, 1, func() {
		store.Evacuate(zone)
		d.history.addEvacuation(zone)
	})
	retry.Sleep(ctx, fault.Duration)
	if fault.hasExtraEffect() {
		d.markZoneCold(zone, coldStart)
	}
	d.evacuationCounts.add(zone, -1, func() {
		d.history.endEvacuation(zone)
		store.EndEvacuation(zone)
	})
}

// markZoneCold makes all engines of a zone cold.
func (d *deployment) markZoneCold(zone string, duration time.Duration) {
	for _, each := range d.slots {
		if zoneOf(each.number) == zone {
			each.markCold(duration)
		}
	}
}

// writeInvalidEntries adds invalid entries to the engine list. With the extra effect, one of them also replaces
// the entry of an engine until the fault ends.
func (d *deployment) writeInvalidEntries(ctx context.Context, slot *engineSlot, fault Fault) {
	store := d.store.store
	invalid := invalidEntries(slot.service, d.invalidEntryAddress)
	for i, content := range invalid {
		store.PutEngineEntry(invalidEntryID(i), content)
	}
	if fault.hasExtraEffect() && slot.replacing.TryLock() {
		defer slot.replacing.Unlock()
		defer slot.overwriteEntry(invalid[fault.Target%len(invalid)])()
	}
	retry.Sleep(ctx, fault.Duration)
	for i := range invalid {
		store.UnlistEngine(invalidEntryID(i))
	}
}
