package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/homes"
)

// twoRegions has a free engine in the south and one in the north that is full, suspected and far.
func twoRegions(now time.Time) *Fleet {
	known := New()
	known.Put(Engine{ID: "s", Service: "live", Zone: "s1", Region: "south", Slots: 8})
	known.Put(Engine{ID: "n", Service: "live", Zone: "n1", Region: "north", Slots: 1})
	engine, _ := known.Get("n")
	known.Began(engine.Incarnation())
	known.Ended(engine.Incarnation(), Outcome{At: now, Failed: true})
	known.Began(engine.Incarnation())
	return known
}

func TestEnginesOutsideOfTheRegionsAreNeverChosen(t *testing.T) {
	now := time.Now()
	known := twoRegions(now)
	query := Query{Service: "live", Zone: "s1", Region: "south", Now: now}
	choice, found := known.Choose(query)
	assert.Assert(t, found)
	assert.Equal(t, choice.Engine.ID, "s")

	query.Regions = homes.Of([]string{"north"})
	choice, found = known.Choose(query)
	assert.Assert(t, found)
	assert.Equal(t, choice.Engine.ID, "n", "the only one at home, however bad")
	assert.Equal(t, choice.Candidates, 1)

	query.Tried = []string{"n"}
	_, found = known.Choose(query)
	assert.Assert(t, !found, "a retry stays at home too")
}

func TestAnEngineOfAnUnknownRegionIsOutsideOfAll(t *testing.T) {
	known := New()
	known.Put(Engine{ID: "x", Service: "live", Zone: "x1", Slots: 8})
	_, found := known.Choose(Query{Service: "live", Regions: homes.Of([]string{"north"}), Now: time.Now()})
	assert.Assert(t, !found)
	_, found = known.Choose(Query{Service: "live", Now: time.Now()})
	assert.Assert(t, found)
}

func TestServesTellsWhetherARegionHasEnginesThatStay(t *testing.T) {
	now := time.Now()
	known := twoRegions(now)
	north := homes.Of([]string{"north"})
	assert.Assert(t, known.Serves("live", north), "one that is full or failed serves soon")
	known.Evacuate("n1", now, 1)
	assert.Assert(t, known.Serves("live", north), "an evacuated zone comes back")
	known.Put(Engine{ID: "n", Service: "live", Zone: "n1", Region: "north", Slots: 1, Draining: true})
	assert.Assert(t, !known.Serves("live", north))
	assert.Assert(t, known.Serves("live", homes.Set{}))
	assert.Assert(t, !known.Serves("batch", homes.Set{}))
}
