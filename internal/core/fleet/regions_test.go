package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/homes"
)

// twoRegionFleet returns a free engine in the south and a full, suspected one in the north.
func twoRegionFleet(now time.Time) *Fleet {
	f := New()
	f.Put(Engine{ID: "s", Service: "live", Zone: "s1", Region: "south", Slots: 8})
	f.Put(Engine{ID: "n", Service: "live", Zone: "n1", Region: "north", Slots: 1})
	engine, _ := f.Get("n")
	f.RequestStarted(engine.Incarnation())
	f.RequestEnded(engine.Incarnation(), Outcome{At: now, Failed: true})
	f.RequestStarted(engine.Incarnation())
	return f
}

func TestChooseNeverLeavesQueryRegions(t *testing.T) {
	now := time.Now()
	f := twoRegionFleet(now)
	query := Query{Service: "live", Zone: "s1", Region: "south", Now: now}
	choice, found := f.Choose(query)
	assert.Assert(t, found)
	assert.Equal(t, choice.Engine.ID, "s")

	query.Regions = homes.Of([]string{"north"})
	choice, found = f.Choose(query)
	assert.Assert(t, found)
	assert.Equal(t, choice.Engine.ID, "n", "the only engine in the region, even if full and suspected")
	assert.Equal(t, choice.Candidates, 1)

	query.Tried = []string{"n"}
	_, found = f.Choose(query)
	assert.Assert(t, !found, "retries stay in the region")
}

func TestEngineOfUnknownRegionMatchesNoRegionSet(t *testing.T) {
	f := New()
	f.Put(Engine{ID: "x", Service: "live", Zone: "x1", Slots: 8})
	_, found := f.Choose(Query{Service: "live", Regions: homes.Of([]string{"north"}), Now: time.Now()})
	assert.Assert(t, !found)
	_, found = f.Choose(Query{Service: "live", Now: time.Now()})
	assert.Assert(t, found)
}

func TestHasEnginesIgnoresOnlyDrainingEngines(t *testing.T) {
	now := time.Now()
	f := twoRegionFleet(now)
	north := homes.Of([]string{"north"})
	assert.Assert(t, f.HasEngines("live", north), "a full or suspected engine counts")
	f.Evacuate("n1", now, 1)
	assert.Assert(t, f.HasEngines("live", north), "an evacuation is temporary")
	f.Put(Engine{ID: "n", Service: "live", Zone: "n1", Region: "north", Slots: 1, Draining: true})
	assert.Assert(t, !f.HasEngines("live", north))
	assert.Assert(t, f.HasEngines("live", homes.Set{}))
	assert.Assert(t, !f.HasEngines("batch", homes.Set{}))
}
