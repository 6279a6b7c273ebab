package batchplan

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/corkpulley/corkpulley/internal/core/incarnation"
)

const (
	fastPace      = 28 * time.Millisecond
	slowPace      = 60 * time.Millisecond
	tokensOfEvent = 70
	promptTokens  = 276
	kvCapacity    = 28_850
)

// mixedFleet returns a plan and engines of which the first ones are fast, with classes. Tokens per event are learned.
func mixedFleet(t assert.TestingT, count, fast int) (*Plan, []Engine) {
	plan := New()
	var engines []Engine
	for i := range count {
		each := engine(fmt.Sprint("e", i), 8, 3)
		each.Tokens = kvCapacity
		engines = append(engines, each)
		plan.speeds.services[each.ID] = each.Service
		plan.ObservePace(each.ID, paceOf(i, fast))
	}
	for range 20 {
		plan.ObserveLength(20*tokensOfEvent, 20)
	}
	classify(plan, 2*time.Second)
	assert.Equal(t, len(plan.FastEngines()), fast)
	return plan, engines
}

func paceOf(engine, fast int) time.Duration {
	if engine < fast {
		return fastPace
	}
	return slowPace
}

// classify classifies during a span of time that ends at now.
func classify(plan *Plan, span time.Duration) {
	for at := now.Add(-span); !at.After(now); at = at.Add(classifyInterval) {
		plan.Classify(at)
	}
}

// sized returns an item of a number of events whose results are due 7.5 s after its job's submission. At 60 ms per
// event, items of more than 75 events are long.
func sized(plan *Plan, job string, index, events int) Item {
	each := item(job, index, events*tokensOfEvent)
	each.Group = fmt.Sprint(job, index)
	each.Prompt, each.Tokens = promptTokens, promptTokens+each.Length
	if plan.jobs[job] == nil {
		plan.AddJob(Job{ID: job, Model: "m"})
	}
	plan.SetDueAfter(job, 7500*time.Millisecond)
	return each
}

// Guards against the fault that with exactly a quarter of the engines fast, the lower quartile is the pace of a slow
// engine, and all engines count as fast.
func TestExactQuarterOfFastEnginesIsFound(t *testing.T) {
	for _, count := range []int{8, 12, 48} {
		plan, engines := mixedFleet(t, count, count/4)
		assert.Equal(t, plan.BestPace(), slowPace, "the quartile is that of a slow engine")
		pass := newPass(plan, engines, now)
		for i := range engines {
			assert.Equal(t, pass.isFast(&engines[i]), i < count/4, "engine %d of %d", i, count)
		}
	}
}

// Guards against long items that end late on slow engines, or exceed the KV cache of the fast ones, when several jobs
// arrive together, and against short items that take the fast engines.
func TestLongItemsGetFastEnginesInABurst(t *testing.T) {
	plan, engines := mixedFleet(t, 48, 12)
	long, total := 0, 0
	for job := range 4 {
		name := fmt.Sprint("job-", job)
		for i := range 136 {
			events := 5 + i%20
			if i%17 == 0 {
				events = 100 + i%50
				long++
			}
			plan.Add(sized(plan, name, i, events))
			total++
		}
	}
	longStarted, longOnFast := 0, 0
	for _, each := range plan.Assign(now, engines) {
		fast := plan.FastEngines()[each.Engine]
		assert.Equal(t, each.Fast, fast)
		assert.Equal(t, each.Long, each.Item.Length > 75*tokensOfEvent)
		if each.Long {
			longStarted++
		}
		if each.Long && fast {
			longOnFast++
		}
	}
	assert.Equal(t, longOnFast, longStarted, "all long items start at fast engines")
	assert.Equal(t, longStarted, 3*long/4, "all slots are taken before the last job's turn")
	assert.Equal(t, total-plan.Waiting(), 48*8, "all slots are used")
	for engine, projected := range plan.projectedByEngine() {
		assert.Assert(t, projected <= kvCapacity, "engine %s is projected to need %.0f tokens", engine, projected)
	}
}

// Guards against short items at fast engines while others have free slots, beyond the stated share of the fast ones.
func TestShortItemsLeaveFastEnginesFree(t *testing.T) {
	plan, engines := mixedFleet(t, 12, 3)
	for i := range 60 {
		plan.Add(sized(plan, "j", i, 10))
	}
	plan.Assign(now, engines)
	for i := range engines {
		running := plan.Running(engines[i].ID)
		if i < 3 {
			assert.Equal(t, running, 4, "half of the slots of %s", engines[i].ID)
		} else {
			assert.Assert(t, running >= 5, "%s runs %d", engines[i].ID, running)
		}
	}
	for i := range 60 {
		plan.Add(sized(plan, "j", 100+i, 10))
	}
	plan.Assign(now, engines)
	assert.Equal(t, plan.Running(engines[0].ID), 8, "fast engines take short items if no other slot is free")
	// A single long item takes more than 40 % of the KV cache.
	plan, engines = mixedFleet(t, 12, 3)
	engines[0].Tokens, engines[1].Tokens, engines[2].Tokens = 8000, 8000, 8000
	for i := range 3 {
		plan.Add(sized(plan, "j", i, 100))
	}
	plan.Assign(now, engines)
	for i := range 9 {
		plan.Add(sized(plan, "j", 10+i, 10))
	}
	plan.Assign(now, engines)
	for i := range engines {
		assert.Equal(t, plan.Running(engines[i].ID), 1, "%s", engines[i].ID)
	}
}

// Guards against items of jobs without a due time that are kept off fast engines for nothing.
func TestItemsWithoutDueTimePreferFastEngines(t *testing.T) {
	plan, engines := mixedFleet(t, 12, 3)
	for i := range 24 {
		plan.Add(item("j", i, 700))
	}
	plan.Assign(now, engines)
	for i := range 3 {
		assert.Equal(t, plan.Running(engines[i].ID), 8)
	}
}

// Guards against items that wait although an engine can take them: for a fast engine, or for the sum of all final sizes
// to fit.
func TestItemsStartWhereverTheyFitWithClasses(t *testing.T) {
	plan, engines := mixedFleet(t, 8, 2)
	for i := range 40 {
		plan.Add(sized(plan, "fill", i, 120))
	}
	plan.Assign(now, engines)
	assert.Equal(t, plan.Waiting(), 0)
	assert.Assert(t, plan.reservedTokens[engines[0].ID] > kvCapacity, "the final sizes exceed the KV cache")
	rapid.Check(t, func(t *rapid.T) {
		plan, engines := mixedFleet(t, 8, 2)
		for i := range engines {
			engines[i].Slots = rapid.IntRange(0, 4).Draw(t, "slots")
			engines[i].Tokens = rapid.SampledFrom([]int{0, 6000, 12_000}).Draw(t, "memory")
		}
		for i := range rapid.IntRange(1, 30).Draw(t, "items") {
			each := sized(plan, "j", i, rapid.IntRange(0, 120).Draw(t, "events"))
			each.Events = rapid.Int32Range(0, 150).Draw(t, "so far")
			plan.Add(each)
		}
		plan.Assign(now, engines)
		pass := newPass(plan, engines, now)
		for i := range engines {
			if engines[i].Tokens > 0 && plan.Running(engines[i].ID) > 1 && pass.projected[engines[i].ID] > float64(engines[i].Tokens) {
				t.Fatalf("%s is projected to need %.0f of %d tokens",
					engines[i].ID, pass.projected[engines[i].ID], engines[i].Tokens)
			}
			for _, waiting := range plan.waiting {
				if pass.canServe(&engines[i], pass.classOf(&waiting)) && pass.fits(waiting, &engines[i]) {
					t.Fatalf("item %v waits although %s can take it", waiting.Key, engines[i].ID)
				}
			}
		}
	})
}

// Guards against heaps that yield a different engine than a search over all engines, with classes.
func TestChooseMatchesExhaustiveSearchWithClasses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plan, engines := mixedFleet(t, 8, 2)
		for i := range engines {
			engines[i].Slots = rapid.IntRange(0, 4).Draw(t, "slots")
			engines[i].Tokens = rapid.SampledFrom([]int{0, 6000, 12_000}).Draw(t, "memory")
		}
		for i := range rapid.IntRange(1, 30).Draw(t, "items") {
			each := sized(plan, "j", i, rapid.IntRange(0, 120).Draw(t, "events"))
			each.Group = fmt.Sprint("group ", i/4)
			each.Events = rapid.Int32Range(0, 150).Draw(t, "so far")
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
				pass.countStart(each, got)
			}
		}
	})
}

// Guards against items that wait for a fast engine although they can move there later.
func TestNoItemWaitsForAFastEngineWithClasses(t *testing.T) {
	plan, engines := mixedFleet(t, 8, 3)
	for i := range 24 {
		plan.recordStart(sized(plan, "fill", i, 10), engines[i%3].ID, now)
	}
	plan.Add(sized(plan, "j", 0, 150))
	classes := plan.speeds.classes
	plan.speeds.classes = nil
	assert.Equal(t, len(plan.Assign(now, engines)), 0, "without classes the item waits")
	plan.speeds.classes = classes
	assert.Equal(t, len(plan.Assign(now, engines)), 1)
}

// Guards against a threshold of long items that doesn't follow from the due time and the pace of most engines.
func TestLongItemsTakeMostOfTheTimeUntilDue(t *testing.T) {
	plan, engines := mixedFleet(t, 8, 2)
	classes := plan.speeds.classes["s"]
	for events, want := range map[int]bool{10: false, 74: false, 76: true, 150: true} {
		each := sized(plan, "j", 0, events)
		assert.Equal(t, plan.isLong(classes, &each), want, "%d events", events)
		assert.Equal(t, plan.avoidsFast(classes, &each), !want, "%d events", events)
	}
	each := sized(plan, "j", 0, 76)
	plan.SetDueAfter("j", 10*time.Second)
	assert.Assert(t, !plan.isLong(classes, &each))
	plan.SetDueAfter("unknown", time.Second)
	assert.Assert(t, !plan.isLong(nil, &each))
	// The sum of the final sizes isn't the memory in use.
	for i := range 6 {
		plan.recordStart(sized(plan, "j", i, 150), engines[0].ID, now)
	}
	assert.Assert(t, plan.reservedTokens[engines[0].ID] > kvCapacity)
	assert.Equal(t, newPass(plan, engines, now).memoryPressure(&engines[0]), 1+memoryPressureCost*(6*(promptTokens+50*tokensOfEvent)/float64(kvCapacity)-memoryPressureThreshold))
}

// Guards against a projection that ignores progress: an item that outruns its hint needs more than the hint says, one
// that has just started less.
func TestProjectedNeedFollowsProgress(t *testing.T) {
	plan, _ := mixedFleet(t, 8, 2)
	need := func(expected int, events int32) float64 {
		return plan.projectedNeed(promptTokens, promptTokens+expected*tokensOfEvent, events)
	}
	for _, test := range []struct {
		name     string
		expected int
		events   int32
		want     float64
	}{
		{"short item", 20, 0, 20},
		{"long item at its start", 150, 0, 50},
		{"long item on its way", 150, 60, 110},
		{"item that outran its hint", 20, 100, 130},
	} {
		got := need(test.expected, test.events)
		want := promptTokens + test.want*tokensOfEvent
		assert.Assert(t, got > want-0.01 && got < want+0.01, "%s: got %f, want %f", test.name, got, want)
	}
	assert.Equal(t, New().projectedNeed(276, 1000, 7), 1000.0, "nothing learned")
}

// startAt makes an item run at an engine.
func startAt(plan *Plan, item Item, engine Engine, started time.Time, events int64) MoveCandidate {
	plan.recordStart(item, engine.ID, started)
	plan.RecordEvents(item.Key, events)
	return MoveCandidate{Key: item.Key, Model: item.Model, MinVersion: item.MinVersion, Started: started}
}

// Guards against moves that cost more than they gain, and against items that outrun their hint on a slow engine.
func TestItemsThatOutrunTheirHintMoveAndShortOnesDoNot(t *testing.T) {
	plan, engines := mixedFleet(t, 8, 2)
	second := now.Add(-time.Second)
	candidates := []MoveCandidate{
		startAt(plan, sized(plan, "j", 0, 15), engines[2], second, 5),                          // short
		startAt(plan, sized(plan, "j", 1, 15), engines[3], second, 60),                         // outran its hint
		startAt(plan, sized(plan, "j", 2, 150), engines[4], second, 20),                        // long
		startAt(plan, sized(plan, "j", 3, 150), engines[5], now.Add(-249*time.Millisecond), 1), // long, too young
		startAt(plan, sized(plan, "j", 4, 150), engines[0], second, 1),                         // at a fast engine
		startAt(plan, sized(plan, "j", 5, 150), engines[6], second, 140),                       // half of 140 to come
		startAt(plan, sized(plan, "j", 6, 36), engines[7], second, 20),                         // 16 events left: 0.51 s
		startAt(plan, sized(plan, "j", 7, 35), engines[7], second, 20),                         // 15 events left: 0.48 s
		{Key: Key{Job: "gone"}, Model: "m", Started: second},                                   // not running
	}
	for range 100 {
		plan.ObservePace(engines[0].ID, 100*time.Millisecond) // a slowdown that hasn't changed its class
	}
	var moved []int
	for _, each := range plan.MovesToFast(now, candidates, engines) {
		moved = append(moved, each.Key.Item)
		assert.Assert(t, plan.FastEngines()[each.To])
		assert.Assert(t, each.Gain > minMoveGain)
	}
	assert.DeepEqual(t, moved, []int{2, 5, 1, 6})
}

// Guards against moves to engines that can't take the item, and against moves of more items than there is room for.
func TestMovesNeedARoomyFastEngine(t *testing.T) {
	second := now.Add(-time.Second)
	for name, change := range map[string]func(fast *Engine){
		"unusable":    func(fast *Engine) { fast.Usable = false },
		"loading":     func(fast *Engine) { fast.Loading = "m" },
		"old weights": func(fast *Engine) { fast.Versions = map[string]int64{"m": 2} },
		"full":        func(fast *Engine) { fast.Slots = 1 },
		"no memory":   func(fast *Engine) { fast.Tokens = 12_000 },
		"cold":        func(fast *Engine) { fast.Cold, fast.MaxStarts = true, 0 },
	} {
		plan, engines := mixedFleet(t, 8, 2)
		for i := range 2 {
			plan.recordStart(sized(plan, "j", i, 150), engines[i].ID, second)
			plan.RecordEvents(Key{Job: "j", Item: i}, 50)
		}
		moving := startAt(plan, sized(plan, "j", 9, 150), engines[5], second, 20)
		assert.Equal(t, len(plan.MovesToFast(now, []MoveCandidate{moving}, engines)), 1, name)
		change(&engines[0])
		change(&engines[1])
		assert.Equal(t, len(plan.MovesToFast(now, []MoveCandidate{moving}, engines)), 0, name)
	}
	plan, engines := mixedFleet(t, 8, 2)
	engines[0].Slots, engines[1].Slots = 1, 2
	var candidates []MoveCandidate
	for i := range 10 {
		candidates = append(candidates, startAt(plan, sized(plan, "j", i, 100+i), engines[2+i%6], second, 20))
	}
	moves := plan.MovesToFast(now, candidates, engines)
	assert.Equal(t, len(moves), 3)
	assert.Equal(t, moves[0].Key.Item, 9, "the one with the most time left first")
	plan.Prefer(moves[0].Key, moves[0].To)
	plan.Prefer(moves[1].Key, moves[1].To)
	assert.Equal(t, len(plan.MovesToFast(now, candidates[:8], engines)), 1, "two slots are taken by items on their way")
	plan, engines = mixedFleet(t, 8, 2)
	engines[0].Tokens, engines[1].Usable = 20_000, false
	candidates = nil
	for i := range 4 {
		candidates = append(candidates, startAt(plan, sized(plan, "j", i, 200), engines[2+i], second, 60))
	}
	assert.Equal(t, len(plan.MovesToFast(now, candidates, engines)), 2, "two items of 7976 tokens fit")
	candidates[0].SameVersion = 2
	assert.Equal(t, len(plan.MovesToFast(now, candidates[:1], engines)), 0, "no engine has the version that may continue")
}

// Guards against a moved item that starts on a slow engine again, or waits for an engine that can't take it.
func TestMovedItemStartsWhereTheMoveChose(t *testing.T) {
	plan, engines := mixedFleet(t, 8, 2)
	moved := sized(plan, "j", 0, 30)
	moved.Avoid = engines[5].ID
	for i := range 4 {
		plan.recordStart(sized(plan, "fill", i, 30), engines[1].ID, now)
	}
	plan.Prefer(moved.Key, engines[1].ID)
	plan.Add(moved)
	assigned := plan.Assign(now, engines)
	assert.Equal(t, assigned[0].Engine, engines[1].ID)
	assert.Equal(t, len(plan.preferred), 0)
	for name, change := range map[string]func(chosen *Engine){
		"full": func(chosen *Engine) { chosen.Slots = 5 }, "no memory": func(chosen *Engine) { chosen.Tokens = 10_000 },
		"unusable": func(chosen *Engine) { chosen.Usable = false },
	} {
		again := moved
		again.Key.Item++
		plan.Prefer(again.Key, engines[1].ID)
		plan.Add(again)
		before := engines[1]
		change(&engines[1])
		assigned = plan.Assign(now, engines)
		assert.Equal(t, len(assigned), 1, name)
		assert.Assert(t, assigned[0].Engine != engines[1].ID, name)
		plan.Remove(again.Key)
		engines[1] = before
	}
	waiting := moved
	waiting.Key.Item = 7
	plan.Prefer(waiting.Key, engines[1].ID)
	plan.Add(waiting)
	assert.Equal(t, len(plan.Assign(now, nil)), 0)
	assert.Equal(t, len(plan.preferred), 0, "the choice applies to one attempt")
	plan.Prefer(moved.Key, engines[1].ID)
	plan.Remove(moved.Key)
	assert.Equal(t, len(plan.preferred), 0, "an item that ended has no preferred engine")
}

// Guards against classes that outlive their engines: an engine that starts again under its ID has none.
func TestForgottenEnginesHaveNoClass(t *testing.T) {
	plan, engines := mixedFleet(t, 12, 3)
	plan.ForgetEngines(func(engine incarnation.ID) bool { return engine == engines[0].ID })
	changes := plan.Classify(now.Add(time.Millisecond))
	assert.Equal(t, len(changes), 1)
	assert.Equal(t, len(changes[0].Classes.Fast), 2)
	assert.Assert(t, !plan.FastEngines()[engines[0].ID])
	plan.ForgetEngines(func(incarnation.ID) bool { return true })
	changes = plan.Classify(now.Add(2 * time.Millisecond))
	assert.Equal(t, len(changes), 1)
	assert.Assert(t, changes[0].Classes == nil)
	assert.Equal(t, len(plan.speeds.classes)+len(plan.speeds.classifiers), 0)
}

// Guards against a classification for each event, and against services whose engines are compared with those of others.
func TestServicesAreClassifiedSeparatelyAndSeldom(t *testing.T) {
	plan, _ := mixedFleet(t, 12, 3)
	for i := range 12 {
		other := engineID(fmt.Sprint("other", i))
		plan.ObservePace(other, 5*time.Millisecond)
		plan.recordStart(Item{Key: Key{Job: "o", Item: i}, Service: "t"}, other, now)
	}
	at := now
	for range 40 {
		at = at.Add(100 * time.Millisecond)
		assert.Equal(t, len(plan.Classify(at)), 0)
	}
	assert.Equal(t, len(plan.FastEngines()), 3)
	classifiedAt := plan.speeds.classifiedAt
	plan.Classify(classifiedAt.Add(classifyInterval - 1))
	assert.Equal(t, plan.speeds.classifiedAt, classifiedAt)
}
