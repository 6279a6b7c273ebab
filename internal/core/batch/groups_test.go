package batch

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// groupedJob returns a job with two items per group: item i belongs to group i/2.
func groupedJob(groups, wanted int) Record {
	record := jobRecord("j", 2*groups)
	record.Job.Wanted = wanted
	for i := range record.Job.Items {
		record.Job.Items[i].Group = fmt.Sprint("g", i/2)
	}
	return record
}

func TestMilestoneIsSetWhenTheAwaitedGroupsMayBeComplete(t *testing.T) {
	p := NewPartition()
	// Groups 0 and 1 may be carried over from an earlier job.
	p.Apply(groupedJob(6, 4), now)
	for _, step := range []struct{ item, milestone int }{
		{4, 0}, {5, 0}, // group 2 complete
		{6, 0}, {7, 0}, // group 3
		{8, 0}, {9, 0}, // group 4
		{0, 0},
		{10, 0}, {11, 9}, // group 5: the wanted number of groups is complete
		{2, 9}, {3, 11}, // group 1 may have been the last one awaited
		{1, 12}, // group 0 may have been too, and all results are present
	} {
		p.Apply(result("j", step.item, Completed), now)
		assert.Equal(t, p.Job("j").Milestone(), step.milestone, "after item %d", step.item)
	}
}

func TestMilestoneIgnoresTrailingGroupsOnceEnoughAreComplete(t *testing.T) {
	p := NewPartition()
	p.Apply(groupedJob(6, 2), now)
	for _, item := range []int{0, 1, 2, 3} {
		p.Apply(result("j", item, Completed), now)
	}
	assert.Equal(t, p.Job("j").Milestone(), 4)
	for _, item := range []int{8, 9} {
		p.Apply(result("j", item, Expired), now)
	}
	assert.Equal(t, p.Job("j").Milestone(), 4)
}

func TestMilestoneWaitsForAllKnownCarriedOverGroups(t *testing.T) {
	p := NewPartition()
	job := groupedJob(6, 4)
	job.Job.CarriedOverKnown, job.Job.CarriedOver = true, 2
	p.Apply(job, now)
	for _, step := range []struct{ item, milestone int }{
		{4, 0}, {5, 0}, {6, 0}, {7, 0}, {8, 0}, {9, 0}, {10, 0}, {11, 0}, // groups 2 to 5; 0 and 1 are still awaited
		{2, 0}, {3, 0},
		{0, 0}, {1, 12},
	} {
		p.Apply(result("j", step.item, Completed), now)
		assert.Equal(t, p.Job("j").Milestone(), step.milestone, "after item %d", step.item)
	}
}

func TestMilestoneIsSetByEnoughGroupsIfNoneAreCarriedOver(t *testing.T) {
	p := NewPartition()
	job := groupedJob(6, 2)
	job.Job.CarriedOverKnown = true
	p.Apply(job, now)
	for _, item := range []int{0, 1, 8, 9, 2, 3} {
		p.Apply(result("j", item, Completed), now)
	}
	assert.Equal(t, p.Job("j").Milestone(), 4)
}

// stepOf returns a job of the given step with one item per group.
func stepOf(step int64, groups ...string) JobRecord {
	record := JobRecord{ID: fmt.Sprint("job", step), Model: "m", Host: "h", Step: step, Wanted: 4}
	for i, group := range groups {
		record.Items = append(record.Items, ItemRecord{ID: fmt.Sprint(step, "-", i), Group: group})
	}
	return record
}

func TestCarriedOverGroupsAreCountedIfPrecedingStepsAreKnown(t *testing.T) {
	p := NewPartition()
	for _, record := range []JobRecord{stepOf(4, "a", "b"), stepOf(5, "c")} {
		p.Apply(Record{Job: &record}, now)
	}
	for name, check := range map[string]struct {
		job   JobRecord
		known bool
		count int
	}{
		"two from the step before last": {stepOf(6, "a", "b", "x"), true, 2},
		"only leading groups count":     {stepOf(6, "x", "a"), true, 0},
		"at most half of the wanted":    {stepOf(6, "a", "b", "c"), true, 2},
		"unknown preceding step":        {stepOf(7, "a"), false, 0},
		"first step":                    {stepOf(0, "a"), true, 0},
	} {
		check.job.CountCarriedOver(p.EarlierJobs(&check.job))
		assert.Equal(t, check.job.CarriedOverKnown, check.known, name)
		assert.Equal(t, check.job.CarriedOver, check.count, name)
	}
	other := stepOf(6, "a")
	other.Model = "another"
	other.CountCarriedOver(p.EarlierJobs(&other))
	assert.Assert(t, !other.CarriedOverKnown, "steps of another model")
}
