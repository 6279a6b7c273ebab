package weightplan

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/incarnation"
)

func engines(count int, versions map[string]int64) []Engine {
	all := make([]Engine, count)
	for i := range all {
		all[i] = Engine{ID: engineID(fmt.Sprintf("e%d", i)), Versions: versions, Usable: true}
	}
	return all
}

func countModels(models map[incarnation.ID]string) map[string]int {
	counts := map[string]int{}
	for _, model := range models {
		counts[model]++
	}
	return counts
}

func TestEnginesAreDividedByDemand(t *testing.T) {
	all := engines(9, map[string]int64{"a": 1, "b": 1})
	even := []Target{{Model: "a", Version: 1}, {Model: "b", Version: 1}}
	counts := countModels(NewAllocator().Allocate(all, even))
	assert.Equal(t, counts["a"]+counts["b"], 9)
	assert.Assert(t, counts["a"] >= 4 && counts["b"] >= 4)
	uneven := []Target{{Model: "a", Version: 1, Demand: 100}, {Model: "b", Version: 1, Demand: 200}}
	assert.DeepEqual(t, countModels(NewAllocator().Allocate(all, uneven)), map[string]int{"a": 3, "b": 6})
	one := []Target{{Model: "a", Version: 1, Demand: 1}, {Model: "b", Version: 1, Demand: 1000}}
	assert.Equal(t, countModels(NewAllocator().Allocate(all, one))["a"], 1)
}

func TestNewLeaderKeepsTheModelThatAnEngineFollows(t *testing.T) {
	all := []Engine{
		{ID: engineID("e0"), Versions: map[string]int64{"a": 9, "b": 1}},
		{ID: engineID("e1"), Versions: map[string]int64{"a": 1, "b": 7}},
		{ID: engineID("e2"), Versions: map[string]int64{"a": 9, "b": 2}},
		{ID: engineID("e3"), Versions: map[string]int64{"a": 1, "b": 7}},
	}
	models := NewAllocator().Allocate(all, []Target{{Model: "a", Version: 9}, {Model: "b", Version: 7}})
	assert.DeepEqual(t, models, map[incarnation.ID]string{
		engineID("e0"): "a", engineID("e1"): "b", engineID("e2"): "a", engineID("e3"): "b",
	})
}

func TestSingleEngineFollowsOneOfTwoModels(t *testing.T) {
	all := engines(1, map[string]int64{"a": 1, "b": 1})
	models := NewAllocator().Allocate(all, []Target{{Model: "a", Version: 1}, {Model: "b", Version: 1}})
	assert.Equal(t, len(models), 1)
}

func TestLoadsAreBoundedAndIdleEnginesLoadFirst(t *testing.T) {
	all := engines(4, map[string]int64{"a": 1})
	all[0].Running = 5
	all[1].Loading = true
	models := map[incarnation.ID]string{engineID("e0"): "a", engineID("e1"): "a", engineID("e2"): "a", engineID("e3"): "a"}
	loads := NextLoads(all, models, []Target{{Model: "a", Version: 2}}, 2)
	assert.DeepEqual(t, loads, []Load{{Engine: engineID("e2"), Model: "a", Version: 2}})
}

func TestEnginesUsableByWaitingItemsDoNotLoad(t *testing.T) {
	all := engines(1, map[string]int64{"a": 1})
	models := map[incarnation.ID]string{engineID("e0"): "a"}
	busy := Target{Model: "a", Version: 2, MinVersion: 1, Waiting: 3}
	assert.Equal(t, len(NextLoads(all, models, []Target{busy}, 2)), 0)
	busy.MinVersion = 2
	assert.Equal(t, len(NextLoads(all, models, []Target{busy}, 2)), 1, "engine below the waiting items' MinVersion")
	busy.MinVersion, busy.Waiting = 1, 0
	assert.Equal(t, len(NextLoads(all, models, []Target{busy}, 2)), 1)
}

func TestLoadsThatInterruptWaitForRunningItems(t *testing.T) {
	all := engines(1, map[string]int64{"a": 1})
	all[0].Running = 5
	models := map[incarnation.ID]string{engineID("e0"): "a"}
	target := Target{Model: "a", Version: 2, MinVersion: 1, LoadsInterrupt: true}
	assert.Equal(t, len(NextLoads(all, models, []Target{target}, 2)), 0)
	target.LoadsInterrupt = false
	assert.Equal(t, len(NextLoads(all, models, []Target{target}, 2)), 1)
	needed := Target{Model: "a", Version: 2, MinVersion: 2, LoadsInterrupt: true}
	assert.Equal(t, len(NextLoads(all, models, []Target{needed}, 2)), 1)
}

func TestEnginesBelowMinVersionLoadFirstThenThoseWithLargestLag(t *testing.T) {
	all := []Engine{
		{ID: engineID("near"), Versions: map[string]int64{"a": 8}, Usable: true},
		{ID: engineID("far"), Versions: map[string]int64{"a": 7}, Usable: true},
		{ID: engineID("old"), Versions: map[string]int64{"b": 1}, Usable: true, Running: 9},
	}
	models := map[incarnation.ID]string{engineID("near"): "a", engineID("far"): "a", engineID("old"): "b"}
	targets := []Target{{Model: "a", Version: 9, MinVersion: 7}, {Model: "b", Version: 3, MinVersion: 2}}
	assert.DeepEqual(t, NextLoads(all, models, targets, 2), []Load{
		{Engine: engineID("old"), Model: "b", Version: 3}, {Engine: engineID("far"), Model: "a", Version: 9},
	})
}

func TestUnusableAndCurrentEnginesDoNotLoad(t *testing.T) {
	all := engines(2, map[string]int64{"a": 2})
	all[1].Versions = map[string]int64{"a": 1}
	all[1].Usable = false
	models := map[incarnation.ID]string{engineID("e0"): "a", engineID("e1"): "a"}
	assert.Equal(t, len(NextLoads(all, models, []Target{{Model: "a", Version: 2}}, 2)), 0)
}

// Guards against loads of one model, whose engines are too old for its open job, that delay all loads of another.
func TestModelWithFewestCurrentEnginesLoadsFirst(t *testing.T) {
	var all []Engine
	models := map[incarnation.ID]string{}
	for i := range 12 {
		engine := Engine{ID: engineID(fmt.Sprintf("a%02d", i)), Versions: map[string]int64{"a": 1}, Usable: true}
		if i < 6 {
			engine.Versions["a"] = 3
		}
		models[engine.ID] = "a"
		all = append(all, engine)
	}
	for i := range 12 {
		engine := Engine{ID: engineID(fmt.Sprintf("b%02d", i)), Versions: map[string]int64{"b": 2}, Usable: true}
		models[engine.ID] = "b"
		all = append(all, engine)
	}
	targets := []Target{{Model: "a", Version: 3, MinVersion: 2, Waiting: 40}, {Model: "b", Version: 3, MinVersion: 1}}
	count := map[string]int{}
	for _, load := range NextLoads(all, models, targets, 8) {
		count[load.Model]++
	}
	// Half of model a's engines have the target version, none of model b's.
	assert.DeepEqual(t, count, map[string]int{"a": 1, "b": 7})
}

func engineID(engine string) incarnation.ID { return incarnation.ID{Engine: engine} }

// Guards against a restarted engine that inherits the model of its previous incarnation.
func TestRestartedEngineFollowsTheModelItHolds(t *testing.T) {
	targets := []Target{{Model: "a", Version: 9}, {Model: "b", Version: 9}}
	start := func(engine string, startMillis, a, b int64) Engine {
		return Engine{
			ID: incarnation.ID{Engine: engine, StartMillis: startMillis}, Versions: map[string]int64{"a": a, "b": b}, Usable: true,
		}
	}
	allocator := NewAllocator()
	before := []Engine{start("e0", 1000, 9, 1), start("e1", 1000, 1, 9)}
	assert.DeepEqual(t, allocator.Allocate(before, targets), map[incarnation.ID]string{before[0].ID: "a", before[1].ID: "b"})
	after := []Engine{start("e0", 2000, 1, 9), start("e1", 2000, 9, 1)}
	assert.DeepEqual(t, allocator.Allocate(after, targets), map[incarnation.ID]string{after[0].ID: "b", after[1].ID: "a"})
}

// fleetOf returns engines with six slots each.
func fleetOf(count int) []Engine {
	all := engines(count, map[string]int64{"a": 1, "b": 1})
	for i := range all {
		all[i].Slots = 6
	}
	return all
}

// Guards against a number of loads that grows with the fleet rather than with the items.
func TestSurplusEnginesFollowNoModel(t *testing.T) {
	targets := []Target{{Model: "a", Version: 2, Items: 100}, {Model: "b", Version: 2, Items: 40}}
	for _, fleet := range []int{1_000, 2_000} {
		all := fleetOf(fleet)
		models := NewAllocator().Allocate(all, targets)
		assert.DeepEqual(t, countModels(models), map[string]int{"a": 50, "b": 20})
		assert.Equal(t, len(NextLoads(all, models, targets, fleet)), 70)
	}
}

func TestSmallFleetIsFullyAllocated(t *testing.T) {
	targets := []Target{{Model: "a", Version: 2, Items: 100}, {Model: "b", Version: 2, Items: 100}}
	assert.DeepEqual(t, countModels(NewAllocator().Allocate(fleetOf(20), targets)), map[string]int{"a": 10, "b": 10})
}

// Guards against reassigning engines when the number of items changes.
func TestAllocationGrowsWithItemsAndNeverShrinks(t *testing.T) {
	all := fleetOf(1_000)
	allocator := NewAllocator()
	target := Target{Model: "a", Version: 2}
	assert.Equal(t, len(allocator.Allocate(all, []Target{target})), defaultEngines)
	target.Items = 100
	assert.Equal(t, len(allocator.Allocate(all, []Target{target})), 50)
	before := allocator.models[all[0].ID]
	target.Items = 10
	assert.Equal(t, len(allocator.Allocate(all, []Target{target})), 50)
	assert.Equal(t, allocator.models[all[0].ID], before)
}

func TestLostEnginesAreReplacedBySurplusOnes(t *testing.T) {
	all := fleetOf(1_000)
	allocator := NewAllocator()
	targets := []Target{{Model: "a", Version: 2, Items: 100}}
	lost := make(map[incarnation.ID]bool)
	for id := range allocator.Allocate(all, targets) {
		if len(lost) < 20 {
			lost[id] = true
		}
	}
	var remaining []Engine
	for _, engine := range all {
		if !lost[engine.ID] {
			remaining = append(remaining, engine)
		}
	}
	assert.Equal(t, len(allocator.Allocate(remaining, targets)), 50)
}

// Guards against a leader change that reassigns engines, although their versions show which model they followed.
func TestNewLeaderDerivesTheAllocationFromVersions(t *testing.T) {
	all := fleetOf(1_000)
	followed := make(map[incarnation.ID]string)
	for i := 300; i < 370; i++ {
		model := "a"
		if i >= 350 {
			model = "b"
		}
		all[i].Versions = map[string]int64{"a": 1, "b": 1, model: 7}
		followed[all[i].ID] = model
	}
	targets := []Target{{Model: "a", Version: 8, Items: 100}, {Model: "b", Version: 8, Items: 40}}
	assert.DeepEqual(t, NewAllocator().Allocate(all, targets), followed)
}
