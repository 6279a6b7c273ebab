package picture

import (
	"cmp"
	"slices"
	"time"

	"github.com/corkpulley/corkpulley/internal/report/timeline"
)

// unknownModel labels jobs whose submission is not in the logs.
const unknownModel = "model not in the logs"

// lane is a row of jobs that don't overlap.
type lane struct {
	model string
	jobs  []*timeline.Job
	until time.Time
}

// lanesOf assigns the jobs to lanes by model, in order of time.
func lanesOf(jobs []timeline.Job, last time.Time) []*lane {
	byModel := map[string][]*lane{}
	for i := range jobs {
		job := &jobs[i]
		model := cmp.Or(job.Model, unknownModel)
		fitting := slices.IndexFunc(byModel[model], func(known *lane) bool { return known.until.Before(job.First()) })
		if fitting < 0 {
			fitting = len(byModel[model])
			byModel[model] = append(byModel[model], &lane{model: model})
		}
		chosen := byModel[model][fitting]
		chosen.jobs = append(chosen.jobs, job)
		chosen.until = jobEnd(job, last)
	}
	var lanes []*lane
	for _, group := range byModel {
		lanes = append(lanes, group...)
	}
	slices.SortStableFunc(lanes, func(a, b *lane) int { return cmp.Compare(a.model, b.model) })
	return lanes
}

// jobEnd returns when the job's bar ends: at its accepted end call, the end of its runs, or the end of the logs.
func jobEnd(job *timeline.Job, last time.Time) time.Time {
	if !job.EndRequested.IsZero() {
		return job.EndRequested
	}
	if !job.Ended.IsZero() {
		return job.Ended
	}
	return last
}
