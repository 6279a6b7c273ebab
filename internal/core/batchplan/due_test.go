package batchplan

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/corkpulley/corkpulley/internal/core/joborder"
)

// addDueJob adds a job of the submitter with one item for each length, each in a group of its own.
func addDueJob(plan *Plan, id, submitter string, accepted time.Time, wanted int, lengths ...int) {
	addModelJob(plan, id, "m", submitter, accepted, wanted, lengths...)
}

// addModelJob is like addDueJob for a job of any model.
func addModelJob(plan *Plan, id, model, submitter string, accepted time.Time, wanted int, lengths ...int) {
	job := Job{ID: id, Model: model, Lengths: lengths, Due: DueJob{
		Submitter: submitter, Accepted: accepted, DueAfter: simulatedDue, Wanted: wanted, Done: make([]bool, len(lengths)),
	}}
	for i := range lengths {
		job.Due.Groups = append(job.Due.Groups, fmt.Sprint(id, i))
	}
	plan.AddJob(job)
	for i, length := range lengths {
		added := item(id, i, length)
		added.Model, added.Group = model, job.Due.Groups[i]
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

var drawnModels = []string{"m", "m2", "m3"}

// drawLoad draws jobs of a few models and a pass's engines, some of which hold several models or have a memory limit.
func drawLoad(t *rapid.T) (add []func(plan *Plan), engines []Engine) {
	for i := range rapid.IntRange(1, 8).Draw(t, "jobs") {
		lengths := rapid.SliceOfN(rapid.IntRange(0, 9000), 1, 10).Draw(t, "lengths")
		age := time.Duration(rapid.IntRange(0, 20_000).Draw(t, "age")) * time.Millisecond
		submitter := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "submitter"))
		wanted := rapid.IntRange(0, len(lengths)).Draw(t, "wanted")
		model := rapid.SampledFrom(drawnModels).Draw(t, "model")
		tokens := rapid.IntRange(0, 1500).Draw(t, "tokens")
		add = append(add, func(plan *Plan) {
			id := fmt.Sprint("job-", i)
			addModelJob(plan, id, model, submitter, now.Add(-age), wanted, lengths...)
			for item := range lengths {
				added := plan.waiting[Key{id, item}]
				added.Tokens = tokens * (1 + item%3) / 2
				plan.waiting[added.Key] = added
			}
		})
	}
	for i := range rapid.IntRange(1, 4).Draw(t, "engines") {
		added := engine(fmt.Sprint("engine-", i), rapid.IntRange(0, 20).Draw(t, "slots"), 0)
		for _, model := range drawnModels {
			added.Versions[model] = rapid.SampledFrom([]int64{0, 2, 3, 4}).Draw(t, "version")
		}
		if rapid.Bool().Draw(t, "limited") {
			added.Tokens = rapid.IntRange(1, 4000).Draw(t, "memory")
		}
		engines = append(engines, added)
	}
	return add, engines
}

// Guards against a free slot, and enough memory, at an engine that may run a waiting item.
func TestDueOrderLeavesNoSlotFree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		add, engines := drawLoad(t)
		plan := observePace(duePlan())
		for _, each := range add {
			each(plan)
		}
		plan.Assign(now, engines)
		after := newPass(plan, engines, now)
		for _, waiting := range plan.waiting {
			for i := range engines {
				usable := after.canServe(&engines[i], after.classOf(&waiting)) && after.fits(waiting, &engines[i])
				assert.Assert(t, !usable, "%v at %v", waiting.Key, engines[i].ID)
			}
		}
	})
}

// Guards against items that start in the order of arrival while others of their model are left without a slot, because
// slots of other models, or those that other models take, count as free.
func TestItemsThatLeaveOthersWaitingStartByDueTimes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		add, engines := drawLoad(t)
		for i := range engines {
			engines[i].Tokens = 0
		}
		plan := observePace(duePlan())
		for _, each := range add {
			each(plan)
		}
		for _, started := range plan.Assign(now, engines) {
			for _, waiting := range plan.waiting {
				if waiting.Model == started.Item.Model {
					assert.Assert(t, positionOf(plan, started.Item) <= positionOf(plan, waiting))
				}
			}
		}
	})
}

// positionOf returns an item's position in the order by due times.
func positionOf(plan *Plan, item Item) int {
	entry := plan.jobs[item.Key.Job].due
	if entry.IsSurplus(item.Key.Item) {
		return entry.Positions().Surplus
	}
	return entry.Positions().Awaited
}

// addCompetitors adds a job with a short item and one with a long item, which precedes the former only by due time.
func addCompetitors(plan *Plan) *Plan {
	addDueJob(plan, "first", "a", now, 1, 100)
	addDueJob(plan, "second", "b", now, 1, 5000)
	return plan
}

// Guards against free slots of another model's engines that hide a shortage of slots.
func TestFreeSlotsOfAnotherModelHideNoShortage(t *testing.T) {
	plan := addCompetitors(observePace(duePlan()))
	addModelJob(plan, "other", "m2", "c", now, 1, 100)
	other := engine("other", 8, 0)
	other.Versions = map[string]int64{"m2": 3}
	started := startedKeys(plan.Assign(now, []Engine{engine("e", 1, 3), other}))
	slices.SortFunc(started, func(a, b Key) int { return strings.Compare(a.Job, b.Job) })
	assert.DeepEqual(t, started, []Key{{"other", 0}, {"second", 0}})
}

// Guards against a shortage that is hidden because it concerns one of many models with fewer items than the others.
func TestShortageOfAModelWithFewItemsIsFound(t *testing.T) {
	plan := addCompetitors(observePace(duePlan()))
	engines := []Engine{engine("e", 1, 3)}
	for i := range comparedClasses + 1 {
		model := fmt.Sprint("other-", i)
		addModelJob(plan, model, model, model, now, 0, 10, 10, 10)
		engines = append(engines, engine(model, 8, 0))
		engines[i+1].Versions = map[string]int64{model: 3}
	}
	started := startedKeys(plan.Assign(now, engines))
	assert.Assert(t, slices.Contains(started, Key{"second", 0}), "%v", started)
	assert.Assert(t, !slices.Contains(started, Key{"first", 0}), "%v", started)
}

// Guards against two models that share engines with slots enough for either, but not for both.
func TestShortageOfModelsThatShareSlotsIsFound(t *testing.T) {
	plan := addCompetitors(observePace(duePlan()))
	addModelJob(plan, "other", "m2", "c", now, 0, 9000, 9000)
	shared, own := engine("shared", 3, 3), engine("own", 8, 0)
	shared.Versions["m2"], own.Versions = 3, map[string]int64{"m3": 3}
	started := startedKeys(plan.Assign(now, []Engine{shared, own}))
	assert.DeepEqual(t, started, []Key{{"other", 0}, {"other", 1}, {"second", 0}})
}

// Guards against more models than are compared that share slots, of which each pair has enough.
func TestShortageOfManyModelsThatShareSlotsIsFound(t *testing.T) {
	plan := addCompetitors(observePace(duePlan()))
	shared := engine("shared", comparedClasses+1, 3)
	for i := range comparedClasses {
		model := fmt.Sprint("other-", i)
		addModelJob(plan, model, model, model, now, 0, 9000)
		shared.Versions[model] = 3
	}
	plan.Assign(now, []Engine{shared})
	_, waits := plan.waiting[Key{"first", 0}]
	assert.Assert(t, plan.Waiting() == 1 && waits, "the item that waits is not the one with the most slack")
}

// Guards against an order by due times for want of engines that a model does not have yet, while each item of the models
// that have engines gets a slot, the first ones at the best engines.
func TestModelWithoutSlotsDoesNotApplyTheOrder(t *testing.T) {
	for _, others := range []int{1, comparedClasses + 2} {
		plan := addCompetitors(observePace(duePlan()))
		for i := range others {
			model := fmt.Sprint("other-", i)
			addModelJob(plan, model, model, "c", now, 0, 9000)
		}
		slots := 2 + others // with many models all items are compared with the slots
		started := startedKeys(plan.Assign(now, []Engine{engine("e", slots, 3)}))
		assert.DeepEqual(t, started, []Key{{"first", 0}, {"second", 0}})
	}
}

// Guards against slots that count as free at an engine whose memory takes none, or only some, of the waiting items.
func TestSlotsWithoutMemoryAreNotFree(t *testing.T) {
	for _, running := range []bool{false, true} {
		plan := observePace(duePlan())
		limited := engine("limited", 8, 3)
		limited.Tokens = 1000
		engines := []Engine{limited}
		if running {
			addDueJob(plan, "running", "r", now, 1, 100)
			setTokens(plan, 1900)
			assert.Equal(t, len(plan.Assign(now, engines)), 1)
			engines = append(engines, engine("e", 1, 3))
		}
		addCompetitors(plan)
		setTokens(plan, 1900)
		assert.DeepEqual(t, startedKeys(plan.Assign(now, engines)), []Key{{"second", 0}})
	}
}

// setTokens sets the memory that all waiting items need.
func setTokens(plan *Plan, tokens int) {
	for key, waiting := range plan.waiting {
		waiting.Tokens = tokens
		plan.waiting[key] = waiting
	}
}

// Guards against assignments of a new leader, which adds the open jobs in any order, that differ from those of the old.
func TestNewLeaderStartsTheSameItems(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		add, engines := drawLoad(t)
		first, second := observePace(duePlan()), observePace(duePlan())
		for _, each := range add {
			each(first)
		}
		for _, each := range rapid.Permutation(add).Draw(t, "order") {
			each(second)
		}
		expected := startedKeys(first.Assign(now, engines))
		started := startedKeys(second.Assign(now, engines))
		exceeds := first.due.demands["s"].exceedsSlots
		assert.Equal(t, second.due.demands["s"].exceedsSlots, exceeds)
		if exceeds {
			assert.DeepEqual(t, started, expected)
		} else if !slices.ContainsFunc(engines, func(each Engine) bool { return each.Tokens > 0 }) {
			assert.Equal(t, len(started), len(expected))
		}
	})
}

// Guards against events of earlier and of current runs that do not reach the order of jobs.
func TestEventsCountTowardTheRankOfAJob(t *testing.T) {
	plan := observePace(duePlan())
	most := int32(simulatedDue / simulatedPace)
	length := int(most) * 9 / 10 * tokensPerEvent
	for id, events := range map[string]int32{"hardly-begun": 1, "half": 0, "continued": most / 2} {
		addDueJob(plan, id, id, now, 0, length)
		waiting := plan.waiting[Key{id, 0}]
		waiting.Events = events
		plan.Add(waiting)
	}
	assert.Equal(t, len(plan.Assign(now, []Engine{engine("e", 3, 3)})), 3)
	assert.Equal(t, len(plan.RefreshOrder(now)), 0)
	plan.RecordEvents(Key{"half", 0}, int64(most/2))
	decisions := plan.RefreshOrder(now.Add(simulatedDue / 2))
	assert.Equal(t, len(decisions), 1, "%+v", decisions)
	assert.Equal(t, decisions[0].Job, "hardly-begun")
}

// Guards against jobs that count as late because the lower quartile of all paces, which is that of a slow engine if at
// most a quarter of the engines is fast, stands for the pace of the fast ones.
func TestJobThatFastEnginesCompleteInTimeIsNotLate(t *testing.T) {
	plan, _ := mixedFleet(t, 12, 3)
	plan.OrderByDue()
	length := int(simulatedDue*3/4/fastPace) * tokensOfEvent
	addDueJob(plan, "j", "a", now, 0, length)
	assert.Equal(t, len(plan.RefreshOrder(now)), 0)
	decisions := plan.RefreshOrder(now.Add(simulatedDue / 2))
	assert.Equal(t, len(decisions), 1, "%+v", decisions)
	assert.Equal(t, decisions[0].Kind, joborder.Late)
}
