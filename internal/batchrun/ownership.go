package batchrun

import (
	"time"

	"github.com/corkpulley/corkpulley/internal/batchjobs"
	"github.com/corkpulley/corkpulley/internal/core/batch"
	"github.com/corkpulley/corkpulley/internal/core/fleet"
)

// otherRunnerGrace is how much later than a job's own runner another one expires its items. It is longer than the
// election of a new runner takes.
const otherRunnerGrace = 5 * time.Second

// otherJob is an open job of another runner. Its payloads and outputs are not read here.
type otherJob struct {
	record   batch.JobRecord
	recorded []bool
	// remaining is the number of items without a recorded result.
	remaining int
	tokens    int
	seenAt    time.Time
}

func newOtherJob(job *batch.Job) *otherJob {
	other := &otherJob{
		record: job.JobRecord, recorded: make([]bool, len(job.Items)),
		remaining: len(job.Items) - len(job.Results), seenAt: time.Now(),
	}
	for i := range job.Items {
		other.recorded[i] = job.HasResult(i)
		other.tokens += job.Items[i].Tokens
	}
	return other
}

// owns reports whether this runner runs the job in the current configuration.
func (r *Runner) owns(job *batch.JobRecord) bool { return r.options.HomesOf(job) == r.options.Homes }

// routePending reports whether the job's route may appear with a newer configuration: the node that accepted the
// job had a newer one.
func (r *Runner) routePending(job *batch.JobRecord) bool {
	_, found := r.options.RouteOf(job.Host, job.Path)
	return !found && job.Config > r.options.ConfigVersion()
}

// mayRun reports whether an item of the job may be sent to the engine. It is the final check of homes before the
// send.
func (r *Runner) mayRun(job *openJob, engine fleet.Engine) bool {
	return r.owns(&job.record) && r.options.Homes.Allows(engine.Region)
}

// otherItemRecorded records that an item of another runner's job has a result. Must be called with mu held.
func (r *Runner) otherItemRecorded(jobID string, item int) {
	other, found := r.otherJobs[jobID]
	if !found || other.recorded[item] {
		return
	}
	other.recorded[item] = true
	other.remaining--
	if other.remaining <= 0 {
		delete(r.otherJobs, jobID)
	}
}

// applyHomes hands jobs over to other runners, and takes over theirs, after a change of the configuration.
func (r *Runner) applyHomes() {
	if r.releaseUnowned() {
		// Known jobs are ignored; the others are added in their current state in the log.
		r.options.Jobs.Observe(r)
	}
}

// releaseUnowned drops the jobs that no longer belong to this runner, and reports whether any job changed its
// runner.
func (r *Runner) releaseUnowned() bool {
	version := r.options.ConfigVersion()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.homesVersion == version {
		return false
	}
	r.homesVersion = version
	changed := false
	for _, job := range r.jobs {
		if !r.owns(&job.record) {
			r.release(job)
			changed = true
		}
	}
	for _, other := range r.otherJobs {
		changed = changed || r.owns(&other.record)
	}
	return changed
}

// release cancels all work on a job that another runner takes over. The progress saved so far is in the log. Must
// be called with mu held.
func (r *Runner) release(job *openJob) {
	unfinished := 0
	for i := range job.items {
		if !job.items[i].Ended() {
			unfinished++
		}
		r.dropItem(job, i)
	}
	r.removeJob(job)
	r.options.Logger.Info().Str("job", job.record.ID).Stringer("homes", r.options.HomesOf(&job.record)).
		Stringer("runner_homes", r.options.Homes).Int("unfinished", unfinished).Msg("job released to another runner")
}

// expireOverdueOthers expires items that their own runner has not ended in time, for example because no node is in
// its home regions or the route is gone. Only the unbound runner does so; it needs none of the payloads.
func (r *Runner) expireOverdueOthers(now time.Time) {
	if r.options.Homes.IsRestricted() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, job := range r.otherJobs {
		route, found := r.options.RouteOf(job.record.Host, job.record.Path)
		limit := otherRunnerGrace
		switch {
		case found && route.Retention <= 0, r.routePending(&job.record):
			continue
		case found:
			limit += route.Retention
		}
		if now.Sub(job.seenAt) >= limit {
			r.expireOther(job)
		}
	}
}

// expireOther expires the remaining items of another runner's job. Must be called with mu held.
func (r *Runner) expireOther(job *otherJob) {
	r.options.Logger.Warn().Str("job", job.record.ID).Stringer("homes", r.options.HomesOf(&job.record)).
		Int("items", job.remaining).Msg("expired overdue items of another runner")
	for item, recorded := range job.recorded {
		if !recorded {
			r.recorder.add(batchjobs.ItemResult{JobID: job.record.ID, Item: item, Outcome: batch.Expired})
		}
	}
	delete(r.otherJobs, job.record.ID)
}
