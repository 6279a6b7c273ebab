package batchplan

import (
	"maps"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// splitEngine returns an engine of a service.
func splitEngine(service, id string, slots int, version int64) Engine {
	each := engine(id, slots, version)
	each.Service = service
	return each
}

// splitPlan returns a plan with a job of items at part "a" of a route that leads to "b" as well.
func splitPlan(items int) *Plan {
	plan := New()
	for i := range items {
		added := item("j", i, 10)
		added.Service, added.WaitingSince = "a", now
		plan.Add(added)
	}
	plan.SetServices("j", []string{"a", "b"})
	return plan
}

// startsByService counts assignments by the service of their engine, named after it.
func startsByService(assigned []Assignment) map[string]int {
	starts := make(map[string]int)
	for _, each := range assigned {
		starts[each.Engine.Engine[:1]]++
	}
	return starts
}

// Guards against weights that hold only while each part has free slots.
func TestItemsWaitForTheirPartWhileEnginesAreBusy(t *testing.T) {
	plan := splitPlan(20)
	engines := []Engine{splitEngine("a", "a1", 8, 3), splitEngine("b", "b1", 6, 3)}
	assert.DeepEqual(t, startsByService(plan.Assign(now, engines)), map[string]int{"a": 8})
	for tick := range 100 {
		assert.Equal(t, len(plan.Assign(now.Add(time.Duration(tick)*100*time.Millisecond), engines)), 0)
	}
}

// Guards against items that wait for a full part of their route while most engines are idle.
func TestItemsLeaveFullPartWhileEnginesAreIdle(t *testing.T) {
	plan := splitPlan(20)
	engines := []Engine{splitEngine("a", "a1", 2, 3), splitEngine("b", "b1", 18, 3)}
	assert.DeepEqual(t, startsByService(plan.Assign(now, engines)), map[string]int{"a": 2})
	assert.Equal(t, len(plan.Assign(now.Add(maxPartWait-time.Millisecond), engines)), 0)
	// Half of 20 slots, two of which were in use.
	assert.DeepEqual(t, startsByService(plan.Assign(now.Add(maxPartWait), engines)), map[string]int{"b": 8})
}

// Guards against items that wait for a part without an engine that may run them.
func TestItemsLeavePartThatCannotRunThem(t *testing.T) {
	for name, engines := range map[string][]Engine{
		"no engine":      {splitEngine("b", "b1", 3, 3)},
		"older versions": {splitEngine("a", "a1", 8, 2), splitEngine("b", "b1", 3, 3)},
	} {
		plan := splitPlan(3)
		for i := range 3 {
			waiting := plan.waiting[Key{"j", i}]
			waiting.MinVersion = 3
			plan.Add(waiting)
		}
		assert.Equal(t, len(plan.Assign(now, engines)), 0, name)
		starts := startsByService(plan.Assign(now.Add(maxPartWait), engines))
		assert.Check(t, maps.Equal(starts, map[string]int{"b": 3}), "%s: %v", name, starts)
	}
}

// Guards against output that is dropped although another part of the route can continue it.
func TestItemContinuesItsOutputAtAnotherPart(t *testing.T) {
	plan := splitPlan(1)
	waiting := plan.waiting[Key{"j", 0}]
	waiting.SameVersion, waiting.Events, waiting.IdleSince = 3, 5, now
	plan.Add(waiting)
	assigned := plan.Assign(now, []Engine{splitEngine("a", "a1", 8, 4), splitEngine("b", "b1", 8, 3)})
	assert.Equal(t, len(assigned), 1)
	assert.Equal(t, assigned[0].Engine, engineID("b1"))
	assert.Equal(t, assigned[0].Restart, NoRestart)
}

// Guards against an order by due times that takes all items of a job for those of one part.
func TestDemandOfSplitJobCountsEachPart(t *testing.T) {
	plan := observePace(duePlan())
	for _, job := range []string{"first", "second"} {
		addDueJob(plan, job, job, now, 4, 10, 20, 30, 40)
		plan.SetServices(job, []string{"a", "b"})
		for i := range 4 {
			waiting := plan.waiting[Key{job, i}]
			waiting.Service = []string{"a", "b"}[i%2]
			plan.Add(waiting)
		}
	}
	plan.Assign(now, []Engine{splitEngine("a", "a1", 1, 3), splitEngine("b", "b1", 4, 3)})
	assert.Equal(t, plan.due.demands["a"].waiting, 4)
	assert.Equal(t, plan.due.demands["b"].waiting, 4)
	assert.Assert(t, plan.due.demands["a"].exceedsSlots)
	assert.Assert(t, !plan.due.demands["b"].exceedsSlots, "each item of b has a slot")
}

// Guards against items that stay at a full part because another item of their job left its part for another reason.
func TestItemThatKeepsItsOutputTakesNoIdleSlot(t *testing.T) {
	plan := splitPlan(6)
	bound := plan.waiting[Key{"j", 0}]
	bound.Length, bound.SameVersion, bound.Events, bound.IdleSince = 100, 3, 5, now
	plan.Add(bound)
	engines := []Engine{splitEngine("a", "a1", 1, 4), splitEngine("b", "b1", 19, 3)}
	assert.DeepEqual(t, startsByService(plan.Assign(now.Add(maxPartWait), engines)), map[string]int{"a": 1, "b": 5})
}
