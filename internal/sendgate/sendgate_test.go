package sendgate

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/fleet"
	"github.com/corkpulley/corkpulley/internal/core/routes"
)

func engineInZone(zone string) (*fleet.Fleet, fleet.Engine) {
	known := fleet.New()
	engine := fleet.Engine{ID: "e", Service: "s", Zone: zone, Slots: 1}
	known.Put(engine)
	return known, engine
}

// TestARequestThatIsHeldBackIsCountedOnce: HeldBack is called once for several calls of MayLeave.
func TestARequestThatIsHeldBackIsCountedOnce(t *testing.T) {
	known, engine := engineInZone("za")
	var reasons []fleet.Hold
	gate := New(Options{Fleet: known, HeldBack: func(reason fleet.Hold) { reasons = append(reasons, reason) }})
	look := gate.Look(engine.Incarnation(), nil)
	assert.Assert(t, look.MayLeave())
	assert.Equal(t, look.Held(), fleet.NotHeld)
	known.Evacuate("za", time.Now(), 1)
	assert.Assert(t, !look.MayLeave())
	assert.Assert(t, !look.MayLeave())
	assert.Equal(t, look.Held(), fleet.HeldEvacuated)
	assert.DeepEqual(t, reasons, []fleet.Hold{fleet.HeldEvacuated})
}

// TestNothingLeavesWhileTheEvacuationsAreNotKnown: the zone may be evacuated.
func TestNothingLeavesWhileTheEvacuationsAreNotKnown(t *testing.T) {
	known, engine := engineInZone("za")
	var learned atomic.Bool
	gate := New(Options{Fleet: known, Known: learned.Load})
	look := gate.Look(engine.Incarnation(), nil)
	assert.Assert(t, !look.MayLeave())
	assert.Equal(t, look.Held(), fleet.HeldUnknown)
	assert.Assert(t, !gate.AwaitKnown(t.Context()))
	learned.Store(true)
	assert.Assert(t, gate.AwaitKnown(t.Context()))
	assert.Assert(t, gate.Look(engine.Incarnation(), nil).MayLeave())
}

// TestACallerThatLeavesEndsTheWait: AwaitKnown ends with its context.
func TestACallerThatLeavesEndsTheWait(t *testing.T) {
	known, _ := engineInZone("za")
	gate := New(Options{Fleet: known, Known: func() bool { return false }})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.Assert(t, !gate.AwaitKnown(ctx))
}

// TestOnlyOrdersLeaveWithoutAPermitForAnEngineThatTurnedCold guards against requests that were chosen for an engine
// while it was warm.
func TestOnlyOrdersLeaveWithoutAPermitForAnEngineThatTurnedCold(t *testing.T) {
	known, engine := engineInZone("za")
	known.SetSlowStarts(map[string]routes.SlowStart{"s": {Period: time.Hour, RatePerSecond: 4}})
	gate := New(Options{Fleet: known})
	look, order := gate.Look(engine.Incarnation(), nil), gate.LookAtOrder(engine.Incarnation())
	assert.Assert(t, look.MayLeave() && order.MayLeave())
	known.MarkDoubtful(engine.Incarnation(), fleet.Unreached, time.Now())
	assert.Assert(t, !look.MayLeave())
	assert.Equal(t, look.Held(), fleet.HeldPaced)
	assert.Assert(t, order.MayLeave())
}

// TestARequestToAColdEngineLeavesWhileItsPermitIsOpen: an evacuation takes precedence over a permit.
func TestARequestToAColdEngineLeavesWhileItsPermitIsOpen(t *testing.T) {
	known, engine := engineInZone("za")
	var open atomic.Bool
	open.Store(true)
	gate := New(Options{Fleet: known})
	assert.Assert(t, gate.Look(engine.Incarnation(), open.Load).MayLeave())
	open.Store(false)
	look := gate.Look(engine.Incarnation(), open.Load)
	assert.Assert(t, !look.MayLeave())
	assert.Equal(t, look.Held(), fleet.HeldPaced)
	known.Evacuate("za", time.Now(), 1)
	look = gate.Look(engine.Incarnation(), open.Load)
	assert.Assert(t, !look.MayLeave())
	assert.Equal(t, look.Held(), fleet.HeldEvacuated)
}
