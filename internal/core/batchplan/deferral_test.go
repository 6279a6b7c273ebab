package batchplan

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// busyPlan returns a plan with a full fast engine, which runs items of the given length, and an
// idle slow one. The expected number of events of an item is its length.
func busyPlan(runningLength int, slowPace time.Duration) (*Plan, []Engine) {
	plan := New()
	plan.ObserveLength(10, 10)
	plan.ObservePace(engineID("fast"), 10*time.Millisecond)
	plan.ObservePace(engineID("fast2"), 10*time.Millisecond)
	for i := range 4 {
		plan.Add(item("before", i, runningLength))
	}
	fast := engine("fast", 4, 3)
	plan.Assign(now, []Engine{fast})
	plan.ObservePace(engineID("slow"), slowPace)
	return plan, []Engine{fast, engine("slow", 4, 3)}
}

func TestItemWaitsForFastEngineThatSoonFreesASlot(t *testing.T) {
	plan, engines := busyPlan(20, 30*time.Millisecond)
	plan.Add(item("j", 0, 50))
	assert.Equal(t, len(plan.Assign(now, engines)), 0, "the slow engine takes 200 ms longer, the expected wait is 50 ms")
	plan.Ended(Key{"before", 0})
	assigned := plan.Assign(now, engines)
	assert.Equal(t, assigned[0].Engine, engineID("fast"))
}

func TestItemStartsAtASlowEngineIfWaitingTakesLonger(t *testing.T) {
	plan, engines := busyPlan(400, 11500*time.Microsecond)
	plan.Add(item("j", 0, 50))
	assert.Equal(t, plan.Assign(now, engines)[0].Engine, engineID("slow"),
		"the slow engine takes 75 ms longer, the expected wait is 1 s")
}

func TestDeferredItemsLengthenTheExpectedWait(t *testing.T) {
	plan, engines := busyPlan(20, 20*time.Millisecond)
	for i := range 6 {
		plan.Add(item("j", i, 15))
	}
	// The slow engine takes 150 ms longer; the fast one frees slots after 50, 100 and 150 ms.
	assert.Equal(t, len(plan.Assign(now, engines)), 4)
}

func TestNoItemWaitsWithoutAUsableFastEngine(t *testing.T) {
	plan, engines := busyPlan(20, 30*time.Millisecond)
	plan.Add(item("j", 0, 50))
	engines[0].Usable = false
	assert.Equal(t, plan.Assign(now, engines)[0].Engine, engineID("slow"))
}
