package batchplan

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/incarnation"
	"pgregory.net/rapid"
)

var now = time.Unix(1000, 0)

func item(job string, index, length int) Item {
	return Item{
		Key: Key{Job: job, Item: index}, Service: "s", Model: "m", MinVersion: 3,
		Group: fmt.Sprint(job, index/2), Length: length,
	}
}

func engine(id string, slots int, version int64) Engine {
	return Engine{ID: engineID(id), Service: "s", Slots: slots, Versions: map[string]int64{"m": version}, Usable: true}
}

func startedKeys(assigned []Assignment) []Key {
	var keys []Key
	for _, each := range assigned {
		keys = append(keys, each.Item.Key)
	}
	return keys
}

func TestOlderJobsAndLongerItemsStartFirst(t *testing.T) {
	plan := New()
	plan.Add(item("first", 0, 10))
	plan.Add(item("second", 0, 1000))
	plan.Add(item("first", 1, 500))
	assigned := plan.Assign(now, []Engine{engine("e", 2, 3)})
	assert.DeepEqual(t, startedKeys(assigned), []Key{{"first", 1}, {"first", 0}})
	assert.Equal(t, plan.Waiting(), 1)
}

// Guards against a job that ends late because an item of unknown length started last and turned out long.
func TestItemsOfUnknownLengthStartBeforeShortOnes(t *testing.T) {
	plan := New()
	lengths := []int{10, 0, 900, 20, 30, 0, 40, 50}
	plan.AddJob(Job{ID: "j", Model: "m", Lengths: lengths})
	for index, length := range lengths {
		plan.Add(item("j", index, length))
	}
	assigned := plan.Assign(now, []Engine{engine("e", 4, 3)})
	assert.DeepEqual(t, startedKeys(assigned), []Key{{"j", 2}, {"j", 1}, {"j", 5}, {"j", 7}})
	// Started items do not change the order of the remaining ones.
	assigned = plan.Assign(now, []Engine{engine("e", 8, 3)})
	assert.DeepEqual(t, startedKeys(assigned), []Key{{"j", 6}, {"j", 4}, {"j", 3}, {"j", 0}})
}

// Guards against a start order that depends on the order in which a new leader adds the open jobs.
func TestEarlierStepsStartFirstRegardlessOfAddOrder(t *testing.T) {
	plan := New()
	plan.AddJob(Job{ID: "step-5", Model: "m", Step: 5})
	plan.AddJob(Job{ID: "other", Model: "n", Step: 1})
	plan.AddJob(Job{ID: "step-4", Model: "m", Step: 4})
	for _, job := range []string{"step-5", "other", "step-4"} {
		plan.Add(item(job, 0, 10))
	}
	assigned := plan.Assign(now, []Engine{engine("e", 4, 3)})
	assert.DeepEqual(t, startedKeys(assigned), []Key{{"step-4", 0}, {"step-5", 0}, {"other", 0}})
	plan.ForgetJob("step-5")
	plan.AddJob(Job{ID: "step-6", Model: "m", Step: 6})
	plan.Add(item("step-6", 0, 10))
	plan.Add(item("other", 1, 1))
	assigned = plan.Assign(now, []Engine{engine("e", 8, 3)})
	assert.DeepEqual(t, startedKeys(assigned), []Key{{"other", 1}, {"step-6", 0}})
}

func TestOnlyEligibleEnginesGetItems(t *testing.T) {
	loading := engine("loading", 1, 3)
	loading.Loading = "m"
	unusable := engine("unusable", 1, 3)
	unusable.Usable = false
	foreign := engine("foreign", 1, 3)
	foreign.Service = "other"
	for _, ineligible := range []Engine{engine("old", 1, 2), engine("full", 0, 3), loading, unusable, foreign} {
		plan := New()
		plan.Add(item("j", 0, 1))
		assert.Equal(t, len(plan.Assign(now, []Engine{ineligible})), 0, ineligible.ID)
	}
	plan := New()
	delayed := item("j", 0, 1)
	delayed.NotBefore = now.Add(time.Second)
	plan.Add(delayed)
	assert.Equal(t, len(plan.Assign(now, []Engine{engine("e", 1, 3)})), 0)
	assert.Equal(t, len(plan.Assign(now.Add(time.Second), []Engine{engine("e", 1, 3)})), 1)
}

func TestReservedMemoryIsBounded(t *testing.T) {
	plan := New()
	for i := range 4 {
		large := item("j", i, 1)
		large.Tokens = 40
		plan.Add(large)
	}
	small := engine("e", 16, 3)
	small.Tokens = 100 / memoryOvercommit
	assert.Equal(t, len(plan.Assign(now, []Engine{small})), 2)
	plan.Ended(Key{"j", 0})
	assert.Equal(t, len(plan.Assign(now, []Engine{small})), 1)
	huge := item("huge", 0, 1)
	huge.Tokens = 1000
	alone := New()
	alone.Add(huge)
	assert.Equal(t, len(alone.Assign(now, []Engine{small})), 1,
		"an item larger than an engine's memory must start at an idle engine")
}

func TestSameVersionRestrictsEngines(t *testing.T) {
	plan := New()
	plan.Add(pinnedItem(0))
	full := engine("full", 0, 3)
	assert.Equal(t, len(plan.Assign(now, []Engine{engine("newer", 1, 4), full})), 0)
	assigned := plan.Assign(now, []Engine{engine("newer", 1, 4), full, engine("same", 1, 3)})
	assert.Equal(t, len(assigned), 1)
	assert.Equal(t, assigned[0].Engine, engineID("same"))
	assert.Equal(t, assigned[0].Restart, NoRestart)
}

func TestFasterEnginesAreFilledFirst(t *testing.T) {
	plan := New()
	plan.ObservePace(engineID("slow"), 60*time.Millisecond)
	plan.ObservePace(engineID("fast"), 40*time.Millisecond)
	plan.Add(item("j", 0, 1))
	plan.Add(item("j", 1, 1))
	plan.Add(item("j", 2, 1))
	counts := map[incarnation.ID]int{}
	for _, each := range plan.Assign(now, []Engine{engine("slow", 4, 3), engine("fast", 2, 3)}) {
		counts[each.Engine]++
	}
	assert.DeepEqual(t, counts, map[incarnation.ID]int{engineID("fast"): 2, engineID("slow"): 1})
}

func TestItemsOfAGroupShareAnEngine(t *testing.T) {
	plan := New()
	for i := range 8 {
		plan.Add(item("j", i, 1))
	}
	groupEngines := map[string]incarnation.ID{}
	engines := []Engine{engine("a", 16, 3), engine("b", 16, 3), engine("c", 16, 3)}
	for _, each := range plan.Assign(now, engines) {
		if previous, found := groupEngines[each.Item.Group]; found {
			assert.Equal(t, each.Engine, previous)
		}
		groupEngines[each.Item.Group] = each.Engine
	}
}

// Guards against slots that are exceeded or leaked, under random events.
func TestRunningCountsMatchAssignments(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plan := New()
		engines := []Engine{engine("a", 2, 3), engine("b", 3, 3)}
		running := map[Key]incarnation.ID{}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				plan.Add(item("j", 100+step, 1))
			case 1:
				for key := range running {
					plan.Ended(key)
					delete(running, key)
					break
				}
			default:
				for _, each := range plan.Assign(now, engines) {
					running[each.Item.Key] = each.Engine
				}
			}
			counts := map[incarnation.ID]int{}
			for _, id := range running {
				counts[id]++
			}
			for _, each := range engines {
				if counts[each.ID] > each.Slots || plan.Running(each.ID) != counts[each.ID] {
					t.Fatalf("engine %s runs %d items, the plan counts %d of %d slots",
						each.ID, counts[each.ID], plan.Running(each.ID), each.Slots)
				}
			}
		}
	})
}

// chooseExhaustively chooses the engine for an item by scoring all engines.
func chooseExhaustively(plan *Plan, item Item, engines []Engine) (incarnation.ID, bool) {
	pass := newPass(plan, engines, now)
	best, bestScore := incarnation.ID{}, 0.0
	for i := range engines {
		engine := &engines[i]
		if !pass.canServe(engine, pass.classOf(&item)) || !pass.fits(item, engine) {
			continue
		}
		score := pass.score(engine, pass.classOf(&item).avoidsFast)
		if plan.groupEngines[item.Group] == engine.ID {
			score -= groupBonus
		}
		if best.IsZero() || score < bestScore {
			best, bestScore = engine.ID, score
		}
	}
	return best, !best.IsZero()
}

// Guards against heaps that yield a different engine than a search over all engines.
func TestChooseMatchesExhaustiveSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plan := New()
		var engines []Engine
		for i := range rapid.IntRange(1, 6).Draw(t, "engines") {
			each := engine(fmt.Sprint("e", i), rapid.IntRange(0, 3).Draw(t, "slots"), rapid.Int64Range(2, 4).Draw(t, "version"))
			each.Tokens = rapid.SampledFrom([]int{0, 100, 200}).Draw(t, "memory")
			engines = append(engines, each)
			if rapid.Bool().Draw(t, "paced") {
				plan.ObservePace(each.ID, time.Duration(rapid.IntRange(1, 5).Draw(t, "pace"))*time.Millisecond)
			}
		}
		items := rapid.IntRange(1, 14).Draw(t, "items")
		for i := range items {
			each := item("j", i, rapid.IntRange(0, 3).Draw(t, "length"))
			each.Tokens = rapid.IntRange(1, 150).Draw(t, "tokens")
			each.MinVersion = rapid.Int64Range(2, 4).Draw(t, "least")
			each.SameVersion = rapid.SampledFrom([]int64{0, 0, 0, 3}).Draw(t, "same")
			each.Avoid = rapid.SampledFrom([]incarnation.ID{{}, {}, engineID("e0"), engineID("e1")}).Draw(t, "avoid")
			plan.Add(each)
		}
		pass := newPass(plan, engines, now)
		for _, each := range plan.queue(now) {
			want, wantFound := chooseExhaustively(plan, each, engines)
			got, wait := pass.choose(each)
			found := wait == NotWaiting
			if found != wantFound || got != want {
				t.Fatalf("item %+v: got engine %s %t, want %s %t", each, got, found, want, wantFound)
			}
			if found {
				plan.recordStart(each, got, now)
			}
		}
	})
}

func TestJobsOfHigherPriorityStartFirst(t *testing.T) {
	plan := New()
	for _, job := range []Job{
		{ID: "late", Model: "m", Priority: 2, Step: 1}, {ID: "plain", Model: "m", Priority: 1, Step: 9},
		{ID: "earlier", Model: "m", Priority: 1, Step: 8}, {ID: "urgent", Model: "m", Step: 9},
	} {
		plan.AddJob(job)
		plan.Add(item(job.ID, 0, 10))
	}
	assigned := plan.Assign(now, []Engine{engine("e", 8, 3)})
	assert.DeepEqual(t, startedKeys(assigned), []Key{{"urgent", 0}, {"earlier", 0}, {"plain", 0}, {"late", 0}})
}

// Guards against assigning an item to an engine short of memory, which would have to interrupt one, while a slower
// engine has free memory.
func TestEnginesShortOfMemoryAreChosenLast(t *testing.T) {
	plan := New()
	plan.ObservePace(engineID("fast"), 50*time.Millisecond)
	plan.ObservePace(engineID("slower"), 54*time.Millisecond)
	fast, slower := engine("fast", 8, 3), engine("slower", 8, 3)
	fast.Tokens, slower.Tokens = 100, 100
	addLarge := func(index int) {
		added := item("j", index, 0)
		added.Group, added.Tokens = fmt.Sprint(index), 55
		plan.Add(added)
	}
	assign := func(engines ...Engine) []string {
		var ids []string
		for _, each := range plan.Assign(now, engines) {
			ids = append(ids, each.Engine.Engine)
		}
		return ids
	}
	addLarge(0)
	addLarge(1)
	assert.DeepEqual(t, assign(fast, slower), []string{"fast", "fast"})
	addLarge(2)
	assert.DeepEqual(t, assign(fast, slower), []string{"slower"})
	addLarge(3)
	assert.DeepEqual(t, assign(fast), []string{"fast"})
}

func engineID(engine string) incarnation.ID { return incarnation.ID{Engine: engine} }

// Guards against a restarted engine that inherits running items or pace from its previous incarnation.
func TestRestartedEngineStartsWithoutState(t *testing.T) {
	plan := New()
	first := Engine{
		ID: incarnation.ID{Engine: "e", StartMillis: 1000}, Service: "s", Slots: 1,
		Versions: map[string]int64{"m": 1}, Usable: true,
	}
	second := first
	second.ID.StartMillis = 2000
	item := func(index int) Item {
		return Item{Key: Key{Job: "j", Item: index}, Service: "s", Model: "m"}
	}
	now := time.Unix(1000, 0)
	plan.Add(item(0))
	assert.Equal(t, len(plan.Assign(now, []Engine{first})), 1)
	plan.ObservePace(first.ID, time.Second)
	plan.Add(item(1))
	assert.Equal(t, len(plan.Assign(now, []Engine{first})), 0)

	assigned := plan.Assign(now, []Engine{second})
	assert.Equal(t, len(assigned), 1)
	assert.Equal(t, assigned[0].Engine, second.ID)
	assert.Equal(t, assigned[0].Running, 0)
	assert.Equal(t, assigned[0].Pace, time.Duration(0))
}
