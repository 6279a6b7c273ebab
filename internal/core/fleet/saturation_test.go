package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/homes"
	"github.com/corkpulley/corkpulley/internal/core/incarnation"
)

func report(f *Fleet, id string, at time.Time, load Load) {
	f.RequestStarted(incarnation.ID{Engine: id})
	f.RequestEnded(incarnation.ID{Engine: id}, Outcome{At: at, Load: &load})
}

// Guards against requests that wait although an engine is not known to be full, or because of an old report.
func TestSaturationNeedsEvidenceForEachEngine(t *testing.T) {
	f := fleetOf(testEngine("a", "z"), testEngine("b", "z"))
	query := Query{Service: "s", Now: now}
	for range 4 {
		f.RequestStarted(incarnation.ID{Engine: "a"})
	}
	state := f.Saturation(query)
	assert.Assert(t, !state.Full())
	assert.Equal(t, state.Free, 4)
	report(f, "b", now, Load{Running: 3, Waiting: 2})
	state = f.Saturation(query)
	assert.Assert(t, state.Full())
	assert.Equal(t, state.Slots, 8)
	assert.Equal(t, state.Occupied, 9)
	assert.Equal(t, state.Own, 4)
	assert.Equal(t, state.FreeAt, now.Add(reportedLoadTTL))
	query.Now = now.Add(reportedLoadTTL)
	assert.Assert(t, !f.Saturation(query).Full(), "the report has expired")
}

// Guards against requests that wait for the slot of a request that has ended: the report in its answer counted it.
func TestSaturationLeavesOutTheAnsweredRequest(t *testing.T) {
	f := fleetOf(Engine{ID: "a", Service: "s", Slots: 1})
	id := incarnation.ID{Engine: "a"}
	f.RequestStarted(id)
	f.RequestEnded(id, Outcome{At: now, Load: &Load{Running: 1}, Latency: time.Millisecond})
	assert.Equal(t, f.Saturation(Query{Service: "s", Now: now}).Free, 1)
	f.RequestStarted(id)
	assert.Assert(t, f.Saturation(Query{Service: "s", Now: now}).Full())
	f.RequestEnded(id, Outcome{At: now, Load: &Load{Running: 1}})
	assert.Assert(t, f.Saturation(Query{Service: "s", Now: now}).Full(), "the report in a refusal does not count the refused request")
}

// Guards against requests that wait for engines which they may not use, or go out because such an engine is free.
func TestSaturationCountsOnlyEnginesThatMayRunTheRequest(t *testing.T) {
	f := fleetOf(Engine{ID: "north", Service: "s", Slots: 1, Region: "north"},
		Engine{ID: "south", Service: "s", Slots: 1, Region: "south"})
	f.RequestStarted(incarnation.ID{Engine: "north"})
	query := Query{Service: "s", Now: now, Regions: homes.Of([]string{"north"})}
	assert.Assert(t, f.Saturation(query).Full())
	query.Regions = homes.Of([]string{"south"})
	assert.Equal(t, f.Saturation(query).Free, 1)
	query.Regions, query.Tried = homes.Set{}, []string{"south"}
	assert.Assert(t, f.Saturation(query).Full())
	query.Tried = []string{"north", "south"}
	assert.Assert(t, !f.Saturation(query).Full(), "without engines there is nothing to wait for")
}

// Guards against a request that is sent to a full engine nearby although it waited for the slot of a farther one.
func TestFullEnginesAreExcludedOnRequest(t *testing.T) {
	f := fleetOf(Engine{ID: "near", Service: "s", Slots: 1, Zone: "z", Region: "r"},
		Engine{ID: "far", Service: "s", Slots: 1, Zone: "y", Region: "q"})
	f.RequestStarted(incarnation.ID{Engine: "near"})
	f.answerTimes["s"] = time.Millisecond // the distance weighs more than the occupancy
	query := Query{Zone: "z", Region: "r"}
	assert.Equal(t, chooseID(f, query), "near")
	query.ExcludeFull = true
	assert.Equal(t, chooseID(f, query), "far")
	f.RequestStarted(incarnation.ID{Engine: "far"})
	assert.Equal(t, chooseID(f, query), "")
}

// Guards against an answer that differs from the number of free slots that Saturation counts.
func TestHasFreeSlotsAgreesWithSaturation(t *testing.T) {
	f := fleetOf(testEngine("a", "z"), testEngine("b", "z"), Engine{ID: "c", Service: "s", Slots: 4, Draining: true})
	f.RequestStarted(incarnation.ID{Engine: "a"})
	report(f, "b", now, Load{Running: 9})
	query := Query{Service: "s", Now: now}
	assert.Equal(t, f.Saturation(query).Free, 3)
	for more, wanted := range map[int]bool{0: true, 2: true, 3: false, 4: false} {
		assert.Equal(t, f.HasFreeSlots(query, more), wanted, "more than %d", more)
	}
}
