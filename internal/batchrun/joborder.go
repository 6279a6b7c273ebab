package batchrun

import (
	"time"

	"github.com/corkpulley/corkpulley/internal/core/batch"
	"github.com/corkpulley/corkpulley/internal/core/batchplan"
	"github.com/corkpulley/corkpulley/internal/core/joborder"
)

// dueJob returns the properties of a job that determine its place in the order by due times.
func (r *Runner) dueJob(job *batch.Job) batchplan.DueJob {
	due := batchplan.DueJob{
		Submitter: job.Tenant, Accepted: job.AcceptedAt(), DueAfter: r.dueAfter(&job.JobRecord),
		Wanted: job.Wanted, CarriedOver: job.MaxCarriedOver(),
		Groups: make([]string, len(job.Items)), Done: make([]bool, len(job.Items)),
	}
	if due.Submitter == "" {
		due.Submitter = job.Model
	}
	for i := range job.Items {
		due.Groups[i], due.Done[i] = job.Items[i].Group, job.HasResult(i)
	}
	return due
}

// dueAfter returns the time in which a job's results are due in the current configuration; zero for none.
func (r *Runner) dueAfter(record *batch.JobRecord) time.Duration {
	route, _ := r.options.RouteOf(record.Host, record.Path)
	return route.ResultsDueAfter
}

// refreshJobOrder applies the due times of the current configuration and ranks the jobs anew, a few times a second,
// and reports the decisions. Must be called with mu held.
func (r *Runner) refreshJobOrder(now time.Time) {
	if !r.plan.OrderStale(now) {
		return
	}
	for id, job := range r.jobs {
		r.plan.SetDueAfter(id, r.dueAfter(&job.record))
	}
	for _, decision := range r.plan.RefreshOrder(now) {
		r.reportJobDecision(decision)
	}
}

// reportJobDecision logs and counts a decision. Must be called with mu held.
func (r *Runner) reportJobDecision(decision joborder.Decision) {
	job := r.jobs[decision.Job]
	if job == nil {
		return
	}
	if r.options.OnJobDecision != nil {
		r.options.OnJobDecision(decision.Kind)
	}
	line := r.options.Logger.Info().Str("job", decision.Job).Int64("step", job.record.Step).
		Int("priority", job.record.Priority).Int("unfinished", job.remaining).Bool("can_be_in_time", decision.CanBeInTime).
		Dur("slack_ms", decision.Slack).Dur("needed_ms", decision.Needed).Dur("soonest_ms", decision.Soonest).
		Dur("behind_ms", decision.Behind).Dur("share_ms", decision.Share)
	switch decision.Kind {
	case joborder.Outranked:
		line.Str("ahead", decision.Ahead).Msg("items wait for a job that was accepted later")
	case joborder.Late:
		line.Str("reason", decision.Reason).Msg("job cannot be complete in time")
	}
}
