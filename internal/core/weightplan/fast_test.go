package weightplan

import (
	"fmt"
	"maps"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/corkpulley/corkpulley/internal/core/incarnation"
)

// mixedEngines returns engines of which the first ones are fast. All hold version 1 of each model.
func mixedEngines(count, fast int) []Engine {
	all := engines(count, map[string]int64{"a": 1, "b": 1, "c": 1})
	for i := range all {
		all[i].Slots, all[i].Fast = 8, i < fast
	}
	return all
}

func threeModels() []Target {
	return []Target{{Model: "a", Version: 1}, {Model: "b", Version: 1}, {Model: "c", Version: 1}}
}

// countFast returns the number of fast engines of each model.
func countFast(models map[incarnation.ID]string, all []Engine) map[string]int {
	counts := map[string]int{}
	for _, engine := range all {
		if engine.Fast && models[engine.ID] != "" {
			counts[models[engine.ID]]++
		}
	}
	return counts
}

func countChanged(before, after map[incarnation.ID]string) int {
	changed := 0
	for engine, model := range after {
		if before[engine] != model {
			changed++
		}
	}
	return changed
}

// Guards against a model whose long items end late because it got hardly any of the fast engines.
func TestEachModelGetsItsShareOfFastEngines(t *testing.T) {
	all := mixedEngines(48, 12)
	models := NewAllocator().Allocate(all, threeModels())
	assert.DeepEqual(t, countFast(models, all), map[string]int{"a": 4, "b": 4, "c": 4})
	assert.DeepEqual(t, countModels(models), map[string]int{"a": 16, "b": 16, "c": 16})
	targets := threeModels()
	targets[0].Demand, targets[1].Demand, targets[2].Demand = 100, 100, 200
	models = NewAllocator().Allocate(all, targets)
	assert.DeepEqual(t, countFast(models, all), map[string]int{"a": 3, "b": 3, "c": 6})
	assert.DeepEqual(t, countModels(models), map[string]int{"a": 12, "b": 12, "c": 24})
	targets[0].Demand = 100_000
	models = NewAllocator().Allocate(all, targets)
	counts := countFast(models, all)
	assert.Assert(t, counts["b"] >= 1 && counts["c"] >= 1, "a model without demand keeps one: %v", counts)
}

// Guards against fewer fast engines than models that are divided, so that some model would get none.
func TestFewFastEnginesAreNotDivided(t *testing.T) {
	all := mixedEngines(48, 2)
	uniform := mixedEngines(48, 0)
	assert.DeepEqual(t, NewAllocator().Allocate(all, threeModels()), NewAllocator().Allocate(uniform, threeModels()))
}

// Guards against a wave of loads when classes appear, change or vanish.
func TestChangesOfClassesReassignFewEngines(t *testing.T) {
	allocator := NewAllocator()
	all := mixedEngines(48, 0)
	for i := range all {
		// Model a holds the newest weights at the first 16 engines, b at the next 16 and c at the last.
		all[i].Versions = map[string]int64{"abc"[i/16 : i/16+1]: 2}
	}
	before := maps.Clone(allocator.Allocate(all, threeModels()))
	// Of the 12 fast engines a has 6, b 4 and c 2: two have to move to c, and two others to a.
	for i := range all {
		all[i].Fast = i < 6 || i >= 16 && i < 20 || i >= 32 && i < 34
	}
	models := maps.Clone(allocator.Allocate(all, threeModels()))
	assert.DeepEqual(t, countFast(models, all), map[string]int{"a": 4, "b": 4, "c": 4})
	assert.Equal(t, countChanged(before, models), 4)
	for i := range all {
		changed := mixedEngines(48, 0)
		for j := range all {
			changed[j].Versions, changed[j].Fast = all[j].Versions, all[j].Fast != (i == j)
		}
		after := maps.Clone(allocator.Allocate(changed, threeModels()))
		assert.Equal(t, countChanged(models, after), 0, "the class of e%d changes: shares shift by less than an engine", i)
		assert.Equal(t, countChanged(models, maps.Clone(allocator.Allocate(all, threeModels()))), 0)
	}
	for i := range all {
		all[i].Fast = false
	}
	assert.Equal(t, countChanged(models, allocator.Allocate(all, threeModels())), 0, "the classes vanish")
}

// Guards against models that have fewer engines because of the classes, and engines that follow none.
func TestClassesDoNotChangeTheEnginesOfAModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(8, 60).Draw(t, "engines")
		all := mixedEngines(count, rapid.IntRange(0, count/2).Draw(t, "fast"))
		uniform := mixedEngines(count, 0)
		targets := threeModels()[:rapid.IntRange(1, 3).Draw(t, "models")]
		for i := range targets {
			targets[i].Demand = float64(rapid.IntRange(1, 10).Draw(t, "demand"))
			targets[i].Items = rapid.IntRange(0, 200).Draw(t, "items")
		}
		allocator := NewAllocator()
		models := allocator.Allocate(all, targets)
		want := countModels(NewAllocator().Allocate(uniform, targets))
		assert.DeepEqual(t, countModels(models), want)
		again := maps.Clone(models)
		assert.Equal(t, countChanged(again, allocator.Allocate(all, targets)), 0, "the allocation is stable")
	})
}

// Guards against open jobs that start on slow engines because these loaded first.
func TestFastEnginesThatAreTooOldLoadFirst(t *testing.T) {
	all := mixedEngines(6, 2)
	models := map[incarnation.ID]string{}
	for i := range all {
		all[i].Versions = map[string]int64{"a": 4}
		models[all[i].ID] = "a"
	}
	all[0].Running, all[1].Versions = 3, map[string]int64{"a": 6}
	all[5].Versions = map[string]int64{"a": 1}
	target := []Target{{Model: "a", Version: 7, MinVersion: 5}}
	var order []string
	for _, load := range NextLoads(all, models, target, 6) {
		order = append(order, load.Engine.Engine)
	}
	assert.DeepEqual(t, order, []string{"e0", "e5", "e2", "e3", "e4", "e1"})
}

// Guards against a model with waiting items whose loads wait behind those that another model needs for its next step.
func TestModelWithWaitingItemsLoadsFirstWithFastEngines(t *testing.T) {
	all := mixedEngines(12, 3)
	models := map[incarnation.ID]string{}
	for i := range all {
		models[all[i].ID] = "abc"[i%3 : i%3+1]
		all[i].Versions = map[string]int64{"a": 4, "b": 4, "c": 4}
	}
	// Two of four engines of b are new enough, though not at the target version.
	all[1].Versions, all[4].Versions, all[2].Versions = map[string]int64{"b": 5}, map[string]int64{"b": 5}, map[string]int64{"c": 5}
	targets := []Target{
		{Model: "a", Version: 5, MinVersion: 4}, {Model: "b", Version: 6, MinVersion: 5, Waiting: 9},
		{Model: "c", Version: 5, MinVersion: 5, Waiting: 1},
	}
	var order []string
	for _, load := range NextLoads(all, models, targets, 12) {
		order = append(order, load.Model)
	}
	assert.Equal(t, fmt.Sprint(order), "[c b c b c a a a a]")
}
