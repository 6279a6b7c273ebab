package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/incarnation"
)

var now = time.Unix(1000, 0)

func testEngine(id, zone string) Engine {
	return Engine{ID: id, Service: "s", Zone: zone, Slots: 4, Versions: map[string]int64{"m": 1}}
}

func fleetOf(engines ...Engine) *Fleet {
	f := New()
	for _, engine := range engines {
		f.Put(engine)
	}
	return f
}

func chooseID(f *Fleet, query Query) string {
	query.Service, query.Now = "s", now
	choice, _ := f.Choose(query)
	return choice.Engine.ID
}

func TestDrainingTriedAndRemovedEnginesAreNotChosen(t *testing.T) {
	draining := testEngine("b", "z")
	draining.Draining = true
	f := fleetOf(testEngine("a", "z"), draining, testEngine("c", "z"))
	assert.Equal(t, chooseID(f, Query{Tried: []string{"a"}}), "c")
	f.Remove("c")
	assert.Equal(t, chooseID(f, Query{Tried: []string{"a"}}), "")
	assert.Equal(t, len(f.Engines("s")), 2)
}

func TestChoosePrefersOwnZoneUnlessBusier(t *testing.T) {
	f := fleetOf(testEngine("a", "z1"), testEngine("b", "z2"))
	assert.Equal(t, chooseID(f, Query{Zone: "z2"}), "b")
	f.RequestStarted(incarnationOf("b"))
	f.RequestStarted(incarnationOf("b"))
	assert.Equal(t, chooseID(f, Query{Zone: "z2"}), "a")
}

func TestChooseUsesReportedLoad(t *testing.T) {
	f := fleetOf(testEngine("a", "z"), testEngine("b", "z"))
	f.RequestStarted(incarnationOf("a"))
	f.RequestEnded(incarnationOf("a"), Outcome{At: now, Load: &Load{Running: 4, Waiting: 2}, Latency: time.Millisecond})
	assert.Equal(t, chooseID(f, Query{Zone: "z"}), "b")
}

func TestFailedEngineIsAvoidedTemporarilyUnlessItIsTheOnlyOne(t *testing.T) {
	f := fleetOf(testEngine("a", "z"), testEngine("b", "z"))
	f.RequestStarted(incarnationOf("a"))
	f.RequestEnded(incarnationOf("a"), Outcome{At: now, Failed: true})
	assert.Assert(t, f.Suspected(incarnationOf("a"), now))
	assert.Equal(t, chooseID(f, Query{}), "b")
	assert.Equal(t, chooseID(f, Query{Tried: []string{"b"}}), "a")
	assert.Assert(t, !f.Suspected(incarnationOf("a"), now.Add(firstSuspicion)))
	for range 10 {
		f.RequestStarted(incarnationOf("a"))
		f.RequestEnded(incarnationOf("a"), Outcome{At: now, Failed: true})
	}
	assert.Assert(t, f.Suspected(incarnationOf("a"), now.Add(maxSuspicion-1)))
	assert.Assert(t, !f.Suspected(incarnationOf("a"), now.Add(maxSuspicion)))
}

func TestChooseFiltersOldVersionsAndObservedVersionsOnlyIncrease(t *testing.T) {
	f := fleetOf(testEngine("a", "z"))
	assert.Equal(t, chooseID(f, Query{Model: "m", MinVersion: 2}), "")
	f.ObserveVersion(incarnationOf("a"), "m", 2)
	before, _ := f.Get("a")
	f.Put(testEngine("a", "z")) // a delayed entry reports version 1
	assert.Equal(t, chooseID(f, Query{Model: "m", MinVersion: 2}), "a")
	f.ObserveVersion(incarnationOf("a"), "m", 5)
	assert.Equal(t, before.Versions["m"], int64(2), "a returned map must not change")
}

func TestEngineThatChangesItsServiceIsReindexed(t *testing.T) {
	f := fleetOf(testEngine("a", "z"))
	moved := testEngine("a", "z")
	moved.Service = "other"
	f.Put(moved)
	assert.Equal(t, len(f.Engines("s")), 0)
	assert.Equal(t, len(f.Engines("other")), 1)
}

func incarnationOf(engine string) incarnation.ID { return incarnation.ID{Engine: engine} }
