package scaling

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	now    = time.Unix(1000, 0)
	bounds = Bounds{Min: 1, Max: 30, Prices: map[string]float64{"a": 1, "b": 0.8, "c": 1.25}}
)

func observed(items int, engines map[string]int) *Planner {
	planner := NewPlanner()
	planner.Observe(now, Demand{Items: items, Slots: 8}, engines)
	return planner
}

func TestWhatStandsIsKept(t *testing.T) {
	planner := observed(0, map[string]int{"a": 15, "b": 15, "c": 15})
	planner.Observe(now.Add(time.Second), Demand{}, map[string]int{"a": 15, "b": 9, "c": 0})
	assert.DeepEqual(t, planner.Wanted(bounds, 8), map[string]int{"a": 15, "b": 15, "c": 15})
}

func TestZonesAreFilledEvenlyTheCheapestFirst(t *testing.T) {
	planner := observed(200, map[string]int{"a": 2, "b": 2, "c": 9})
	// 200 items on 8 places with 15 % more are 29 engines.
	assert.DeepEqual(t, planner.Wanted(bounds, 8), map[string]int{"a": 10, "b": 10, "c": 9})
	planner = observed(202, map[string]int{"a": 2, "b": 2, "c": 9})
	assert.DeepEqual(t, planner.Wanted(bounds, 8), map[string]int{"a": 10, "b": 10, "c": 10})
}

func TestBoundsHold(t *testing.T) {
	assert.DeepEqual(t, observed(0, nil).Wanted(bounds, 8), map[string]int{"a": 1, "b": 1, "c": 1})
	assert.DeepEqual(t, observed(100_000, nil).Wanted(bounds, 8), map[string]int{"a": 30, "b": 30, "c": 30})
	assert.DeepEqual(t, observed(0, map[string]int{"a": 40}).Wanted(bounds, 8), map[string]int{"a": 30, "b": 1, "c": 1})
	assert.DeepEqual(t, observed(9, nil).Wanted(Bounds{Max: 3}, 8), map[string]int{})
}

func TestAPeakCountsForAWhile(t *testing.T) {
	planner := observed(400, nil)
	later := now.Add(memory / 2)
	planner.Observe(later, Demand{Items: 10, Slots: 8}, nil)
	assert.DeepEqual(t, planner.Wanted(bounds, 8), map[string]int{"a": 19, "b": 20, "c": 19})
	planner.Observe(now.Add(memory+time.Second), Demand{Items: 0, Slots: 8}, nil)
	assert.DeepEqual(t, planner.Wanted(bounds, 8), map[string]int{"a": 1, "b": 1, "c": 1})
}
