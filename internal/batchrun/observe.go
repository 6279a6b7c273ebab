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
		if r.others[job.ID] == nil {
			r.others[job.ID] = newOtherJob(job)
		}
		return
	}
	delete(r.others, job.ID)
	loading, stopLoading := context.WithCancel(r.ctx)
	added := &openJob{
		record:  job.JobRecord,
		items:   make([]batchitem.Item, len(job.Items)),
		addedAt: time.Now(),
		kept:    make(map[int]batch.Progress),
		left:    len(job.Items) - len(job.Results),

		stopLoading: stopLoading,
	}
	for i := range added.items {
		added.tokens += job.Items[i].Tokens
		if job.Listed(i) {
			added.items[i].Listed()
		}
		if kept, found := job.Progress(i); found {
			added.kept[i] = kept
		}
	}
	r.jobs[job.ID] = added
	r.plan.AddJob(planned(&added.record))
	if len(added.kept) > 0 {
		r.restoring++
	}
	r.wait.Go(func() {
		r.load(loading, added)
		r.restored(added)
	})
}

// planned is what the plan is told of a job.
func planned(record *batch.JobRecord) batchplan.Job {
	lengths := make([]int, len(record.Items))
	for i := range record.Items {
		lengths[i] = record.Items[i].Length
	}
	return batchplan.Job{
		ID: record.ID, Model: record.Model, Priority: record.Priority, Step: record.Step, Lengths: lengths,
	}
}

// restored notes that a job is loaded, or will not be.
func (r *Runner) restored(job *openJob) {
	if len(job.kept) == 0 {
		return
	}
	r.mu.Lock()
	r.restoring--
	r.mu.Unlock()
	r.Wake()
}

// load reads what the engines are sent and queues the items.
func (r *Runner) load(ctx context.Context, job *openJob) {
	for ctx.Err() == nil {
		if r.awaitsRoute(&job.record) {
			retry.Sleep(ctx, loadDelay)
			continue
		}
		payloads, err := r.options.Jobs.Payloads(ctx, job.record)
		if err == nil && len(payloads) == len(job.items) {
			r.queueJob(job, payloads, r.loadKept(ctx, job))
			return
		}
		r.options.Logger.Warn().Err(err).Str("job", job.record.ID).Int("payloads", len(payloads)).
			Msg("payloads not read")
		retry.Sleep(ctx, loadDelay)
	}
}

// loadKept reads the output that other leaders left. What cannot be read is made
// again.
func (r *Runner) loadKept(ctx context.Context, job *openJob) map[int]batchitem.Output {
	if len(job.kept) == 0 {
		return nil
	}
	texts, err := r.options.Jobs.KeptTexts(ctx, job.record, job.kept)
	if err != nil {
		r.options.Logger.Warn().Err(err).Str("job", job.record.ID).Int("items", len(job.kept)).
			Int("read", len(texts)).Msg("kept progress not read")
	}
	found := make(map[int]batchitem.Output, len(texts))
	for item, text := range texts {
		kept := job.kept[item]
		found[item] = batchitem.Restore(batchitem.Kept{
			Chain: kept.Chain, Last: kept.To, Versions: kept.Versions, Text: text, Whole: kept.Whole,
		})
	}
	return found
}

func (r *Runner) queueJob(job *openJob, payloads []batch.Payload, kept map[int]batchitem.Output) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.jobs[job.record.ID] != job {
		return
	}
	job.payloads = payloads
	route, _ := r.options.RouteOf(job.record.Host, job.record.Path)
	job.single = route.SingleVersion
	queued, continued := 0, 0
	limits := job.limits()
	for i := range job.items {
		item := &job.items[i]
		if item.Ended() {
			continue
		}
		if left, found := kept[i]; found && left.Fits(limits) {
			item.Output = left
			continued++
		}
		r.takeCarried(job, i)
		if item.Output.IsWhole() {
			r.textWhole(job, i, "whole before")
			continue
		}
		r.queueItem(job, i, incarnation.ID{}, time.Time{})
		queued++
	}
	r.options.Logger.Info().Str("job", job.record.ID).Int64("step", job.record.Step).
		Str("model", job.record.Model).Int64("min_version", job.record.MinVersion).
		Int("items", len(job.items)).Int("queued", queued).Int("continued", continued).Msg("job taken up")
	r.Wake()
}

// queueItem puts an item into the plan; mu is held.
func (r *Runner) queueItem(job *openJob, index int, avoid incarnation.ID, notBefore time.Time) {
	route, found := r.options.RouteOf(job.record.Host, job.record.Path)
	if !found {
		r.expire(job, index, "no route")
		return
	}
	key := batchplan.Key{Job: job.record.ID, Item: index}
	standing := r.options.Guard.Standing(job.call(index).fingerprint)
	if r.quarantine(job, key, standing) {
		return
	}
	record, state := job.record.Items[index], &job.items[index]
	versions := state.Output.Versions()
	if route.SingleVersion && len(versions) > 1 {
		state.Output = batchitem.Output{}
	}
	item := batchplan.Item{
		Key:     key,
		Service: route.Service, Model: job.record.Model, MinVersion: job.record.MinVersion,
		Group: record.Group, Length: record.Length, Tokens: expectedTokens(record), NotBefore: notBefore, Avoid: avoid,
		Suspect: standing.ItemSuspect(),
	}
	if route.SingleVersion && len(versions) == 1 {
		item.SameVersion = versions[0]
	}
	r.plan.Add(item)
}

// expectedTokens is the memory that an item will take at an engine: its prompt
// and its expected output, half of the most where none is told.
func expectedTokens(record batch.ItemRecord) int {
	most := max(record.Tokens-record.Prompt, 0)
	if record.Length == 0 {
		return record.Prompt + most/2
	}
	return record.Prompt + min(record.Length, most)
}

// ItemListed implements batch.Observer.
func (r *Runner) ItemListed(job *batch.Job, item int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, found := r.jobs[job.ID]
	if !found {
		r.otherListed(job.ID, item)
		return
	}
	r.drop(known, item)
	known.items[item].Listed()
	known.left--
	if known.left <= 0 {
		r.forget(known)
	}
}

// JobEnded implements batch.Observer.
func (r *Runner) JobEnded(job *batch.Job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.others, job.ID)
	known, found := r.jobs[job.ID]
	if !found {
		return
	}
	stopped := 0
	r.carry(known)
	for i := range known.items {
		if !known.items[i].Ended() {
			stopped++
			r.drop(known, i)
		}
	}
	r.forget(known)
	r.options.Logger.Info().Str("job", job.ID).Int64("step", known.record.Step).
		Dur("after_ms", time.Since(known.addedAt)).Int("unfinished", stopped).Msg("job ended")
}

// drop takes an item out of the plan and ends its run or scoring call; mu is held.
func (r *Runner) drop(job *openJob, index int) {
	key := batchplan.Key{Job: job.record.ID, Item: index}
	job.items[index].Drop()
	r.plan.Remove(key)
	delete(r.quarantined, key)
	delete(r.crowdedEnds, key)
	r.stopWork(key)
}

// forget drops a job; mu is held.
func (r *Runner) forget(job *openJob) {
	job.stopLoading()
	delete(r.jobs, job.record.ID)
	r.plan.ForgetJob(job.record.ID)
}
