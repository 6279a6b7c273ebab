package scaling

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	now = time.Unix(1000, 0)
	// ready is the earliest time at which a planner acts on an observation at now.
	ready  = now.Add(unseenPeriod)
	bounds = Bounds{Min: 1, Max: 30, Prices: map[string]float64{"a": 1, "b": 0.8, "c": 1.25}}
)

func plannerWith(items int, engines map[string]int) *Planner {
	planner := NewPlanner()
	planner.Observe(now, Demand{Items: items, Slots: 8}, engines)
	return planner
}

func TestWantedNeverRequestsFewerEnginesThanSeen(t *testing.T) {
	planner := plannerWith(0, map[string]int{"a": 15, "b": 15, "c": 15})
	planner.Observe(now.Add(time.Second), Demand{}, map[string]int{"a": 15, "b": 9, "c": 0})
	assert.DeepEqual(t, planner.Wanted(ready, bounds, 8), map[string]int{"a": 15, "b": 15, "c": 15})
}

// Guards against a new leader that requests only the engines it knows so far, which would remove the others.
func TestWantedIsEmptyWhileEngineCountGrows(t *testing.T) {
	planner := plannerWith(500, nil)
	assert.Equal(t, len(planner.Wanted(now.Add(settleTime), bounds, 8)), 0)
	for i := range 4 {
		at := now.Add(time.Duration(i+1) * time.Second)
		planner.Observe(at, Demand{Items: 500, Slots: 8}, map[string]int{"a": i + 1})
		assert.Equal(t, len(planner.Wanted(at.Add(settleTime-1), bounds, 8)), 0)
	}
	assert.DeepEqual(t, planner.Wanted(now.Add(4*time.Second+settleTime), bounds, 8), map[string]int{"a": 30})
	assert.DeepEqual(t, planner.Wanted(ready, bounds, 8), map[string]int{"a": 24, "b": 24, "c": 24})
}

func TestZonesAreFilledEvenlyCheapestFirst(t *testing.T) {
	planner := plannerWith(200, map[string]int{"a": 2, "b": 2, "c": 9})
	// 200 items with 15 % headroom on 8 slots need 29 engines.
	assert.DeepEqual(t, planner.Wanted(ready, bounds, 8), map[string]int{"a": 10, "b": 10, "c": 9})
	planner = plannerWith(202, map[string]int{"a": 2, "b": 2, "c": 9})
	assert.DeepEqual(t, planner.Wanted(ready, bounds, 8), map[string]int{"a": 10, "b": 10, "c": 10})
}

func TestWantedStaysWithinBounds(t *testing.T) {
	for _, test := range []struct {
		items   int
		engines map[string]int
		bounds  Bounds
		want    map[string]int
	}{
		{0, nil, bounds, map[string]int{"a": 1, "b": 1, "c": 1}},
		{100_000, nil, bounds, map[string]int{"a": 30, "b": 30, "c": 30}},
		{0, map[string]int{"a": 40}, bounds, map[string]int{"b": 1, "c": 1}},
		{300, map[string]int{"a": 40}, bounds, map[string]int{"b": 2, "c": 2}},
		{9, nil, Bounds{Max: 3}, map[string]int{}},
	} {
		assert.DeepEqual(t, plannerWith(test.items, test.engines).Wanted(ready, test.bounds, 8), test.want)
	}
}

func TestPeakCountsForPeakPeriod(t *testing.T) {
	planner := plannerWith(400, nil)
	planner.Observe(now.Add(peakPeriod/2), Demand{Items: 10, Slots: 8}, nil)
	assert.DeepEqual(t, planner.Wanted(now.Add(peakPeriod/2), bounds, 8), map[string]int{"a": 19, "b": 20, "c": 19})
	after := now.Add(peakPeriod + time.Second)
	planner.Observe(after, Demand{Items: 0, Slots: 8}, nil)
	assert.DeepEqual(t, planner.Wanted(after, bounds, 8), map[string]int{"a": 1, "b": 1, "c": 1})
}

// boundsWithEvacuated returns the bounds while the given zones are evacuated.
func boundsWithEvacuated(zones ...string) Bounds {
	changed := bounds
	changed.Evacuated = make(map[string]bool)
	for _, zone := range zones {
		changed.Evacuated[zone] = true
	}
	return changed
}

// Nothing is requested in the zone itself, even if its engines are lost meanwhile, and substitutes are not
// requested again while they start.
func TestEvacuatedEnginesAreSubstitutedInOtherZones(t *testing.T) {
	planner := plannerWith(0, map[string]int{"a": 4, "b": 4, "c": 4})
	for range 3 {
		assert.DeepEqual(t, planner.Wanted(ready, boundsWithEvacuated("a"), 8), map[string]int{"b": 6, "c": 6})
	}
	planner.Observe(ready, Demand{}, map[string]int{"b": 4, "c": 4})
	assert.DeepEqual(t, planner.Wanted(ready, boundsWithEvacuated("a"), 8), map[string]int{"b": 6, "c": 6})
}

// The substitutes are kept, so that the next evacuation needs fewer of them.
func TestSubstitutesRemainAfterEvacuationEnds(t *testing.T) {
	planner := plannerWith(0, map[string]int{"a": 4, "b": 4, "c": 4})
	planner.Wanted(ready, boundsWithEvacuated("a"), 8)
	// The substitutes have not started yet: nothing is requested and nothing removed.
	assert.DeepEqual(t, planner.Wanted(ready, bounds, 8), map[string]int{"a": 4})
	planner.Observe(ready, Demand{}, map[string]int{"a": 4, "b": 6, "c": 6})
	later := ready.Add(settleTime)
	assert.DeepEqual(t, planner.Wanted(later, bounds, 8), map[string]int{"a": 4, "b": 6, "c": 6})
	assert.DeepEqual(t, planner.Wanted(later, boundsWithEvacuated("a"), 8), map[string]int{"b": 6, "c": 6})
	assert.DeepEqual(t, planner.Wanted(later, boundsWithEvacuated("b"), 8), map[string]int{"a": 6, "c": 6})
}

// The remaining zone is filled; without a remaining zone nothing is requested.
func TestOverlappingEvacuationsStayWithinBounds(t *testing.T) {
	planner := plannerWith(0, map[string]int{"a": 12, "b": 12, "c": 12})
	assert.DeepEqual(t, planner.Wanted(ready, boundsWithEvacuated("a", "b"), 8), map[string]int{"c": 30})
	assert.DeepEqual(t, planner.Wanted(ready, boundsWithEvacuated("a", "b", "c"), 8), map[string]int{})
}

// Neither present engines nor substitutes are removed, and nothing is requested in a zone above its bound.
func TestLoweredBoundRemovesNoEngines(t *testing.T) {
	lowered := func(maxEngines int, zones ...string) Bounds {
		changed := boundsWithEvacuated(zones...)
		changed.Max = maxEngines
		return changed
	}
	planner := plannerWith(0, map[string]int{"a": 4, "b": 4, "c": 4})
	assert.DeepEqual(t, planner.Wanted(ready, lowered(3), 8), map[string]int{})
	assert.DeepEqual(t, planner.Wanted(ready, lowered(3, "a"), 8), map[string]int{})
	assert.DeepEqual(t, planner.Wanted(ready, lowered(30, "a"), 8), map[string]int{"b": 6, "c": 6})
	assert.DeepEqual(t, planner.Wanted(ready, lowered(5, "a"), 8), map[string]int{})
	assert.DeepEqual(t, planner.Wanted(ready, lowered(5), 8), map[string]int{"a": 4})
}

// Engines of a zone that is not evacuated but offers no engines are not substituted.
func TestOnlyEvacuatedEnginesAreSubstituted(t *testing.T) {
	planner := plannerWith(0, map[string]int{"a": 4, "b": 4, "unpriced": 6})
	assert.DeepEqual(t, planner.Wanted(ready, boundsWithEvacuated("nowhere"), 8), map[string]int{"a": 4, "b": 4, "c": 1})
	assert.DeepEqual(t, planner.Wanted(ready, boundsWithEvacuated("a"), 8), map[string]int{"b": 4, "c": 4})
	planner = plannerWith(0, map[string]int{"a": 4, "b": 4, "unpriced": 6})
	assert.DeepEqual(t, planner.Wanted(ready, boundsWithEvacuated("unpriced"), 8), map[string]int{"a": 5, "b": 5, "c": 4})
}

// Guards against relying on substitutes that the platform did not provide, after the end of the evacuation.
func TestDemandRequestsUnfulfilledSubstitutesAgain(t *testing.T) {
	planner := plannerWith(0, map[string]int{"a": 4, "b": 4, "c": 4})
	planner.Wanted(ready, boundsWithEvacuated("a"), 8)
	// 97 items with 15 % headroom on 8 slots need 14 engines.
	planner.Observe(ready, Demand{Items: 97, Slots: 8}, map[string]int{"a": 4, "b": 4, "c": 4})
	assert.DeepEqual(t, planner.Wanted(ready, bounds, 8), map[string]int{"a": 5, "b": 6})
}
