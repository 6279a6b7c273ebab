package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/homes"
)

// twoRegions returns a free engine in the south and a full, suspected one in the north.
func twoRegions(now time.Time) *Fleet {
	known := New()
	known.Put(Engine{ID: "s", Service: "live", Zone: "s1", Region: "south", Slots: 8})
	known.Put(Engine{ID: "n", Service: "live", Zone: "n1", Region: "north", Slots: 1})
	engine, _ := known.Get("n")
	known.RequestStarted(engine.Incarnation())
	known.RequestEnded(engine.Incarnation(), Outcome{At: now, Failed: true})
	known.RequestStarted(engine.Incarnation())
	return known
}

func TestChooseNeverLeavesQueryRegions(t *testing.T) {
	now := time.Now()
	known := twoRegions(now)
	query := Query{Service: "live", Zone: "s1", Region: "south", Now: now}
	choice, found := known.Choose(query)
	assert.Assert(t, found)
	assert.Equal(t, choice.Engine.ID, "s")

	query.Regions = homes.Of([]string{"north"})
	choice, found = known.Choose(query)
	assert.Assert(t, found)
	assert.Equal(t, choice.Engine.ID, "n", "the only engine in the region, even if full and suspected")
	assert.Equal(t, choice.Candidates, 1)

	query.Tried = []string{"n"}
	_, found = known.Choose(query)
	assert.Assert(t, !found, "retries stay in the region")
}

func TestEngineOfUnknownRegionMatchesNoRegionSet(t *testing.T) {
	known := New()
	known.Put(Engine{ID: "x", Service: "live", Zone: "x1", Slots: 8})
	_, found := known.Choose(Query{Service: "live", Regions: homes.Of([]string{"north"}), Now: time.Now()})
	assert.Assert(t, !found)
	_, found = known.Choose(Query{Service: "live", Now: time.Now()})
	assert.Assert(t, found)
}

func TestHasEnginesIgnoresOnlyDrainingEngines(t *testing.T) {
	now := time.Now()
	known := twoRegions(now)
	north := homes.Of([]string{"north"})
	assert.Assert(t, known.HasEngines("live", north), "a full or suspected engine counts")
	known.Evacuate("n1", now, 1)
	assert.Assert(t, known.HasEngines("live", north), "an evacuation is temporary")
	known.Put(Engine{ID: "n", Service: "live", Zone: "n1", Region: "north", Slots: 1, Draining: true})
	assert.Assert(t, !known.HasEngines("live", north))
	assert.Assert(t, known.HasEngines("live", homes.Set{}))
	assert.Assert(t, !known.HasEngines("batch", homes.Set{}))
}
