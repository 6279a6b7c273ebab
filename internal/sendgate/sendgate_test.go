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

// OnHeldBack must be called once even if MaySend is called several times.
func TestOnHeldBackIsCalledOnce(t *testing.T) {
	known, engine := engineInZone("za")
	var reasons []fleet.Hold
	gate := New(Options{Fleet: known, OnHeldBack: func(reason fleet.Hold) { reasons = append(reasons, reason) }})
	look := gate.Check(engine.Incarnation(), nil)
	assert.Assert(t, look.MaySend())
	assert.Equal(t, look.Held(), fleet.NotHeld)
	known.Evacuate("za", time.Now(), 1)
	assert.Assert(t, !look.MaySend())
	assert.Assert(t, !look.MaySend())
	assert.Equal(t, look.Held(), fleet.HeldEvacuated)
	assert.DeepEqual(t, reasons, []fleet.Hold{fleet.HeldEvacuated})
}

// Guards against sending while the engine's zone may be evacuated.
func TestMaySendWhileEvacuationsAreUnknown(t *testing.T) {
	known, engine := engineInZone("za")
	var learned atomic.Bool
	gate := New(Options{Fleet: known, Known: learned.Load})
	look := gate.Check(engine.Incarnation(), nil)
	assert.Assert(t, !look.MaySend())
	assert.Equal(t, look.Held(), fleet.HeldUnknown)
	assert.Assert(t, !gate.AwaitKnown(t.Context()))
	learned.Store(true)
	assert.Assert(t, gate.AwaitKnown(t.Context()))
	assert.Assert(t, gate.Check(engine.Incarnation(), nil).MaySend())
}

// Guards against a wait that outlasts the caller's context.
func TestAwaitKnownWithCanceledContext(t *testing.T) {
	known, _ := engineInZone("za")
	gate := New(Options{Fleet: known, Known: func() bool { return false }})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.Assert(t, !gate.AwaitKnown(ctx))
}

// Guards against requests to a cold engine that was warm when it was chosen.
func TestMaySendWithoutPermitAfterEngineTurnedCold(t *testing.T) {
	known, engine := engineInZone("za")
	known.SetSlowStarts(map[string]routes.SlowStart{"s": {Period: time.Hour, RatePerSecond: 4}})
	gate := New(Options{Fleet: known})
	look, order := gate.Check(engine.Incarnation(), nil), gate.CheckWeightLoad(engine.Incarnation())
	assert.Assert(t, look.MaySend() && order.MaySend())
	known.MarkPossiblyCold(engine.Incarnation(), fleet.Unreached, time.Now())
	assert.Assert(t, !look.MaySend())
	assert.Equal(t, look.Held(), fleet.HeldPaced)
	assert.Assert(t, order.MaySend())
}

// Guards against a permit that does not expire or that overrides an evacuation.
func TestMaySendWithPermitForColdEngine(t *testing.T) {
	known, engine := engineInZone("za")
	var open atomic.Bool
	open.Store(true)
	gate := New(Options{Fleet: known})
	assert.Assert(t, gate.Check(engine.Incarnation(), open.Load).MaySend())
	open.Store(false)
	look := gate.Check(engine.Incarnation(), open.Load)
	assert.Assert(t, !look.MaySend())
	assert.Equal(t, look.Held(), fleet.HeldPaced)
	known.Evacuate("za", time.Now(), 1)
	look = gate.Check(engine.Incarnation(), open.Load)
	assert.Assert(t, !look.MaySend())
	assert.Equal(t, look.Held(), fleet.HeldEvacuated)
}
