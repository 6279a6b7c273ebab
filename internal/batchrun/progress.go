package batchrun

import (
	"context"
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/corkpulley/corkpulley/internal/batchjobs"
	"github.com/corkpulley/corkpulley/internal/core/batch"
	"github.com/corkpulley/corkpulley/internal/core/batchitem"
	"github.com/corkpulley/corkpulley/internal/core/batchplan"
)

const (
	// saveInterval is the time between two writes of the progress of running items.
	saveInterval = 500 * time.Millisecond
	// minSaveAge is the minimum age of runs whose progress is saved: shorter runs usually finish first.
	minSaveAge = 400 * time.Millisecond
	// saveTimeout bounds one write, finalSaveTimeout the last one of a term.
	saveTimeout      = 1500 * time.Millisecond
	finalSaveTimeout = 500 * time.Millisecond
	// carryOverRetention is how long unused output of an ended job is kept for a later job.
	carryOverRetention = 20 * time.Second
)

// saveLoop periodically writes the progress of running items, so that the next leader can continue them.
func (r *Runner) saveLoop(ctx context.Context) {
	ticker := time.NewTicker(saveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			finalContext, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalSaveTimeout)
			defer cancel()
			r.saveProgress(finalContext, 0)
			return
		case <-ticker.C:
		}
		saveContext, cancel := context.WithTimeout(ctx, saveTimeout)
		r.saveProgress(saveContext, minSaveAge)
		cancel()
	}
}

// pendingSave is a part of an item's output that is being written.
type pendingSave struct {
	key  batchplan.Key
	part batchitem.Part
}

// saveProgress writes the output that has not been saved yet, of items that have run for at least minAge.
func (r *Runner) saveProgress(ctx context.Context, minAge time.Duration) {
	writes, pending := r.unsavedProgress(minAge)
	var group errgroup.Group
	for partition, progress := range writes {
		group.Go(func() error {
			written, err := r.options.Jobs.SaveProgress(ctx, partition, progress)
			if err != nil {
				r.options.Logger.Warn().Err(err).Int("partition", partition).Int("items", len(progress)-written).
					Msg("failed to save progress")
			}
			r.markSaved(pending[partition][:written])
			return nil
		})
	}
	_ = group.Wait()
}

// unsavedProgress returns the output to write by partition.
func (r *Runner) unsavedProgress(minAge time.Duration) (map[int][]batchjobs.ItemProgress, map[int][]pendingSave) {
	r.mu.Lock()
	defer r.mu.Unlock()
	writes := make(map[int][]batchjobs.ItemProgress)
	pending := make(map[int][]pendingSave)
	now := time.Now()
	for _, job := range r.jobs {
		partition := r.options.Jobs.PartitionOf(job.record.ID)
		for index := range job.items {
			progress, save, found := r.unsavedItemProgress(job, index, now, minAge)
			if found {
				writes[partition] = append(writes[partition], progress)
				pending[partition] = append(pending[partition], save)
			}
		}
	}
	return writes, pending
}

// unsavedItemProgress returns the output of an item that has not been saved yet, unless the item has run for less
// than minAge. Must be called with mu held.
func (r *Runner) unsavedItemProgress(
	job *openJob, index int, now time.Time, minAge time.Duration,
) (batchjobs.ItemProgress, pendingSave, bool) {
	item := &job.items[index]
	if item.Ended() || !item.Output.HasUnsaved() {
		return batchjobs.ItemProgress{}, pendingSave{}, false
	}
	key := batchplan.Key{Job: job.record.ID, Item: index}
	if since, busy := r.workingSince(key); busy && now.Sub(since) < minAge {
		return batchjobs.ItemProgress{}, pendingSave{}, false
	}
	part := item.Output.NextPart(r.newChainID)
	record := batch.ProgressRecord{
		Job: key.Job, Item: index, Chain: part.Chain, Continues: part.Continues,
		From: part.From, To: part.To, Versions: part.Versions, Complete: part.Complete,
	}
	return batchjobs.ItemProgress{Homes: job.record.Homes, Record: record, Text: part.Text}, pendingSave{key, part}, true
}

// workingSince returns the time at which an item started to run or to wait for its score. Must be called with mu held.
func (r *Runner) workingSince(key batchplan.Key) (time.Time, bool) {
	if running, runs := r.runs[key]; runs {
		return running.started, true
	}
	return r.scoring.since(key)
}

// newChainID returns an ID for a chain of progress records that is unique across terms. Must be called with mu
// held.
func (r *Runner) newChainID() string {
	r.chainCount++
	return r.options.Term + "." + strconv.Itoa(r.chainCount)
}

// markSaved records that the parts have been written to the log.
func (r *Runner) markSaved(pending []pendingSave) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, save := range pending {
		job := r.jobs[save.key.Job]
		if job == nil {
			continue
		}
		job.items[save.key.Item].Output.MarkSaved(save.part)
	}
}

// carriedOutput is the output of an item whose job ended without using it. A later job may contain the item's
// group again.
type carriedOutput struct {
	output batchitem.Output
	at     time.Time
}

// carryOver keeps the output of an ended job's incomplete groups for later jobs. Must be called with mu held.
func (r *Runner) carryOver(job *openJob) {
	incomplete := make(map[string]bool)
	for i := range job.items {
		if !job.items[i].Completed() {
			incomplete[job.record.Items[i].Group] = true
		}
	}
	now := time.Now()
	for i := range job.items {
		state, record := &job.items[i], job.record.Items[i]
		if incomplete[record.Group] && !state.Output.Empty() {
			r.carriedOver[batch.QualifiedID(job.record.Tenant, record.ID)] = carriedOutput{
				output: state.Output.Detached(), at: now,
			}
		}
	}
	for id, carried := range r.carriedOver {
		if now.Sub(carried.at) > carryOverRetention {
			delete(r.carriedOver, id)
		}
	}
}

// reuseCarriedOver gives an item of a new job the output left by an earlier job, if its weight versions are
// allowed. Must be called with mu held.
func (r *Runner) reuseCarriedOver(job *openJob, index int) {
	record, item := job.record.Items[index], &job.items[index]
	id := batch.QualifiedID(job.record.Tenant, record.ID)
	carried, found := r.carriedOver[id]
	if !found {
		return
	}
	delete(r.carriedOver, id)
	if item.Output.Empty() && carried.output.Satisfies(job.limits()) {
		item.Output = carried.output
	}
}
