package batchplan

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// addDueJob adds a job of the submitter with one item for each length, each in a group of its own.
func addDueJob(plan *Plan, id, submitter string, accepted time.Time, wanted int, lengths ...int) {
	job := Job{ID: id, Model: "m", Lengths: lengths, Due: DueJob{
		Submitter: submitter, Accepted: accepted, DueAfter: simulatedDue, Wanted: wanted, Done: make([]bool, len(lengths)),
	}}
	for i := range lengths {
		job.Due.Groups = append(job.Due.Groups, fmt.Sprint(id, i))
	}
	plan.AddJob(job)
	for i, length := range lengths {
		added := item(id, i, length)
		added.Group = job.Due.Groups[i]
		plan.Add(added)
	}
}

// observePace makes an event of tokensPerEvent tokens take simulatedPace.
func observePace(plan *Plan) *Plan {
	plan.ObservePace(engineID("e"), simulatedPace)
	plan.ObserveLength(tokensPerEvent, 1)
	return plan
}

// Guards against an order by due times while each item has a slot, in which the first items get the best engines.
func TestDueOrderAppliesOnlyWhileItemsOutnumberSlots(t *testing.T) {
	for slots, expected := range map[int][]Key{
		3: {{"first", 0}, {"second", 0}, {"second", 1}},
		2: {{"second", 0}, {"second", 1}},
	} {
		plan := observePace(duePlan())
		addDueJob(plan, "first", "a", now, 1, 100)
		addDueJob(plan, "second", "b", now, 2, 5000, 4000)
		assert.DeepEqual(t, startedKeys(plan.Assign(now, []Engine{engine("e", slots, 3)})), expected)
	}
}

// Guards against slots of engines that serve none of the items counting as free ones.
func TestSlotsOfIneligibleEnginesAreNotFree(t *testing.T) {
	plan := observePace(duePlan())
	addDueJob(plan, "first", "a", now, 1, 100)
	addDueJob(plan, "second", "b", now, 1, 5000)
	cold := engine("cold", 8, 3)
	cold.Cold = true
	engines := []Engine{engine("old", 8, 2), cold, engine("e", 1, 3)}
	assert.DeepEqual(t, startedKeys(plan.Assign(now, engines)), []Key{{"second", 0}})
}

// Guards against items of surplus groups that start before awaited ones of another job, or never.
func TestSurplusItemsStartLastButStart(t *testing.T) {
	plan := observePace(duePlan())
	addDueJob(plan, "first", "a", now, 2, 100, 9000, 200)
	addDueJob(plan, "second", "b", now, 0, 50)
	one := []Engine{engine("e", 1, 3)}
	var started []Assignment
	for i := range 4 {
		assigned := plan.Assign(now.Add(time.Duration(i)*time.Millisecond), one)
		started = append(started, assigned...)
		plan.Remove(assigned[0].Item.Key)
	}
	assert.DeepEqual(t, startedKeys(started), []Key{{"first", 2}, {"first", 0}, {"second", 0}, {"first", 1}})
	assert.Assert(t, !started[3].Surplus, "the last item has a slot, so it did not start later than others")
	assert.Equal(t, plan.Waiting(), 0)
}

// Guards against items that start after others as surplus without being reported so.
func TestSurplusStartsAreMarked(t *testing.T) {
	plan := observePace(duePlan())
	addDueJob(plan, "first", "a", now, 1, 100, 9000, 8000)
	assigned := plan.Assign(now, []Engine{engine("e", 2, 3)})
	assert.DeepEqual(t, startedKeys(assigned), []Key{{"first", 0}, {"first", 1}})
	assert.Assert(t, !assigned[0].Surplus && assigned[1].Surplus)
}

// Guards against a submitter that is ten seconds behind and whose next step waits behind the items of others.
func TestSubmitterThatIsTenSecondsBehindCatchesUp(t *testing.T) {
	plan := observePace(duePlan())
	addDueJob(plan, "other", "punctual", now.Add(-time.Second), 0, 100, 100, 100, 100)
	addDueJob(plan, "missed", "behind", now.Add(-simulatedDue-10*time.Second), 0, 100, 100)
	addDueJob(plan, "next", "behind", now, 0, 100, 100)
	assigned := plan.Assign(now, []Engine{engine("e", 4, 3)})
	assert.DeepEqual(t, startedKeys(assigned), []Key{{"missed", 0}, {"missed", 1}, {"next", 0}, {"next", 1}})
}

// Guards against a change of a route's due time that takes effect only for later jobs.
func TestChangedDueTimeApplies(t *testing.T) {
	plan := observePace(duePlan())
	addDueJob(plan, "first", "a", now, 0, 100, 100)
	addDueJob(plan, "second", "b", now, 0, 100, 100)
	plan.RefreshOrder(now)
	plan.SetDueAfter("second", simulatedDue/2)
	later := now.Add(time.Second)
	assert.Assert(t, plan.OrderStale(later))
	plan.RefreshOrder(later)
	assigned := plan.Assign(later, []Engine{engine("e", 2, 3)})
	assert.DeepEqual(t, startedKeys(assigned), []Key{{"second", 0}, {"second", 1}})
}

// drawLoad adds drawn jobs in a drawn order and returns a pass's engines.
func drawLoad(t *rapid.T) (add []func(plan *Plan), engines []Engine) {
	for i := range rapid.IntRange(1, 8).Draw(t, "jobs") {
		lengths := rapid.SliceOfN(rapid.IntRange(0, 9000), 1, 10).Draw(t, "lengths")
		age := time.Duration(rapid.IntRange(0, 20_000).Draw(t, "age")) * time.Millisecond
		submitter := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "submitter"))
		wanted := rapid.IntRange(0, len(lengths)).Draw(t, "wanted")
		add = append(add, func(plan *Plan) { addDueJob(plan, fmt.Sprint("job-", i), submitter, now.Add(-age), wanted, lengths...) })
	}
	for i := range rapid.IntRange(1, 4).Draw(t, "engines") {
		version := rapid.Int64Range(2, 4).Draw(t, "version")
		engines = append(engines, engine(fmt.Sprint("engine-", i), rapid.IntRange(0, 4).Draw(t, "slots"), version))
	}
	return add, engines
}

// Guards against a free slot at an engine that may run a waiting item.
func TestDueOrderLeavesNoSlotFree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		add, engines := drawLoad(t)
		plan := observePace(duePlan())
		for _, each := range add {
			each(plan)
		}
		plan.Assign(now, engines)
		for i := range engines {
			usable := engines[i].Versions["m"] >= 3
			assert.Assert(t, !usable || plan.Waiting() == 0 || plan.Running(engines[i].ID) == engines[i].Slots)
		}
	})
}

// Guards against assignments of a new leader, which adds the open jobs in any order, that differ from those of the old.
func TestNewLeaderStartsTheSameItems(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		add, engines := drawLoad(t)
		first, second := observePace(duePlan()), observePace(duePlan())
		for _, each := range add {
			each(first)
		}
		waiting, slots := first.Waiting(), 0
		for _, each := range engines {
			if each.Versions["m"] >= 3 {
				slots += each.Slots
			}
		}
		for _, each := range rapid.Permutation(add).Draw(t, "order") {
			each(second)
		}
		expected := startedKeys(first.Assign(now, engines))
		started := startedKeys(second.Assign(now, engines))
		if waiting > slots {
			assert.DeepEqual(t, started, expected)
		} else {
			assert.Equal(t, len(started), len(expected))
		}
	})
}
