package scaling

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	now = time.Unix(1000, 0)
	// settled is when a planner acts on an observation at now.
	settled = now.Add(unseenPeriod)
	bounds  = Bounds{Min: 1, Max: 30, Prices: map[string]float64{"a": 1, "b": 0.8, "c": 1.25}}
)

func observed(items int, engines map[string]int) *Planner {
	planner := NewPlanner()
	planner.Observe(now, Demand{Items: items, Slots: 8}, engines)
	return planner
}

func TestWhatStandsIsKept(t *testing.T) {
	planner := observed(0, map[string]int{"a": 15, "b": 15, "c": 15})
	planner.Observe(now.Add(time.Second), Demand{}, map[string]int{"a": 15, "b": 9, "c": 0})
	assert.DeepEqual(t, planner.Wanted(settled, bounds, 8), map[string]int{"a": 15, "b": 15, "c": 15})
}

// TestNothingIsOrderedWhileEnginesAreStillHeardOf: an order for the engines that a new leader
// knows so far would remove the others.
func TestNothingIsOrderedWhileEnginesAreStillHeardOf(t *testing.T) {
	planner := observed(500, nil)
	assert.Equal(t, len(planner.Wanted(now.Add(settleTime), bounds, 8)), 0)
	for i := range 4 {
		at := now.Add(time.Duration(i+1) * time.Second)
		planner.Observe(at, Demand{Items: 500, Slots: 8}, map[string]int{"a": i + 1})
		assert.Equal(t, len(planner.Wanted(at.Add(settleTime-1), bounds, 8)), 0)
	}
	assert.DeepEqual(t, planner.Wanted(now.Add(4*time.Second+settleTime), bounds, 8), map[string]int{"a": 30})
	assert.DeepEqual(t, planner.Wanted(settled, bounds, 8), map[string]int{"a": 24, "b": 24, "c": 24})
}

func TestZonesAreFilledEvenlyTheCheapestFirst(t *testing.T) {
	planner := observed(200, map[string]int{"a": 2, "b": 2, "c": 9})
	// 200 items with 15 % headroom on 8 slots need 29 engines.
	assert.DeepEqual(t, planner.Wanted(settled, bounds, 8), map[string]int{"a": 10, "b": 10, "c": 9})
	planner = observed(202, map[string]int{"a": 2, "b": 2, "c": 9})
	assert.DeepEqual(t, planner.Wanted(settled, bounds, 8), map[string]int{"a": 10, "b": 10, "c": 10})
}

func TestBoundsHold(t *testing.T) {
	for _, try := range []struct {
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
		assert.DeepEqual(t, observed(try.items, try.engines).Wanted(settled, try.bounds, 8), try.want)
	}
}

func TestAPeakCountsForAWhile(t *testing.T) {
	planner := observed(400, nil)
	planner.Observe(now.Add(peakPeriod/2), Demand{Items: 10, Slots: 8}, nil)
	assert.DeepEqual(t, planner.Wanted(now.Add(peakPeriod/2), bounds, 8), map[string]int{"a": 19, "b": 20, "c": 19})
	after := now.Add(peakPeriod + time.Second)
	planner.Observe(after, Demand{Items: 0, Slots: 8}, nil)
	assert.DeepEqual(t, planner.Wanted(after, bounds, 8), map[string]int{"a": 1, "b": 1, "c": 1})
}

// evacuating returns the bounds while zones are evacuated.
func evacuating(zones ...string) Bounds {
	changed := bounds
	changed.Evacuated = make(map[string]bool)
	for _, zone := range zones {
		changed.Evacuated[zone] = true
	}
	return changed
}

// TestPlacesOfAnEvacuatedZoneAreAskedForInTheOthers: nothing is requested in the zone itself, even if its
// engines are lost meanwhile, and substitutes are not requested again while they start.
func TestPlacesOfAnEvacuatedZoneAreAskedForInTheOthers(t *testing.T) {
	planner := observed(0, map[string]int{"a": 4, "b": 4, "c": 4})
	for range 3 {
		assert.DeepEqual(t, planner.Wanted(settled, evacuating("a"), 8), map[string]int{"b": 6, "c": 6})
	}
	planner.Observe(settled, Demand{}, map[string]int{"b": 4, "c": 4})
	assert.DeepEqual(t, planner.Wanted(settled, evacuating("a"), 8), map[string]int{"b": 6, "c": 6})
}

// TestAZoneThatReturnsTakesNothingBack: the substitutes stay, and the next evacuation needs fewer of
// them.
func TestAZoneThatReturnsTakesNothingBack(t *testing.T) {
	planner := observed(0, map[string]int{"a": 4, "b": 4, "c": 4})
	planner.Wanted(settled, evacuating("a"), 8)
	// The substitutes have not started yet: nothing is requested and nothing removed.
	assert.DeepEqual(t, planner.Wanted(settled, bounds, 8), map[string]int{"a": 4})
	planner.Observe(settled, Demand{}, map[string]int{"a": 4, "b": 6, "c": 6})
	later := settled.Add(settleTime)
	assert.DeepEqual(t, planner.Wanted(later, bounds, 8), map[string]int{"a": 4, "b": 6, "c": 6})
	assert.DeepEqual(t, planner.Wanted(later, evacuating("a"), 8), map[string]int{"b": 6, "c": 6})
	assert.DeepEqual(t, planner.Wanted(later, evacuating("b"), 8), map[string]int{"a": 6, "c": 6})
}

// TestEvacuationsThatOverlapStayWithinBounds: the remaining zone is filled, and without one nothing is
// requested.
func TestEvacuationsThatOverlapStayWithinBounds(t *testing.T) {
	planner := observed(0, map[string]int{"a": 12, "b": 12, "c": 12})
	assert.DeepEqual(t, planner.Wanted(settled, evacuating("a", "b"), 8), map[string]int{"c": 30})
	assert.DeepEqual(t, planner.Wanted(settled, evacuating("a", "b", "c"), 8), map[string]int{})
}

// TestABoundBelowWhatStandsTakesNothingAway: neither present engines nor substitutes are removed, and
// nothing is requested in a zone above its bound.
func TestABoundBelowWhatStandsTakesNothingAway(t *testing.T) {
	lowered := func(most int, zones ...string) Bounds {
		changed := evacuating(zones...)
		changed.Max = most
		return changed
	}
	planner := observed(0, map[string]int{"a": 4, "b": 4, "c": 4})
	assert.DeepEqual(t, planner.Wanted(settled, lowered(3), 8), map[string]int{})
	assert.DeepEqual(t, planner.Wanted(settled, lowered(3, "a"), 8), map[string]int{})
	assert.DeepEqual(t, planner.Wanted(settled, lowered(30, "a"), 8), map[string]int{"b": 6, "c": 6})
	assert.DeepEqual(t, planner.Wanted(settled, lowered(5, "a"), 8), map[string]int{})
	assert.DeepEqual(t, planner.Wanted(settled, lowered(5), 8), map[string]int{"a": 4})
}

// TestOnlyThePlacesOfEvacuatedZonesAreAskedForElsewhere: not those of a zone that is not evacuated but
// offers no engines.
func TestOnlyThePlacesOfEvacuatedZonesAreAskedForElsewhere(t *testing.T) {
	planner := observed(0, map[string]int{"a": 4, "b": 4, "unpriced": 6})
	assert.DeepEqual(t, planner.Wanted(settled, evacuating("nowhere"), 8), map[string]int{"a": 4, "b": 4, "c": 1})
	assert.DeepEqual(t, planner.Wanted(settled, evacuating("a"), 8), map[string]int{"b": 4, "c": 4})
	planner = observed(0, map[string]int{"a": 4, "b": 4, "unpriced": 6})
	assert.DeepEqual(t, planner.Wanted(settled, evacuating("unpriced"), 8), map[string]int{"a": 5, "b": 5, "c": 4})
}

// TestDemandAsksAgainForPlacesThatWereNotToBeHad: the order for substitutes was refused, and the demand
// after the zone's return must not rely on them.
func TestDemandAsksAgainForPlacesThatWereNotToBeHad(t *testing.T) {
	planner := observed(0, map[string]int{"a": 4, "b": 4, "c": 4})
	planner.Wanted(settled, evacuating("a"), 8)
	// 97 items with 15 % headroom on 8 slots need 14 engines.
	planner.Observe(settled, Demand{Items: 97, Slots: 8}, map[string]int{"a": 4, "b": 4, "c": 4})
	assert.DeepEqual(t, planner.Wanted(settled, bounds, 8), map[string]int{"a": 5, "b": 6})
}
