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
	// Groups 0 and 1 may have come again.
	p.Apply(groupedJob(6, 4), at)
	for _, step := range []struct{ item, milestone int }{
		{4, 0}, {5, 0}, // group 2 is whole
		{6, 0}, {7, 0}, // 3
		{8, 0}, {9, 0}, // 4
		{0, 0},
		{10, 0}, {11, 9}, // 5: as many as are wanted
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
