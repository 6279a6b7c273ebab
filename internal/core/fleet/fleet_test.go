package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/incarnation"
)

var now = time.Unix(1000, 0)

func listed(id, zone string) Engine {
	return Engine{ID: id, Service: "s", Zone: zone, Slots: 4, Versions: map[string]int64{"m": 1}}
}

func fleetOf(engines ...Engine) *Fleet {
	f := New()
	for _, engine := range engines {
		f.Put(engine)
	}
	return f
}

func chosen(f *Fleet, query Query) string {
	query.Service, query.Now = "s", now
	choice, _ := f.Choose(query)
	return choice.Engine.ID
}

func TestDrainingTriedAndRemovedEnginesAreNotChosen(t *testing.T) {
	draining := listed("b", "z")
	draining.Draining = true
	f := fleetOf(listed("a", "z"), draining, listed("c", "z"))
	assert.Equal(t, chosen(f, Query{Tried: []string{"a"}}), "c")
	f.Remove("c")
	assert.Equal(t, chosen(f, Query{Tried: []string{"a"}}), "")
	assert.Equal(t, len(f.Engines("s")), 2)
}

func TestFreeEngineOfTheZoneIsPreferred(t *testing.T) {
	f := fleetOf(listed("a", "z1"), listed("b", "z2"))
	assert.Equal(t, chosen(f, Query{Zone: "z2"}), "b")
	f.Began(named("b"))
	f.Began(named("b"))
	assert.Equal(t, chosen(f, Query{Zone: "z2"}), "a")
}

func TestReportedLoadCounts(t *testing.T) {
	f := fleetOf(listed("a", "z"), listed("b", "z"))
	f.Began(named("a"))
	f.Ended(named("a"), Outcome{At: now, Load: &Load{Running: 4, Waiting: 2}, Latency: time.Millisecond})
	assert.Equal(t, chosen(f, Query{Zone: "z"}), "b")
}

func TestFailedEngineIsAvoidedForAWhileUnlessItIsTheOnlyOne(t *testing.T) {
	f := fleetOf(listed("a", "z"), listed("b", "z"))
	f.Began(named("a"))
	f.Ended(named("a"), Outcome{At: now, Failed: true})
	assert.Assert(t, f.Suspected(named("a"), now))
	assert.Equal(t, chosen(f, Query{}), "b")
	assert.Equal(t, chosen(f, Query{Tried: []string{"b"}}), "a")
	assert.Assert(t, !f.Suspected(named("a"), now.Add(firstSuspicion)))
	for range 10 {
		f.Began(named("a"))
		f.Ended(named("a"), Outcome{At: now, Failed: true})
	}
	assert.Assert(t, f.Suspected(named("a"), now.Add(maxSuspicion-1)))
	assert.Assert(t, !f.Suspected(named("a"), now.Add(maxSuspicion)))
}

func TestOldWeightsAreFilteredAndObservedVersionsOnlyRise(t *testing.T) {
	f := fleetOf(listed("a", "z"))
	assert.Equal(t, chosen(f, Query{Model: "m", MinVersion: 2}), "")
	f.Observe(named("a"), "m", 2)
	before, _ := f.Get("a")
	f.Put(listed("a", "z")) // a late entry tells of version 1
	assert.Equal(t, chosen(f, Query{Model: "m", MinVersion: 2}), "a")
	f.Observe(named("a"), "m", 5)
	assert.Equal(t, before.Versions["m"], int64(2), "a view that was handed out must not change")
}

func TestEngineThatChangesItsServiceMoves(t *testing.T) {
	f := fleetOf(listed("a", "z"))
	moved := listed("a", "z")
	moved.Service = "other"
	f.Put(moved)
	assert.Equal(t, len(f.Engines("s")), 0)
	assert.Equal(t, len(f.Engines("other")), 1)
}

func named(engine string) incarnation.ID { return incarnation.ID{Engine: engine} }
