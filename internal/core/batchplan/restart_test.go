package batchplan

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// pinnedItem returns an item with ten events of version 3, which has been idle for the given time.
func pinnedItem(idle time.Duration) Item {
	pinned := item("j", 0, 1)
	pinned.SameVersion, pinned.Events, pinned.IdleSince = 3, 10, now.Add(-idle)
	return pinned
}

// assignPinned assigns a pinned item. The engines' median pace is 20 ms.
func assignPinned(idle time.Duration, engines ...Engine) []Assignment {
	plan := New()
	plan.ObservePace(engineID("newer"), 20*time.Millisecond)
	plan.Add(pinnedItem(idle))
	return plan.Assign(now, engines)
}

// Guards against an item that waits until its job ends for a version that no engine will have again.
func TestItemRestartsAtOnceWhenItsVersionIsGone(t *testing.T) {
	leaving, replaced, other := engine("leaving", 8, 3), engine("replaced", 8, 3), engine("other", 8, 3)
	leaving.Usable, leaving.Leaving = false, true
	replaced.Loading = "m"
	other.Service = "other"
	for name, engines := range map[string][]Engine{
		"none has it": nil, "its engine leaves": {leaving}, "its engine loads another": {replaced}, "other service": {other},
	} {
		assigned := assignPinned(0, append(engines, engine("newer", 8, 4))...)
		assert.Equal(t, len(assigned), 1, name)
		assert.Equal(t, assigned[0].Engine, engineID("newer"), name)
		assert.Equal(t, assigned[0].Restart, VersionGone, name)
		assert.Equal(t, assigned[0].Item.SameVersion, int64(3), name)
	}
}

// Guards against output that is dropped although an engine can soon continue it, and against an item that waits for such
// an engine for ever.
func TestItemWaitsForItsVersionNoLongerThanItsOutputTakes(t *testing.T) {
	unreached, older, loading := engine("unreached", 8, 3), engine("older", 8, 2), engine("loading", 8, 2)
	unreached.Usable, older.Usable, loading.Loading = false, false, "m"
	const outputTime = 10 * 20 * time.Millisecond
	for name, having := range map[string]Engine{
		"out of reach": unreached, "full": engine("full", 0, 3), "older version": older, "loads a version": loading,
	} {
		engines := []Engine{having, engine("newer", 8, 4)}
		assert.Equal(t, len(assignPinned(outputTime-time.Millisecond, engines...)), 0, name)
		assigned := assignPinned(outputTime, engines...)
		assert.Equal(t, len(assigned), 1, name)
		assert.Equal(t, assigned[0].Engine, engineID("newer"), name)
		assert.Equal(t, assigned[0].Restart, VersionUnavailable, name)
	}
}

// Guards against a wait for longer than maxRestartWait, with a large output or without a known pace.
func TestRestartWaitIsBounded(t *testing.T) {
	unreached := engine("unreached", 8, 3)
	unreached.Usable = false
	for _, pace := range []time.Duration{0, time.Minute} {
		plan := New()
		if pace > 0 {
			plan.ObservePace(engineID("newer"), pace)
		}
		plan.Add(pinnedItem(maxRestartWait - 1))
		engines := []Engine{unreached, engine("newer", 8, 4)}
		assert.Equal(t, len(plan.Assign(now, engines)), 0)
		assert.Equal(t, len(plan.Assign(now.Add(1), engines)), 1)
	}
}

// Guards against output that is dropped where the item cannot start over either.
func TestItemKeepsOutputWhileNoEngineCanTakeIt(t *testing.T) {
	assert.Equal(t, len(assignPinned(time.Hour, engine("newer", 0, 4))), 0)
	assert.Equal(t, len(assignPinned(time.Hour, engine("older", 8, 2))), 0, "below the minimum version")
}

// Guards against a restarted item that counts as one with output, for the memory that it needs and when it is moved.
func TestRestartedItemHasNoEvents(t *testing.T) {
	plan := New()
	plan.Add(pinnedItem(0))
	assert.Equal(t, len(plan.Assign(now, []Engine{engine("newer", 8, 4)})), 1)
	assert.Equal(t, plan.running[Key{"j", 0}].events, int32(0))
}

// Guards against items with output that are kept from any engine beyond maxRestartWait, and against a restart while an
// engine can continue the output.
func TestItemWithOutputStartsWheneverAnEngineCanTakeIt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plan := New()
		var engines []Engine
		for i := range rapid.IntRange(1, 5).Draw(t, "engines") {
			each := engine(fmt.Sprint("e", i), rapid.IntRange(0, 2).Draw(t, "slots"), rapid.Int64Range(2, 5).Draw(t, "version"))
			each.Leaving = rapid.Bool().Draw(t, "leaving")
			each.Usable = !each.Leaving && rapid.Bool().Draw(t, "usable")
			each.Loading = rapid.SampledFrom([]string{"", "", "m"}).Draw(t, "loading")
			engines = append(engines, each)
		}
		idle := time.Duration(rapid.IntRange(0, 3000).Draw(t, "idle")) * time.Millisecond
		plan.Add(pinnedItem(idle))
		canContinue, canRestart := false, false
		for _, each := range engines {
			takes := each.Usable && each.Slots > 0 && each.Loading == "" && each.Versions["m"] >= 3
			canRestart = canRestart || takes
			canContinue = canContinue || takes && each.Versions["m"] == 3
		}
		assigned := plan.Assign(now, engines)
		switch {
		case canContinue:
			assert.Equal(t, assigned[0].Restart, NoRestart)
		case canRestart && idle >= maxRestartWait:
			assert.Assert(t, assigned[0].Restart != NoRestart)
		case !canRestart:
			assert.Equal(t, len(assigned), 0)
		}
	})
}

// vacancyPlan returns a plan with an item of ten events that runs at an engine, and the other engines' pace.
func vacancyPlan(others ...string) (*Plan, MoveCandidate) {
	plan := New()
	running := item("j", 0, 1)
	running.Tokens = 60
	plan.Add(running)
	plan.Assign(now, []Engine{engine("own", 8, 3)})
	for _, id := range append(others, "own") {
		plan.ObservePace(engineID(id), 20*time.Millisecond)
	}
	return plan, MoveCandidate{Key: running.Key, Model: "m", MinVersion: 3, SameVersion: 3}
}

// Guards against a run that is stopped to be moved although no other engine can continue it.
func TestVacancyIsTakenOnlyAtEngineThatCanContinueTheItem(t *testing.T) {
	loading, unusable, other, small := engine("e", 8, 3), engine("e", 8, 3), engine("e", 8, 3), engine("e", 8, 3)
	loading.Loading, unusable.Usable, other.Service = "m", false, "other"
	small.Tokens = 50
	for name, test := range map[string]struct {
		engine Engine
		wanted bool
	}{
		"same version": {engine("e", 1, 3), true}, "newer version": {engine("e", 1, 4), false},
		"full": {engine("e", 0, 3), false}, "loading": {loading, false}, "unusable": {unusable, false},
		"other service": {other, false}, "its own": {engine("own", 8, 3), false},
		"unknown pace": {engine("unpaced", 8, 3), false}, "idle, less memory": {small, true},
	} {
		plan, candidate := vacancyPlan("e")
		assert.Equal(t, plan.Vacancies(now, []Engine{test.engine}).Take(candidate), test.wanted, name)
		candidate.SameVersion = 0
		wanted := test.wanted || name == "newer version"
		assert.Equal(t, plan.Vacancies(now, []Engine{test.engine}).Take(candidate), wanted, name)
	}
}

// Guards against more moves to an engine than it has slots or memory for.
func TestVacancyIsTakenOnce(t *testing.T) {
	plan, candidate := vacancyPlan("e")
	vacancies := plan.Vacancies(now, []Engine{engine("e", 2, 3)})
	for range 2 {
		assert.Assert(t, vacancies.Take(candidate))
	}
	assert.Assert(t, !vacancies.Take(candidate) && vacancies.Empty())
	small := engine("e", 8, 3)
	small.Tokens = 100
	vacancies = plan.Vacancies(now, []Engine{small})
	assert.Assert(t, vacancies.Take(candidate))
	assert.Assert(t, !vacancies.Take(candidate))
	candidate.Key = Key{"j", 1}
	assert.Assert(t, !plan.Vacancies(now, []Engine{engine("e", 8, 3)}).Take(candidate), "an item that doesn't run")
}
