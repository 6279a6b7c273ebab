package batchplan

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// busyPlan has a fast engine whose places are all taken by items of the length,
// and a slow one that is free. An item has as many events as its length says.
func busyPlan(runningLength int, slowPace time.Duration) (*Plan, []Engine) {
	plan := New()
	plan.ObserveLength(10, 10)
	plan.ObservePace(named("fast"), 10*time.Millisecond)
	plan.ObservePace(named("fast2"), 10*time.Millisecond)
	for i := range 4 {
		plan.Add(item("before", i, runningLength))
	}
	fast := engine("fast", 4, 3)
	plan.Assign(now, []Engine{fast})
	plan.ObservePace(named("slow"), slowPace)
	return plan, []Engine{fast, engine("slow", 4, 3)}
}

func TestItemWaitsForAFastPlaceThatIsSoonFree(t *testing.T) {
	plan, engines := busyPlan(20, 30*time.Millisecond)
	plan.Add(item("j", 0, 50))
	assert.Equal(t, len(plan.Assign(now, engines)), 0, "200 ms more at the slow engine, 50 ms of waiting")
	plan.Ended(Key{"before", 0})
	assigned := plan.Assign(now, engines)
	assert.Equal(t, assigned[0].Engine, named("fast"))
}

func TestItemStartsAtASlowEngineWhereWaitingTakesLonger(t *testing.T) {
	plan, engines := busyPlan(400, 11500*time.Microsecond)
	plan.Add(item("j", 0, 50))
	assert.Equal(t, plan.Assign(now, engines)[0].Engine, named("slow"), "75 ms more at the slow engine, a second of waiting")
}

func TestEachWaitingItemMakesTheNextOneWaitLonger(t *testing.T) {
	plan, engines := busyPlan(20, 20*time.Millisecond)
	for i := range 6 {
		plan.Add(item("j", i, 15))
	}
	// 150 ms are lost at the slow engine; the first three places come after 50, 100 and 150 ms.
	assert.Equal(t, len(plan.Assign(now, engines)), 4)
}

func TestNobodyWaitsWithoutAFastEngine(t *testing.T) {
	plan, engines := busyPlan(20, 30*time.Millisecond)
	plan.Add(item("j", 0, 50))
	engines[0].Usable = false
	assert.Equal(t, plan.Assign(now, engines)[0].Engine, named("slow"))
}
