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
		all[i] = Engine{ID: named(fmt.Sprintf("e%d", i)), Versions: versions, Usable: true}
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

func TestEnginesAreSharedByDemand(t *testing.T) {
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
		{ID: named("e0"), Versions: map[string]int64{"a": 9, "b": 1}}, {ID: named("e1"), Versions: map[string]int64{"a": 1, "b": 7}},
		{ID: named("e2"), Versions: map[string]int64{"a": 9, "b": 2}}, {ID: named("e3"), Versions: map[string]int64{"a": 1, "b": 7}},
	}
	models := NewAllocator().Allocate(all, []Target{{Model: "a", Version: 9}, {Model: "b", Version: 7}})
	assert.DeepEqual(t, models, map[incarnation.ID]string{named("e0"): "a", named("e1"): "b", named("e2"): "a", named("e3"): "b"})
}

func TestOneEngineServesOneOfTwoModels(t *testing.T) {
	all := engines(1, map[string]int64{"a": 1, "b": 1})
	models := NewAllocator().Allocate(all, []Target{{Model: "a", Version: 1}, {Model: "b", Version: 1}})
	assert.Equal(t, len(models), 1)
}

func TestLoadsAreBoundedAndIdleEnginesComeFirst(t *testing.T) {
	all := engines(4, map[string]int64{"a": 1})
	all[0].Running = 5
	all[1].Loading = true
	models := map[incarnation.ID]string{named("e0"): "a", named("e1"): "a", named("e2"): "a", named("e3"): "a"}
	loads := NextLoads(all, models, []Target{{Model: "a", Version: 2}}, 2)
	assert.DeepEqual(t, loads, []Load{{Engine: named("e2"), Model: "a", Version: 2}})
}

func TestEnginesThatWaitingItemsCanUseAreLeftToThem(t *testing.T) {
	all := engines(1, map[string]int64{"a": 1})
	models := map[incarnation.ID]string{named("e0"): "a"}
	busy := Target{Model: "a", Version: 2, MinVersion: 1, Waiting: 3}
	assert.Equal(t, len(NextLoads(all, models, []Target{busy}, 2)), 0)
	busy.MinVersion = 2
	assert.Equal(t, len(NextLoads(all, models, []Target{busy}, 2)), 1, "too old for what waits")
	busy.MinVersion, busy.Waiting = 1, 0
	assert.Equal(t, len(NextLoads(all, models, []Target{busy}, 2)), 1)
}

func TestLoadsThatInterruptWaitForRunningItems(t *testing.T) {
	all := engines(1, map[string]int64{"a": 1})
	all[0].Running = 5
	models := map[incarnation.ID]string{named("e0"): "a"}
	calm := Target{Model: "a", Version: 2, MinVersion: 1, Interrupts: true}
	assert.Equal(t, len(NextLoads(all, models, []Target{calm}, 2)), 0)
	calm.Interrupts = false
	assert.Equal(t, len(NextLoads(all, models, []Target{calm}, 2)), 1)
	needed := Target{Model: "a", Version: 2, MinVersion: 2, Interrupts: true}
	assert.Equal(t, len(NextLoads(all, models, []Target{needed}, 2)), 1)
}

func TestTooOldEnginesLoadFirstThenThoseFurthestBehind(t *testing.T) {
	all := []Engine{
		{ID: named("near"), Versions: map[string]int64{"a": 8}, Usable: true},
		{ID: named("far"), Versions: map[string]int64{"a": 7}, Usable: true},
		{ID: named("old"), Versions: map[string]int64{"b": 1}, Usable: true, Running: 9},
	}
	models := map[incarnation.ID]string{named("near"): "a", named("far"): "a", named("old"): "b"}
	targets := []Target{{Model: "a", Version: 9, MinVersion: 7}, {Model: "b", Version: 3, MinVersion: 2}}
	assert.DeepEqual(t, NextLoads(all, models, targets, 2), []Load{
		{Engine: named("old"), Model: "b", Version: 3}, {Engine: named("far"), Model: "a", Version: 9},
	})
}

func TestUnusableAndCurrentEnginesAreLeftAlone(t *testing.T) {
	all := engines(2, map[string]int64{"a": 2})
	all[1].Versions = map[string]int64{"a": 1}
	all[1].Usable = false
	models := map[incarnation.ID]string{named("e0"): "a", named("e1"): "a"}
	assert.Equal(t, len(NextLoads(all, models, []Target{{Model: "a", Version: 2}}, 2)), 0)
}

// TestEachModelGetsEnginesForItsNextJob: engines that are too old for the open job of one
// model do not block the loads for another model's next job.
func TestEachModelGetsEnginesForItsNextJob(t *testing.T) {
	var all []Engine
	models := map[incarnation.ID]string{}
	for i := range 12 {
		engine := Engine{ID: named(fmt.Sprintf("a%02d", i)), Versions: map[string]int64{"a": 1}, Usable: true}
		if i < 6 {
			engine.Versions["a"] = 3
		}
		models[engine.ID] = "a"
		all = append(all, engine)
	}
	for i := range 12 {
		engine := Engine{ID: named(fmt.Sprintf("b%02d", i)), Versions: map[string]int64{"b": 2}, Usable: true}
		models[engine.ID] = "b"
		all = append(all, engine)
	}
	targets := []Target{{Model: "a", Version: 3, MinVersion: 2, Waiting: 40}, {Model: "b", Version: 3, MinVersion: 1}}
	count := map[string]int{}
	for _, load := range NextLoads(all, models, targets, 8) {
		count[load.Model]++
	}
	// Half of the first model's engines have the version; the other model catches up first.
	assert.DeepEqual(t, count, map[string]int{"a": 1, "b": 7})
}

func named(engine string) incarnation.ID { return incarnation.ID{Engine: engine} }

// TestTheNextStartOfAnEngineFollowsTheModelThatItHas: not the one that its earlier incarnation followed.
func TestTheNextStartOfAnEngineFollowsTheModelThatItHas(t *testing.T) {
	targets := []Target{{Model: "a", Version: 9}, {Model: "b", Version: 9}}
	start := func(engine string, born, a, b int64) Engine {
		return Engine{ID: incarnation.ID{Engine: engine, Born: born}, Versions: map[string]int64{"a": a, "b": b}, Usable: true}
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

// TestEnginesBeyondWhatItemsNeedFollowNoModel: the number of loads does not depend on the size of the fleet.
func TestEnginesBeyondWhatItemsNeedFollowNoModel(t *testing.T) {
	targets := []Target{{Model: "a", Version: 2, Items: 100}, {Model: "b", Version: 2, Items: 40}}
	for _, fleet := range []int{1_000, 2_000} {
		all := fleetOf(fleet)
		models := NewAllocator().Allocate(all, targets)
		assert.DeepEqual(t, countModels(models), map[string]int{"a": 50, "b": 20})
		assert.Equal(t, len(NextLoads(all, models, targets, fleet)), 70)
	}
}

// TestASmallFleetIsSharedWhole: all engines are needed.
func TestASmallFleetIsSharedWhole(t *testing.T) {
	targets := []Target{{Model: "a", Version: 2, Items: 100}, {Model: "b", Version: 2, Items: 100}}
	assert.DeepEqual(t, countModels(NewAllocator().Allocate(fleetOf(20), targets)), map[string]int{"a": 10, "b": 10})
}

// TestMoreItemsBringMoreEngines: earlier engines are kept, and fewer items release none.
func TestMoreItemsBringMoreEngines(t *testing.T) {
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

// TestAnEngineThatEndsIsReplaced: an engine that followed no model replaces it.
func TestAnEngineThatEndsIsReplaced(t *testing.T) {
	all := fleetOf(1_000)
	allocator := NewAllocator()
	targets := []Target{{Model: "a", Version: 2, Items: 100}}
	ended := make(map[incarnation.ID]bool)
	for id := range allocator.Allocate(all, targets) {
		if len(ended) < 20 {
			ended[id] = true
		}
	}
	var left []Engine
	for _, engine := range all {
		if !ended[engine.ID] {
			left = append(left, engine)
		}
	}
	assert.Equal(t, len(allocator.Allocate(left, targets)), 50)
}

// TestANewLeaderFindsTheEnginesOfEachModel: by the versions that they hold.
func TestANewLeaderFindsTheEnginesOfEachModel(t *testing.T) {
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
