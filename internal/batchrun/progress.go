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
	// keepPeriod is the time between two writes of what running items have.
	keepPeriod = 500 * time.Millisecond
	// keepAge spares items that will have ended before a write is of use.
	keepAge = 400 * time.Millisecond
	// keepTimeout bounds one write, finalKeepTimeout the one at the end of a term.
	keepTimeout      = 1500 * time.Millisecond
	finalKeepTimeout = 500 * time.Millisecond
	// carryTime is how long the text of an item that its job did not use is kept
	// for a later job.
	carryTime = 20 * time.Second
)

// keepLoop writes what running items have, for the next leader.
func (r *Runner) keepLoop(ctx context.Context) {
	ticker := time.NewTicker(keepPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			final, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalKeepTimeout)
			defer cancel()
			r.keep(final, 0)
			return
		case <-ticker.C:
		}
		writing, cancel := context.WithTimeout(ctx, keepTimeout)
		r.keep(writing, keepAge)
		cancel()
	}
}

// kept is a part of a progress that is being written.
type kept struct {
	key  batchplan.Key
	part batchitem.Part
}

// keep writes what items that have run for at least minAge have beyond what is
// in the log.
func (r *Runner) keep(ctx context.Context, minAge time.Duration) {
	writes, marks := r.unkept(minAge)
	var group errgroup.Group
	for partition, running := range writes {
		group.Go(func() error {
			written, err := r.options.Jobs.Keep(ctx, partition, running)
			if err != nil {
				r.options.Logger.Warn().Err(err).Int("partition", partition).Int("items", len(running)-written).
					Msg("progress not kept")
			}
			r.markKept(marks[partition][:written])
			return nil
		})
	}
	_ = group.Wait()
}

// unkept collects by partition what is to be written.
func (r *Runner) unkept(minAge time.Duration) (map[int][]batchjobs.RunningItem, map[int][]kept) {
	r.mu.Lock()
	defer r.mu.Unlock()
	writes := make(map[int][]batchjobs.RunningItem)
	marks := make(map[int][]kept)
	now := time.Now()
	for _, job := range r.jobs {
		partition := r.options.Jobs.PartitionOf(job.record.ID)
		for index := range job.items {
			running, mark, found := r.unkeptItem(job, index, now, minAge)
			if found {
				writes[partition] = append(writes[partition], running)
				marks[partition] = append(marks[partition], mark)
			}
		}
	}
	return writes, marks
}

// unkeptItem returns what an item has beyond what is in the log, unless it runs
// and has not run for minAge; mu is held.
func (r *Runner) unkeptItem(
	job *openJob, index int, now time.Time, minAge time.Duration,
) (batchjobs.RunningItem, kept, bool) {
	item := &job.items[index]
	if item.Ended() || !item.Output.Unkept() {
		return batchjobs.RunningItem{}, kept{}, false
	}
	key := batchplan.Key{Job: job.record.ID, Item: index}
	if since, busy := r.workingSince(key); busy && now.Sub(since) < minAge {
		return batchjobs.RunningItem{}, kept{}, false
	}
	part := item.Output.NextPart(r.newChain)
	record := batch.ProgressRecord{
		Job: key.Job, Item: index, Chain: part.Chain, Continues: part.Continues,
		From: part.From, To: part.To, Versions: part.Versions, Whole: part.Whole,
	}
	return batchjobs.RunningItem{Homes: job.record.Homes, Record: record, Text: part.Text}, kept{key, part}, true
}

// workingSince tells since when an item runs or waits for its score; mu is held.
func (r *Runner) workingSince(key batchplan.Key) (time.Time, bool) {
	if running, runs := r.runs[key]; runs {
		return running.started, true
	}
	return r.scoring.since(key)
}

// newChain names a chain of this term; mu is held.
func (r *Runner) newChain() string {
	r.chains++
	return r.options.Term + "." + strconv.Itoa(r.chains)
}

// markKept notes what is in the log now.
func (r *Runner) markKept(marks []kept) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, mark := range marks {
		job := r.jobs[mark.key.Job]
		if job == nil {
			continue
		}
		job.items[mark.key.Item].Output.MarkKept(mark.part)
	}
}

// carried is the output of an item whose job ended without using it. Its group
// may come again in a later job.
type carried struct {
	output batchitem.Output
	at     time.Time
}

// carry keeps the output of the groups of an ended job that were not whole; mu
// is held.
func (r *Runner) carry(job *openJob) {
	broken := make(map[string]bool)
	for i := range job.items {
		if !job.items[i].Completed() {
			broken[job.record.Items[i].Group] = true
		}
	}
	now := time.Now()
	for i := range job.items {
		state, record := &job.items[i], job.record.Items[i]
		if broken[record.Group] && !state.Output.Empty() {
			r.carriedOver[batch.QualifiedID(job.record.Tenant, record.ID)] = carried{output: state.Output.Detached(), at: now}
		}
	}
	for id, each := range r.carriedOver {
		if now.Sub(each.at) > carryTime {
			delete(r.carriedOver, id)
		}
	}
}

// takeCarried gives an item of a new job the output that an earlier job left, if
// its versions fit; mu is held.
func (r *Runner) takeCarried(job *openJob, index int) {
	record, item := job.record.Items[index], &job.items[index]
	id := batch.QualifiedID(job.record.Tenant, record.ID)
	left, found := r.carriedOver[id]
	if !found {
		return
	}
	delete(r.carriedOver, id)
	if item.Output.Empty() && left.output.Fits(job.limits()) {
		item.Output = left.output
	}
}
