package batchplan

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// waitReasonOf returns why the only waiting item of a plan waits.
func waitReasonOf(t *testing.T, plan *Plan) WaitReason {
	t.Helper()
	counts := plan.WaitCounts(now)
	assert.Equal(t, len(counts), 1)
	for reason, count := range counts {
		assert.Equal(t, count.Items, 1)
		return reason
	}
	return NotWaiting
}

// Guards against items that wait for a reason that nothing reports.
func TestPassRecordsWhyItemWaits(t *testing.T) {
	cold := engine("a", 2, 3)
	cold.Cold = true
	unusable := engine("a", 2, 3)
	unusable.Usable = false
	small := engine("a", 2, 3)
	small.Tokens = 100
	for name, test := range map[string]struct {
		item    func(*Item)
		engines []Engine
		running int
		want    WaitReason
	}{
		"retry":      {item: func(i *Item) { i.NotBefore = now.Add(time.Second) }, engines: []Engine{engine("a", 2, 3)}, want: RetryDelay},
		"no engine":  {engines: nil, want: NoUsableEngine},
		"not usable": {engines: []Engine{unusable}, want: NoUsableEngine},
		"version":    {engines: []Engine{engine("a", 2, 2)}, want: NoVersion},
		"own version": {
			item:    func(i *Item) { i.SameVersion, i.IdleSince, i.Events = 4, now, 9 },
			engines: []Engine{engine("a", 2, 3)}, want: NoVersion,
		},
		"slots":  {engines: []Engine{engine("a", 1, 3)}, running: 1, want: NoSlot},
		"memory": {item: func(i *Item) { i.Tokens = 300 }, engines: []Engine{small}, running: 1, want: NoMemory},
		"cold":   {engines: []Engine{cold}, want: ColdStart},
	} {
		t.Run(name, func(t *testing.T) {
			plan := New()
			for i := range test.running {
				plan.Add(item("other", i, 0))
			}
			plan.Assign(now, test.engines)
			waiting := item("j", 0, 0)
			waiting.MinVersion = 3
			waiting.WaitingSince = now.Add(-3 * time.Second)
			if test.item != nil {
				test.item(&waiting)
			}
			plan.Add(waiting)
			assert.Equal(t, waitReasonOf(t, plan), NotConsidered)
			assert.Equal(t, len(plan.Assign(now, test.engines)), 0)
			assert.Equal(t, waitReasonOf(t, plan), test.want)
			assert.Equal(t, plan.WaitCounts(now)[test.want].Longest, 3*time.Second)

			long := plan.LongWaits(now, time.Second)
			assert.Equal(t, len(long), 1)
			assert.Equal(t, long[0].Wait.Reason, test.want)
			assert.Equal(t, len(plan.LongWaits(now, time.Second)), 0, "reported twice for one reason")
			assert.Equal(t, len(plan.LongWaits(now, time.Minute)), 0)
		})
	}
}

// Guards against values of items that wait no more.
func TestStartedItemHasWaitReasonOfItsLastPass(t *testing.T) {
	plan := New()
	plan.Add(item("j", 0, 0))
	assert.Equal(t, len(plan.Assign(now, nil)), 0)
	assigned := plan.Assign(now.Add(time.Second), []Engine{engine("a", 1, 3)})
	assert.Equal(t, assigned[0].Wait.Reason, NoUsableEngine)
	assert.Equal(t, assigned[0].Wait.Since, now)
	assert.Equal(t, len(plan.WaitCounts(now)), 0)
	assert.Equal(t, len(plan.waits), 0)
}
