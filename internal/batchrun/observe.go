package batchrun

import (
	"context"
	"time"

	"github.com/corkpulley/corkpulley/internal/common/retry"
	"github.com/corkpulley/corkpulley/internal/core/batch"
	"github.com/corkpulley/corkpulley/internal/core/batchitem"
	"github.com/corkpulley/corkpulley/internal/core/batchplan"
	"github.com/corkpulley/corkpulley/internal/core/incarnation"
)

// JobAdded implements batch.Observer.
func (r *Runner) JobAdded(job *batch.Job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, found := r.jobs[job.ID]; found || r.ctx.Err() != nil {
		return
	}
	if !r.owns(&job.JobRecord) {
		if r.otherJobs[job.ID] == nil {
			r.otherJobs[job.ID] = newOtherJob(job)
			r.observeItemPeak(job.Model)
		}
		return
	}
	delete(r.otherJobs, job.ID)
	loadContext, cancelLoad := context.WithCancel(r.ctx)
	added := &openJob{
		record:        job.JobRecord,
		items:         make([]batchitem.Item, len(job.Items)),
		addedAt:       time.Now(),
		savedProgress: make(map[int]batch.Progress),
		remaining:     len(job.Items) - len(job.Results),

		cancelLoad: cancelLoad,
	}
	for i := range added.items {
		added.tokens += job.Items[i].Tokens
		if job.HasResult(i) {
			added.items[i].MarkCompleted()
		}
		if savedProgress, found := job.Progress(i); found {
			added.savedProgress[i] = savedProgress
		}
	}
	r.jobs[job.ID] = added
	r.observeItemPeak(job.Model)
	r.plan.AddJob(r.planJob(job))
	if len(added.savedProgress) > 0 {
		r.pendingRestores++
	}
	r.wait.Go(func() {
		r.load(loadContext, added)
		r.loadFinished(added)
	})
}

// planJob converts a job for the plan.
func (r *Runner) planJob(job *batch.Job) batchplan.Job {
	lengths := make([]int, len(job.Items))
	for i := range job.Items {
		lengths[i] = job.Items[i].Length
	}
	converted := batchplan.Job{ID: job.ID, Model: job.Model, Priority: job.Priority, Step: job.Step, Lengths: lengths}
	if r.options.DueOrder {
		converted.Due = r.dueJob(job)
	}
	return converted
}

// loadFinished records that the job's saved progress is loaded, or that loading was canceled.
func (r *Runner) loadFinished(job *openJob) {
	if len(job.savedProgress) == 0 {
		return
	}
	r.mu.Lock()
	r.pendingRestores--
	r.mu.Unlock()
	r.Wake()
}

// load reads the job's payloads and queues its items, retrying until ctx ends.
func (r *Runner) load(ctx context.Context, job *openJob) {
	for ctx.Err() == nil {
		if r.routePending(&job.record) {
			retry.Sleep(ctx, loadRetryDelay)
			continue
		}
		payloads, err := r.options.Jobs.Payloads(ctx, job.record)
		if err == nil && len(payloads) == len(job.items) {
			r.queueJob(job, payloads, r.loadSavedOutput(ctx, job))
			return
		}
		r.options.Logger.Warn().Err(err).Str("job", job.record.ID).Int("payloads", len(payloads)).
			Msg("failed to read job payloads; retrying")
		retry.Sleep(ctx, loadRetryDelay)
	}
}

// loadSavedOutput reads the output saved by earlier runners. Items whose output cannot be read start over.
func (r *Runner) loadSavedOutput(ctx context.Context, job *openJob) map[int]batchitem.Output {
	if len(job.savedProgress) == 0 {
		return nil
	}
	texts, err := r.options.Jobs.SavedTexts(ctx, job.record, job.savedProgress)
	if err != nil {
		r.options.Logger.Warn().Err(err).Str("job", job.record.ID).Int("items", len(job.savedProgress)).
			Int("read", len(texts)).Msg("failed to read saved progress")
	}
	outputs := make(map[int]batchitem.Output, len(texts))
	for item, text := range texts {
		savedProgress := job.savedProgress[item]
		outputs[item] = batchitem.Restore(batchitem.SavedOutput{
			Chain: savedProgress.Chain, Last: savedProgress.To, Versions: savedProgress.Versions,
			Text: text, Complete: savedProgress.Complete,
		})
	}
	return outputs
}

func (r *Runner) queueJob(job *openJob, payloads []batch.Payload, savedOutput map[int]batchitem.Output) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.jobs[job.record.ID] != job {
		return
	}
	job.payloads = payloads
	route, _ := r.options.RouteOf(job.record.Host, job.record.Path)
	job.singleVersion = route.SingleVersion
	r.plan.SetDueAfter(job.record.ID, route.ResultsDueAfter)
	queued, continued := 0, 0
	limits := job.limits()
	for i := range job.items {
		item := &job.items[i]
		if item.Ended() {
			continue
		}
		if saved, found := savedOutput[i]; found && saved.Satisfies(limits) {
			item.Output = saved
			continued++
		}
		r.reuseCarriedOver(job, i)
		if item.Output.IsComplete() {
			r.outputComplete(job, i, "output already complete")
			continue
		}
		r.queueItem(job, i, incarnation.ID{}, time.Time{})
		queued++
	}
	r.options.Logger.Info().Str("job", job.record.ID).Int64("step", job.record.Step).
		Str("model", job.record.Model).Int64("min_version", job.record.MinVersion).
		Int("items", len(job.items)).Int("queued", queued).Int("continued", continued).Msg("job accepted by its runner")
	r.Wake()
}

// queueItem adds an item to the plan, unless it has no route. Must be called with mu held.
func (r *Runner) queueItem(job *openJob, index int, avoid incarnation.ID, notBefore time.Time) {
	route, found := r.options.RouteOf(job.record.Host, job.record.Path)
	if !found {
		r.expire(job, index, "no route")
		return
	}
	key := batchplan.Key{Job: job.record.ID, Item: index}
	record, state := job.record.Items[index], &job.items[index]
	if route.SingleVersion && len(state.Output.Versions()) > 1 {
		r.dropOutput(job, index, DroppedMixedVersions)
	}
	versions := state.Output.Versions()
	if state.WaitingSince.IsZero() {
		state.WaitingSince = time.Now()
	}
	item := batchplan.Item{
		Key:     key,
		Service: r.serviceFor(job, index, &route), Model: job.record.Model, MinVersion: job.record.MinVersion,
		Group: record.Group, Length: record.Length, Tokens: expectedTokens(record), NotBefore: notBefore, Avoid: avoid,
		WaitingSince: state.WaitingSince,
		Prompt:       record.Prompt, Events: int32(state.Output.Last()),
	}
	if route.SingleVersion && len(versions) == 1 {
		if state.IdleSince.IsZero() {
			state.IdleSince = time.Now()
		}
		item.SameVersion, item.IdleSince = versions[0], state.IdleSince
	}
	r.plan.Add(item)
}

// applyRoutes applies a changed configuration to the open jobs: waiting items are queued again, so that they run at the
// services that their routes lead to now. Running items stay where they are. Must be called with mu held.
func (r *Runner) applyRoutes() {
	version := r.options.ConfigVersion()
	if r.routesVersion == version {
		return
	}
	r.routesVersion = version
	for _, job := range r.jobs {
		if route, found := r.options.RouteOf(job.record.Host, job.record.Path); found {
			job.singleVersion = route.SingleVersion
		}
	}
	for _, item := range r.plan.WaitingItems() {
		if job := r.jobs[item.Key.Job]; job != nil {
			r.queueItem(job, item.Key.Item, item.Avoid, item.NotBefore)
		}
	}
}

// expectedTokens returns the estimated memory use of an item on an engine in tokens: its prompt and its expected
// output, or half of the maximum output if none is given.
func expectedTokens(record batch.ItemRecord) int {
	maxOutput := max(record.Tokens-record.Prompt, 0)
	if record.Length == 0 {
		return record.Prompt + maxOutput/2
	}
	return record.Prompt + min(record.Length, maxOutput)
}

// ResultAdded implements batch.Observer.
func (r *Runner) ResultAdded(job *batch.Job, item int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, found := r.jobs[job.ID]
	if !found {
		r.otherItemRecorded(job.ID, item)
		return
	}
	r.dropItem(known, item)
	known.items[item].MarkCompleted()
	known.remaining--
	if known.remaining <= 0 {
		r.removeJob(known)
	}
}

// JobEnded implements batch.Observer.
func (r *Runner) JobEnded(job *batch.Job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.otherJobs, job.ID)
	known, found := r.jobs[job.ID]
	if !found {
		return
	}
	stopped := 0
	r.carryOver(known)
	for i := range known.items {
		if !known.items[i].Ended() {
			stopped++
			r.dropItem(known, i)
		}
	}
	r.removeJob(known)
	r.options.Logger.Info().Str("job", job.ID).Int64("step", known.record.Step).
		Dur("after_ms", time.Since(known.addedAt)).Int("unfinished", stopped).Msg("job ended")
}

// dropItem removes an item from the plan and cancels its run or scoring call. Must be called with mu held.
func (r *Runner) dropItem(job *openJob, index int) {
	key := batchplan.Key{Job: job.record.ID, Item: index}
	job.items[index].Drop()
	r.plan.Remove(key)
	r.stopWork(key)
}

// removeJob cancels loading of a job and forgets it. Must be called with mu held.
func (r *Runner) removeJob(job *openJob) {
	job.cancelLoad()
	delete(r.jobs, job.record.ID)
	r.plan.ForgetJob(job.record.ID)
}
