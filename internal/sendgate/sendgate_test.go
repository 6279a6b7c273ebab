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

// newFleet returns a fleet with one engine in the zone.
func newFleet(zone string) (*fleet.Fleet, fleet.Engine) {
	engineFleet := fleet.New()
	engine := fleet.Engine{ID: "e", Service: "s", Zone: zone, Slots: 1}
	engineFleet.Put(engine)
	return engineFleet, engine
}

// OnHeldBack must be called once even if MaySend is called several times.
func TestOnHeldBackIsCalledOnce(t *testing.T) {
	engineFleet, engine := newFleet("za")
	var reasons []fleet.Hold
	gate := New(Options{Fleet: engineFleet, OnHeldBack: func(reason fleet.Hold) { reasons = append(reasons, reason) }})
	check := gate.Check(engine.Incarnation(), nil)
	assert.Assert(t, check.MaySend())
	assert.Equal(t, check.Held(), fleet.NotHeld)
	engineFleet.Evacuate("za", time.Now(), 1)
	assert.Assert(t, !check.MaySend())
	assert.Assert(t, !check.MaySend())
	assert.Equal(t, check.Held(), fleet.HeldEvacuated)
	assert.DeepEqual(t, reasons, []fleet.Hold{fleet.HeldEvacuated})
}

// Guards against sending while the engine's zone may be evacuated.
func TestMaySendWhileEvacuationsAreUnknown(t *testing.T) {
	engineFleet, engine := newFleet("za")
	var known atomic.Bool
	gate := New(Options{Fleet: engineFleet, EnginesKnown: known.Load})
	check := gate.Check(engine.Incarnation(), nil)
	assert.Assert(t, !check.MaySend())
	assert.Equal(t, check.Held(), fleet.HeldUnknown)
	assert.Assert(t, !gate.AwaitEnginesKnown(t.Context()))
	known.Store(true)
	assert.Assert(t, gate.AwaitEnginesKnown(t.Context()))
	assert.Assert(t, gate.Check(engine.Incarnation(), nil).MaySend())
}

// Guards against a wait that outlasts the caller's context.
func TestAwaitEnginesKnownWithCanceledContext(t *testing.T) {
	engineFleet, _ := newFleet("za")
	gate := New(Options{Fleet: engineFleet, EnginesKnown: func() bool { return false }})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.Assert(t, !gate.AwaitEnginesKnown(ctx))
}

// Guards against requests to a cold engine that was warm when it was chosen.
func TestMaySendWithoutPermitAfterEngineTurnedCold(t *testing.T) {
	engineFleet, engine := newFleet("za")
	engineFleet.SetSlowStarts(map[string]routes.SlowStart{"s": {Period: time.Hour, RatePerSecond: 4}})
	gate := New(Options{Fleet: engineFleet})
	check, weightLoad := gate.Check(engine.Incarnation(), nil), gate.CheckWeightLoad(engine.Incarnation())
	assert.Assert(t, check.MaySend() && weightLoad.MaySend())
	engineFleet.MarkPossiblyCold(engine.Incarnation(), fleet.Unreached, time.Now())
	assert.Assert(t, !check.MaySend())
	assert.Equal(t, check.Held(), fleet.HeldWithoutPermit)
	assert.Assert(t, weightLoad.MaySend())
}

// Guards against a permit that does not expire or that overrides an evacuation.
func TestMaySendWithPermitForColdEngine(t *testing.T) {
	engineFleet, engine := newFleet("za")
	var valid atomic.Bool
	valid.Store(true)
	gate := New(Options{Fleet: engineFleet})
	assert.Assert(t, gate.Check(engine.Incarnation(), valid.Load).MaySend())
	valid.Store(false)
	check := gate.Check(engine.Incarnation(), valid.Load)
	assert.Assert(t, !check.MaySend())
	assert.Equal(t, check.Held(), fleet.HeldWithoutPermit)
	engineFleet.Evacuate("za", time.Now(), 1)
	check = gate.Check(engine.Incarnation(), valid.Load)
	assert.Assert(t, !check.MaySend())
	assert.Equal(t, check.Held(), fleet.HeldEvacuated)
}
