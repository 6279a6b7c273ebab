package weights_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/corkpulley/corkpulley/internal/common/fixedseed"
	"github.com/corkpulley/corkpulley/internal/core/weights"
	"github.com/corkpulley/corkpulley/internal/message"
)

var startTime = time.Unix(1_000_000, 0)

// simulatedCell is a dispatcher that starts as many loads as its allotment allows.
type simulatedCell struct {
	id                             message.CellID
	engines, done, loading, broken int
	allotment                      int
	// granted is the largest allotment that the coordinator knows may be in effect.
	granted, floor int
}

func (s *simulatedCell) report() weights.Cell {
	return weights.Cell{
		ID: s.id, Engines: s.engines, AtVersion: s.done, Loading: s.loading, Broken: s.broken,
		Granted: s.granted, FloorPercent: s.floor,
	}
}

// startLoads starts up to limit loads, on broken engines first.
func (s *simulatedCell) startLoads(limit int) {
	for range limit {
		if s.loading >= s.allotment || s.done+s.loading == s.engines {
			return
		}
		if s.broken > 0 {
			s.broken--
		}
		s.loading++
	}
}

func (s *simulatedCell) finishLoads(limit int, fail bool) {
	for range min(limit, s.loading) {
		s.loading--
		if fail {
			s.broken++
		} else {
			s.done++
		}
	}
}

func drawCells(t *rapid.T, floor int) []*simulatedCell {
	count := rapid.IntRange(1, 6).Draw(t, "cells")
	cells := make([]*simulatedCell, count)
	for index := range cells {
		cells[index] = &simulatedCell{
			id:      message.CellID{Zone: "z", Pool: "p", Index: index},
			engines: rapid.IntRange(1, message.CellSize).Draw(t, "engines"),
			floor:   floor,
		}
	}
	return cells
}

func checkBounds(t *rapid.T, cells []*simulatedCell, maxConcurrent, maxUnavailable int) {
	loading, unavailable := 0, 0
	for _, cell := range cells {
		loading += cell.loading
		unavailable += cell.loading + cell.broken
	}
	if loading > maxConcurrent {
		t.Fatalf("%d loads at once, at most %d allowed", loading, maxConcurrent)
	}
	if unavailable > maxUnavailable {
		t.Fatalf("%d engines out of service, at most %d allowed", unavailable, maxUnavailable)
	}
}

func TestPlannerKeepsLimitsAndConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		floor := rapid.IntRange(0, 100).Draw(t, "floor")
		cells := drawCells(t, floor)
		maxConcurrent := rapid.IntRange(1, 12).Draw(t, "max")
		total := 0
		for _, cell := range cells {
			total += cell.engines
		}
		maxUnavailable := total - (total*floor+99)/100
		if floor < 100 {
			maxUnavailable = max(maxUnavailable, 1)
		}
		var planner weights.Planner
		now := startTime
		round := func(deliver func(string) bool, fail func() bool) {
			reports := make([]weights.Cell, len(cells))
			for index, cell := range cells {
				reports[index] = cell.report()
			}
			plan := planner.Plan(now, reports, weights.Limits{MaxConcurrent: maxConcurrent})
			for _, cell := range cells {
				allotment := plan.Allotments[cell.id]
				cell.granted = max(cell.granted, allotment)
				if deliver("request") {
					cell.allotment = allotment
					if deliver("answer") {
						cell.granted = allotment
					}
				}
				cell.startLoads(cell.engines)
			}
			checkBounds(t, cells, maxConcurrent, maxUnavailable)
			for _, cell := range cells {
				cell.finishLoads(cell.engines, fail())
				cell.startLoads(cell.engines)
			}
			checkBounds(t, cells, maxConcurrent, maxUnavailable)
			now = now.Add(2 * time.Minute)
		}
		for range rapid.IntRange(0, 30).Draw(t, "rounds") {
			round(func(label string) bool { return rapid.Bool().Draw(t, label) }, func() bool { return rapid.Bool().Draw(t, "fail") })
		}
		for range 4 * (total + len(cells)) {
			round(func(string) bool { return true }, func() bool { return false })
		}
		for _, cell := range cells {
			if maxUnavailable > 0 && cell.done != cell.engines {
				t.Fatalf("cell did not converge: %+v", *cell)
			}
		}
	})
}

func cell(index, engines int) weights.Cell {
	return weights.Cell{ID: message.CellID{Pool: "p", Index: index}, Engines: engines, FloorPercent: 50}
}

func TestPlanReportsPoolsBlockedByFloor(t *testing.T) {
	var planner weights.Planner
	full := cell(0, 2)
	full.FloorPercent = 100
	plan := planner.Plan(startTime, []weights.Cell{full}, weights.Limits{MaxConcurrent: 4})
	assert.Equal(t, plan.Allotments[full.ID], 0)
	assert.DeepEqual(t, plan.Blocked, []string{"p"})
	// Engines that are already out of service may be loaded.
	full.Absent = 1
	plan = planner.Plan(startTime, []weights.Cell{full}, weights.Limits{MaxConcurrent: 4})
	assert.Equal(t, plan.Allotments[full.ID], 1)
	assert.Equal(t, len(plan.Blocked), 0)
}

func TestPlanBacksOffAfterFailedLoads(t *testing.T) {
	var planner weights.Planner
	failed := cell(0, 8)
	failed.Broken = 1
	limits := weights.Limits{MaxConcurrent: 4}
	allotted := func(after time.Duration) int {
		return planner.Plan(startTime.Add(after), []weights.Cell{failed}, limits).Allotments[failed.ID]
	}
	assert.Equal(t, allotted(0), 0)
	assert.Equal(t, allotted(time.Second), 4)
	failed.Broken = 2
	assert.Equal(t, allotted(2*time.Second), 0)
	assert.Equal(t, allotted(3500*time.Millisecond), 0)
	assert.Equal(t, allotted(4*time.Second), 4)
}

func TestPlanLimitsLoadsToStoreRate(t *testing.T) {
	var planner weights.Planner
	plan := planner.Plan(startTime, []weights.Cell{cell(0, 16), cell(1, 16)},
		weights.Limits{MaxConcurrent: 100, StoreRate: 0.5, LoadDuration: 6 * time.Second})
	assert.Equal(t, plan.Allotments[message.CellID{Pool: "p", Index: 0}], 2)
	assert.Equal(t, plan.Allotments[message.CellID{Pool: "p", Index: 1}], 1)
}

func TestPlanReassignsUnusedAllotments(t *testing.T) {
	var planner weights.Planner
	limits := weights.Limits{MaxConcurrent: 2}
	stalled, other := cell(0, 8), cell(1, 2)
	stalled.Granted = 2
	plan := planner.Plan(startTime, []weights.Cell{stalled, other}, limits)
	assert.Equal(t, plan.Allotments[stalled.ID], 2)
	plan = planner.Plan(startTime.Add(10*time.Second), []weights.Cell{stalled, other}, limits)
	assert.Equal(t, plan.Allotments[stalled.ID], 0)
	assert.Equal(t, plan.Allotments[other.ID], 0, "the stalled cell has not confirmed the reduction")
	stalled.Granted = 0
	plan = planner.Plan(startTime.Add(10500*time.Millisecond), []weights.Cell{stalled, other}, limits)
	assert.Equal(t, plan.Allotments[other.ID], 2)
}
