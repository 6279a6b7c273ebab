package batch

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// groupedJob is a job of groups of two items each: item i is of group i/2.
func groupedJob(groups, wanted int) Record {
	record := jobRecord("j", 2*groups)
	record.Job.Wanted = wanted
	for i := range record.Job.Items {
		record.Job.Items[i].Group = fmt.Sprint("g", i/2)
	}
	return record
}

func TestMilestonesAreWhereTheSubmitterMayHaveAll(t *testing.T) {
	p := NewPartition()
	// Groups 0 and 1 may return from an earlier job.
	p.Apply(groupedJob(6, 4), at)
	for _, step := range []struct{ item, milestone int }{
		{4, 0}, {5, 0}, // group 2 is complete
		{6, 0}, {7, 0}, // 3
		{8, 0}, {9, 0}, // 4
		{0, 0},
		{10, 0}, {11, 9}, // 5: as many as wanted
		{2, 9}, {3, 11}, // 1 may have been the last to wait for
		{1, 12}, // 0 as well, and nothing is missing
	} {
		p.Apply(result("j", step.item, Completed), at)
		assert.Equal(t, p.Job("j").Milestone(), step.milestone, "after item %d", step.item)
	}
}

func TestGroupsBehindTheFirstAreNotWaitedForOnceEnoughAreWhole(t *testing.T) {
	p := NewPartition()
	p.Apply(groupedJob(6, 2), at)
	for _, item := range []int{0, 1, 2, 3} {
		p.Apply(result("j", item, Completed), at)
	}
	assert.Equal(t, p.Job("j").Milestone(), 4)
	for _, item := range []int{8, 9} {
		p.Apply(result("j", item, Expired), at)
	}
	assert.Equal(t, p.Job("j").Milestone(), 4)
}

func TestMilestoneWaitsForAllThatCameAgainWhereTheyAreKnown(t *testing.T) {
	p := NewPartition()
	job := groupedJob(6, 4)
	job.Job.ReturnedKnown, job.Job.Returned = true, 2
	p.Apply(job, at)
	for _, step := range []struct{ item, milestone int }{
		{4, 0}, {5, 0}, {6, 0}, {7, 0}, {8, 0}, {9, 0}, {10, 0}, {11, 0}, // 2 to 5 are complete, enough except for 0 and 1
		{2, 0}, {3, 0},
		{0, 0}, {1, 12},
	} {
		p.Apply(result("j", step.item, Completed), at)
		assert.Equal(t, p.Job("j").Milestone(), step.milestone, "after item %d", step.item)
	}
}

func TestMilestoneComesWithEnoughGroupsWhereNoneCameAgain(t *testing.T) {
	p := NewPartition()
	job := groupedJob(6, 2)
	job.Job.ReturnedKnown = true
	p.Apply(job, at)
	for _, item := range []int{0, 1, 8, 9, 2, 3} {
		p.Apply(result("j", item, Completed), at)
	}
	assert.Equal(t, p.Job("j").Milestone(), 4)
}

// stepOf returns a job of a step with groups of one item each.
func stepOf(step int64, groups ...string) JobRecord {
	record := JobRecord{ID: fmt.Sprint("job", step), Model: "m", Host: "h", Step: step, Wanted: 4}
	for i, group := range groups {
		record.Items = append(record.Items, ItemRecord{ID: fmt.Sprint(step, "-", i), Group: group})
	}
	return record
}

func TestGroupsThatCameAgainAreCountedWhereTheStepsBeforeAreKnown(t *testing.T) {
	p := NewPartition()
	for _, record := range []JobRecord{stepOf(4, "a", "b"), stepOf(5, "c")} {
		p.Apply(Record{Job: &record}, at)
	}
	for name, check := range map[string]struct {
		job   JobRecord
		known bool
		count int
	}{
		"two of the step before last": {stepOf(6, "a", "b", "x"), true, 2},
		"leading ones only":           {stepOf(6, "x", "a"), true, 0},
		"half of the wanted at most":  {stepOf(6, "a", "b", "c"), true, 2},
		"a step before is not known":  {stepOf(7, "a"), false, 0},
		"the first step":              {stepOf(0, "a"), true, 0},
	} {
		check.job.CountReturned(p.Earlier(&check.job))
		assert.Equal(t, check.job.ReturnedKnown, check.known, name)
		assert.Equal(t, check.job.Returned, check.count, name)
	}
	other := stepOf(6, "a")
	other.Model = "another"
	other.CountReturned(p.Earlier(&other))
	assert.Assert(t, !other.ReturnedKnown, "steps of another model")
}
