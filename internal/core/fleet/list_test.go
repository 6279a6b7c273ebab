package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/incarnation"
	"github.com/corkpulley/corkpulley/internal/core/topology"
)

// startedAt returns an entry of an engine with the given start time.
func startedAt(id string, startMillis int64) Engine {
	engine := testEngine(id, "z")
	engine.StartMillis, engine.ReadAt = startMillis, now
	return engine
}

// Versions, failures, load, latency, requests in flight and the cold time belong to one incarnation.
func TestReplacedIncarnationPassesNoStateOn(t *testing.T) {
	first, second := startedAt("a", 1000), startedAt("a", 2000)
	first.ColdUntil = now.Add(time.Minute)
	f := fleetOf(first)
	f.ObserveVersion(first.Incarnation(), "m", 7)
	f.RequestStarted(first.Incarnation())
	f.RequestStarted(first.Incarnation())
	f.RequestEnded(first.Incarnation(), Outcome{At: now, Load: &Load{Running: 3}, Latency: time.Second})
	f.RequestEnded(first.Incarnation(), Outcome{At: now, Failed: true})
	f.RequestStarted(first.Incarnation())

	assert.Equal(t, f.Put(second), Replaced)
	engine, _ := f.Get("a")
	assert.Equal(t, engine.Versions["m"], int64(1))
	assert.Assert(t, engine.ColdUntil.IsZero())
	assert.Assert(t, !f.Suspected(second.Incarnation(), now))
	choice, _ := f.Choose(Query{Service: "s", Zone: "z", Now: now})
	assert.Equal(t, choice.InFlight, 0)
	assert.Equal(t, choice.LoadAge, time.Duration(-1))
	assert.Equal(t, choice.Expected, f.answerTimes["s"]/4+topology.SameZone.RoundTrip(),
		"one of four slots at the service's mean response time, without a latency of the engine")
	slots, busy := f.Capacity("s", now)
	assert.Equal(t, slots, 4)
	assert.Equal(t, busy, 0)
}

// The outcome arrives after the entry of the later incarnation.
func TestOutcomeOfReplacedIncarnationIsIgnored(t *testing.T) {
	first, second := startedAt("a", 1000), startedAt("a", 2000)
	f := fleetOf(first)
	f.RequestStarted(first.Incarnation())
	f.Put(second)
	f.RequestStarted(second.Incarnation())
	f.ObserveVersion(first.Incarnation(), "m", 7)
	f.RequestEnded(first.Incarnation(), Outcome{At: now, Failed: true, Load: &Load{Running: 4}})
	engine, _ := f.Get("a")
	assert.Equal(t, engine.Versions["m"], int64(1))
	assert.Assert(t, !f.Suspected(second.Incarnation(), now))
	_, busy := f.Capacity("s", now)
	assert.Equal(t, busy, 1)
}

// The later incarnation writes its own entry within deferPeriod.
func TestDelayedEntryOfReplacedIncarnationIsIgnored(t *testing.T) {
	first, second := startedAt("a", 1000), startedAt("a", 2000)
	f := fleetOf(first)
	f.Put(second)
	f.ObserveVersion(second.Incarnation(), "m", 2)
	first.Draining, first.Address = true, "elsewhere"
	assert.Equal(t, f.Put(first), Deferred)
	assert.Equal(t, len(f.ApplyDeferred(now.Add(deferPeriod-1), now)), 0)
	assert.Equal(t, f.Put(second), Renewed)
	assert.Equal(t, len(f.ApplyDeferred(now.Add(time.Hour), now)), 0)
	engine, _ := f.Find(second.Incarnation())
	assert.Equal(t, engine.Versions["m"], int64(2))
	assert.Assert(t, f.AcceptsWork(engine))
	assert.Equal(t, engine.Address, "")
}

// Guards against permanently ignoring an engine whose clock was set back. Its entry takes effect once the other
// incarnation has written none for deferPeriod, or at once if that incarnation's entry was deleted.
func TestIncarnationWithEarlierClockIsAppliedAfterDeferral(t *testing.T) {
	before, after := startedAt("a", 2000), startedAt("a", 1000)
	f := fleetOf(before)
	assert.Equal(t, f.Put(after), Deferred)
	replaced := f.ApplyDeferred(now.Add(deferPeriod), now)
	assert.Equal(t, len(replaced), 1)
	assert.Equal(t, replaced[0].Engine.Incarnation(), after.Incarnation())
	assert.Equal(t, replaced[0].Ended.Incarnation(), before.Incarnation())
	assert.Assert(t, f.IsReplaced(before.Incarnation()))
	assert.Equal(t, f.Put(after), Renewed)

	f = fleetOf(before)
	f.Put(after)
	later := after
	later.ReadAt, later.Slots = now.Add(deferPeriod-1), 7
	assert.Equal(t, f.Put(later), Deferred)
	replaced = f.ApplyDeferred(now.Add(deferPeriod), now)
	assert.Equal(t, len(replaced), 1, "further entries of the earlier incarnation do not restart the period")
	assert.Equal(t, replaced[0].Engine.Slots, 7)

	f = fleetOf(before)
	f.Remove("a")
	assert.Equal(t, f.Put(after), Added)
}

// All entries without a start time count as one incarnation.
func TestIncarnationWithoutStartTime(t *testing.T) {
	f := fleetOf(startedAt("a", 0))
	f.ObserveVersion(incarnationOf("a"), "m", 2)
	assert.Equal(t, f.Put(startedAt("a", 0)), Renewed)
	engine, _ := f.Get("a")
	assert.Equal(t, engine.Versions["m"], int64(2))
	assert.Equal(t, f.Put(startedAt("a", 1000)), Replaced)
}

func TestStartsCountsIncarnations(t *testing.T) {
	f := fleetOf(startedAt("a", 1000), startedAt("b", 1000))
	assert.Equal(t, f.IncarnationsListed(), int64(2))
	f.Put(startedAt("a", 1000))
	assert.Equal(t, f.IncarnationsListed(), int64(2))
	f.Put(startedAt("a", 2000))
	assert.Equal(t, f.IncarnationsListed(), int64(3))
	assert.Assert(t, f.IsReplaced(incarnation.ID{Engine: "a", StartMillis: 1000}))
	assert.Assert(t, !f.IsReplaced(incarnation.ID{Engine: "a", StartMillis: 2000}))
	f.Remove("a")
	assert.Assert(t, !f.IsReplaced(incarnation.ID{Engine: "a", StartMillis: 1000}), "a removed entry is not an end")
	f.Put(startedAt("a", 3000))
	assert.Equal(t, f.IncarnationsListed(), int64(4))
	assert.Assert(t, f.IsReplaced(incarnation.ID{Engine: "a", StartMillis: 1000}))
}

func TestListStatusOfReplacedAndRemovedIncarnations(t *testing.T) {
	first := startedAt("a", 1000)
	first.Address = "address:1"
	f := fleetOf(first)
	assert.Equal(t, f.ListStatus(first), ListStatus{Listed: true})
	f.Put(startedAt("a", 2000))
	assert.Equal(t, f.ListStatus(first), ListStatus{Replaced: true})
	f.Put(startedAt("a", 3000))
	assert.Equal(t, f.ListStatus(first), ListStatus{Replaced: true}, "replaced twice")
	f.Remove("a")
	assert.Equal(t, f.ListStatus(first), ListStatus{})
	f.Put(startedAt("a", 4000))
	assert.Equal(t, f.ListStatus(first), ListStatus{}, "entry removed, so it is unknown whether the engine was draining")

	draining := first
	draining.Draining = true
	f = fleetOf(draining)
	assert.Equal(t, f.ListStatus(first), ListStatus{Listed: true, Draining: true})
	f.Put(startedAt("a", 2000))
	assert.Equal(t, f.ListStatus(first), ListStatus{Replaced: true, Draining: true})
}

func TestListStatusIsReplacedWhenOtherServiceTakesAddress(t *testing.T) {
	first, next := startedAt("a", 1000), startedAt("b", 2000)
	first.Address, next.Address, next.Service = "address:1", "address:1", "other"
	f := fleetOf(first, next)
	assert.Equal(t, f.ListStatus(first), ListStatus{Listed: true, Replaced: true})
}

// The entry of a crashed engine remains for seconds while the next engine is listed at its address.
func TestStaleEntryAtSameAddressDoesNotReplaceNewerEngine(t *testing.T) {
	ended, next := startedAt("b", 1000), startedAt("a", 2000)
	ended.Address, next.Address = "address:1", "address:1"
	f := fleetOf(ended, next)
	assert.Equal(t, f.ListStatus(next), ListStatus{Listed: true})
	assert.Equal(t, f.ListStatus(ended), ListStatus{Listed: true, Replaced: true})
	f.Put(next)
	f.Put(ended)
	assert.Equal(t, f.ListStatus(next), ListStatus{Listed: true}, "a further entry does not claim the address")

	again := startedAt("b", 3000)
	again.Address = "address:1"
	f.Put(again)
	assert.Equal(t, f.ListStatus(next), ListStatus{Listed: true, Replaced: true}, "a new incarnation claims its address")

	f = fleetOf(ended)
	elsewhere := next
	elsewhere.Address = "address:2"
	f.Put(elsewhere)
	moved := ended
	moved.Address = "address:2"
	f.Put(moved)
	assert.Equal(t, f.ListStatus(elsewhere), ListStatus{Listed: true, Replaced: true}, "an engine with a new address claims it")
}

// The entry is removed and listed again while a request is in flight.
func TestInFlightCountIsNeverNegative(t *testing.T) {
	engine := startedAt("a", 1000)
	f := fleetOf(engine)
	f.RequestStarted(engine.Incarnation())
	f.Remove("a")
	f.Put(engine)
	f.RequestEnded(engine.Incarnation(), Outcome{At: now})
	_, busy := f.Capacity("s", now)
	assert.Equal(t, busy, 0)
}

func TestServicesListsOnlyServicesWithEngines(t *testing.T) {
	f := fleetOf(startedAt("a", 1000))
	assert.DeepEqual(t, f.Services(), []string{"s"})
	f.Remove("a")
	assert.Equal(t, len(f.Services()), 0)
}

func TestRestartedEngineMayChangeServiceAndZone(t *testing.T) {
	f := fleetOf(startedAt("a", 1000), startedAt("b", 1000))
	moved := startedAt("a", 2000)
	moved.Service, moved.Zone = "other", "elsewhere"
	f.Put(moved)
	assert.Equal(t, len(f.Engines("s")), 1)
	assert.Equal(t, f.Engines("other")[0].Zone, "elsewhere")
	f.Remove("a")
	assert.DeepEqual(t, f.Services(), []string{"s"})
}
