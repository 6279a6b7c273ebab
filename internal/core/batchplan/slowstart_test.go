package batchplan

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/corkpulley/corkpulley/internal/core/incarnation"
	"github.com/corkpulley/corkpulley/internal/core/slowstart"
)

func coldEngine(id string, slots, starts int) Engine {
	cold := engine(id, slots, 3)
	cold.Cold, cold.MaxStarts = true, starts
	return cold
}

func countByEngine(assigned []Assignment) map[string]int {
	count := make(map[string]int)
	for _, each := range assigned {
		count[each.Engine.Engine]++
	}
	return count
}

func TestColdEngineGetsAtMostItsStarts(t *testing.T) {
	plan := New()
	for i := range 20 {
		plan.Add(item("j", i, 10))
	}
	got := countByEngine(plan.Assign(now, []Engine{coldEngine("a", 8, 2), engine("b", 8, 3), coldEngine("c", 8, 0)}))
	assert.DeepEqual(t, got, map[string]int{"a": 2, "b": 8})
}

// Guards against starts that are not counted because the engine was chosen for a group.
func TestStartsOfGroupCountTowardsTheLimit(t *testing.T) {
	plan := New()
	for i := range 6 {
		each := item("j", i, 10)
		each.Group = "one"
		plan.Add(each)
	}
	assert.DeepEqual(t, countByEngine(plan.Assign(now, []Engine{coldEngine("a", 8, 1)})), map[string]int{"a": 1})
	assert.DeepEqual(t, countByEngine(plan.Assign(now, []Engine{coldEngine("a", 8, 2)})), map[string]int{"a": 2})
}

// zone simulates zoneSize engines that restart at the same time, besides the warm engines of the fleet.
type zone struct {
	plan  *Plan
	pacer *slowstart.Pacer
	warm  []Engine
	cold  []Engine
	// startTimes holds the times at which each cold engine was assigned an item.
	startTimes map[incarnation.ID][]time.Time
	next       int
}

const (
	coldRate       = 7.9
	zoneSize       = 12
	fleetSlots     = 8
	assignInterval = 50 * time.Millisecond
)

func newZone(warm int) *zone {
	z := &zone{
		plan: New(), pacer: slowstart.New(now.Add(-slowstart.TakeoverPause)),
		startTimes: make(map[incarnation.ID][]time.Time),
	}
	for i := range warm {
		z.warm = append(z.warm, engine(fmt.Sprint("w", i), fleetSlots, 3))
	}
	for i := range zoneSize {
		z.cold = append(z.cold, coldEngine(fmt.Sprint("c", i), fleetSlots, 0))
	}
	return z
}

// assign refills the queue and assigns items to the engines, as the runner does.
func (z *zone) assign(at time.Time) []Assignment {
	for z.plan.Waiting() < 1000 {
		z.plan.Add(item("j", z.next, 10))
		z.next++
	}
	engines := append([]Engine(nil), z.warm...)
	for _, each := range z.cold {
		each.MaxStarts = z.pacer.Available(each.ID, coldRate, at)
		engines = append(engines, each)
	}
	assigned := z.plan.Assign(at, engines)
	for _, each := range assigned {
		if each.Engine.Engine[0] == 'c' && z.pacer.Admit(each.Engine, coldRate, at) == 0 {
			z.startTimes[each.Engine] = append(z.startTimes[each.Engine], at)
		}
	}
	return assigned
}

// Guards against cold engines that exceed or miss their start rate, even if they reject every item, and against
// free slots at warm engines meanwhile.
func TestColdEnginesFillAtTheirRateWhileWarmOnesStayFull(t *testing.T) {
	z := newZone(36)
	for at := now; at.Before(now.Add(3 * time.Second)); at = at.Add(assignInterval) {
		for _, each := range z.assign(at) {
			if each.Engine.Engine[0] == 'c' {
				z.plan.Ended(each.Item.Key) // rejected
			}
		}
		for _, each := range z.warm {
			assert.Equal(t, z.plan.Running(each.ID), fleetSlots)
		}
	}
	assert.Equal(t, len(z.startTimes), zoneSize)
	for engine, starts := range z.startTimes {
		assert.Assert(t, len(starts) >= 23, "engine %s: %d starts in 3 s", engine, len(starts))
		for i := range starts {
			inSecond := 0
			for _, other := range starts[i:] {
				if other.Sub(starts[i]) < time.Second {
					inSecond++
				}
			}
			assert.Assert(t, inSecond <= 8+slowstart.Burst, "engine %s: %d starts in 1 s", engine, inSecond)
		}
	}
}

func TestColdFleetStartsItemsAtTheSumOfItsRates(t *testing.T) {
	z := newZone(0)
	starts := 0
	for at := now; at.Before(now.Add(2 * time.Second)); at = at.Add(assignInterval) {
		for _, each := range z.assign(at) {
			starts++
			z.plan.Ended(each.Item.Key)
		}
	}
	assert.Assert(t, starts >= 2*zoneSize*7, "%d", starts)
}

func TestPassExceedsNeitherSlotsNorStarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plan := New()
		var engines []Engine
		for i := range rapid.IntRange(1, 6).Draw(t, "engines") {
			slots, starts := rapid.IntRange(0, 9).Draw(t, "slots"), rapid.IntRange(0, 9).Draw(t, "starts")
			each := engine(fmt.Sprint("e", i), slots, 3)
			each.Cold, each.MaxStarts = rapid.Bool().Draw(t, "cold"), starts
			engines = append(engines, each)
		}
		for i := range rapid.IntRange(0, 60).Draw(t, "items") {
			each := item("j", i, rapid.IntRange(0, 50).Draw(t, "length"))
			plan.Add(each)
		}
		got := countByEngine(plan.Assign(now, engines))
		for _, each := range engines {
			limit := each.Slots
			if each.Cold {
				limit = min(limit, each.MaxStarts)
			}
			if got[each.ID.Engine] > limit {
				t.Fatalf("%d items assigned to %+v", got[each.ID.Engine], each)
			}
		}
	})
}
