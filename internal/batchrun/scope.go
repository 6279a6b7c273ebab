package batchrun

import (
	"time"

	"github.com/corkpulley/corkpulley/internal/batchjobs"
	"github.com/corkpulley/corkpulley/internal/core/batch"
	"github.com/corkpulley/corkpulley/internal/core/fleet"
)

// otherGrace is how much later than its own runner another one gives up the items of a job whose time
// is over: longer than a new runner takes to be elected.
const otherGrace = 5 * time.Second

// otherJob is an open job that another runner runs. Nothing of its bodies and texts is read here.
type otherJob struct {
	record batch.JobRecord
	listed []bool
	// left counts the items without a recorded result.
	left   int
	tokens int
	seenAt time.Time
}

func newOtherJob(job *batch.Job) *otherJob {
	other := &otherJob{
		record: job.JobRecord, listed: make([]bool, len(job.Items)),
		left: len(job.Items) - len(job.Results), seenAt: time.Now(),
	}
	for i := range job.Items {
		other.listed[i] = job.Listed(i)
		other.tokens += job.Items[i].Tokens
	}
	return other
}

// owns tells whether this runner runs a job by the configuration in force.
func (r *Runner) owns(job *batch.JobRecord) bool { return r.options.HomesOf(job) == r.options.Within }

// awaitsRoute tells whether a job's route may only not be known yet: the node that took the job knew a newer
// configuration.
func (r *Runner) awaitsRoute(job *batch.JobRecord) bool {
	_, found := r.options.RouteOf(job.Host, job.Path)
	return !found && job.Config > r.options.Config()
}

// mayRun tells whether an item of the job may be sent to the engine: the last look before it is.
func (r *Runner) mayRun(job *openJob, engine fleet.Engine) bool {
	return r.owns(&job.record) && r.options.Within.Allows(engine.Region)
}

// otherListed notes the result of an item of a job that another runner runs; mu is held.
func (r *Runner) otherListed(jobID string, item int) {
	other, found := r.others[jobID]
	if !found || other.listed[item] {
		return
	}
	other.listed[item] = true
	other.left--
	if other.left <= 0 {
		delete(r.others, jobID)
	}
}

// rescope hands jobs over to other runners and takes jobs from them, as a new configuration asks.
func (r *Runner) rescope() {
	if r.releaseForeign() {
		// Jobs that are known are passed over; the others are told as they stand in the log now.
		r.options.Jobs.Observe(r)
	}
}

// releaseForeign drops the jobs that are not this runner's any more, and tells whether any job has
// changed its runner.
func (r *Runner) releaseForeign() bool {
	version := r.options.Config()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.scopedBy == version {
		return false
	}
	r.scopedBy = version
	changed := false
	for _, job := range r.jobs {
		if !r.owns(&job.record) {
			r.release(job)
			changed = true
		}
	}
	for _, other := range r.others {
		changed = changed || r.owns(&other.record)
	}
	return changed
}

// release ends all work at a job that another runner takes up; mu is held. What was kept of its items
// stands in the log.
func (r *Runner) release(job *openJob) {
	running := 0
	for i := range job.items {
		if !job.items[i].Ended() {
			running++
		}
		r.drop(job, i)
	}
	r.forget(job)
	r.options.Logger.Info().Str("job", job.record.ID).Stringer("homes", r.options.HomesOf(&job.record)).
		Stringer("runner_homes", r.options.Within).Int("unfinished", running).Msg("job left to another runner")
}

// giveUpOthers ends items of jobs that no runner ends in time: there may be no node in their homes, or
// their route may be gone. Only the runner of jobs without homes does; that needs nothing of the bodies.
func (r *Runner) giveUpOthers(now time.Time) {
	if r.options.Within.Bound() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, job := range r.others {
		route, found := r.options.RouteOf(job.record.Host, job.record.Path)
		limit := otherGrace
		switch {
		case found && route.Retention <= 0, r.awaitsRoute(&job.record):
			continue
		case found:
			limit += route.Retention
		}
		if now.Sub(job.seenAt) >= limit {
			r.expireOther(job)
		}
	}
}

// expireOther gives up what is left of a job that another runner should have ended; mu is held.
func (r *Runner) expireOther(job *otherJob) {
	r.options.Logger.Warn().Str("job", job.record.ID).Stringer("homes", r.options.HomesOf(&job.record)).
		Int("items", job.left).Msg("items of another runner given up")
	for item, listed := range job.listed {
		if !listed {
			r.recorder.add(batchjobs.FinishedItem{JobID: job.record.ID, Item: item, Outcome: batch.Expired})
		}
	}
	delete(r.others, job.record.ID)
}
