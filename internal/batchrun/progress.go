package batchrun

import (
	"bytes"
	"context"
	"slices"
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/corkpulley/corkpulley/internal/batchjobs"
	"github.com/corkpulley/corkpulley/internal/core/batch"
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

// progress is what an item has of its output.
type progress struct {
	// events holds the data of events; that of several may stand in one, separated
	// by line feeds.
	events [][]byte
	// last is the number of the last event.
	last     int64
	versions []int64
	// whole is true once events are the whole output.
	whole bool

	// chain names this sequence of runs in the log, continues the one that it
	// took up there; both are empty until the first write.
	chain     string
	continues string
	// keptTo is the last event that is in the log, keptEvents counts events up to it.
	keptTo     int64
	keptEvents int
}

func (p *progress) add(event Event) {
	p.events = append(p.events, event.Data)
	p.last = event.Number
	if !slices.Contains(p.versions, event.Version) {
		p.versions = append(p.versions, event.Version)
	}
}

// text is the data of all events, separated by line feeds.
func (p *progress) text() []byte { return bytes.Join(p.events, []byte{'\n'}) }

// fits tells whether all versions are new enough for a job.
func (p *progress) fits(minVersion int64, single bool) bool {
	for _, version := range p.versions {
		if version < minVersion {
			return false
		}
	}
	return !single || len(p.versions) <= 1
}

// keptProgress is a progress as another leader left it in the log.
func keptProgress(kept batch.Progress, text []byte) progress {
	return progress{
		events: [][]byte{text}, last: kept.To, versions: slices.Clone(kept.Versions),
		continues: kept.Chain, keptTo: kept.To, keptEvents: 1,
	}
}

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
	key   batchplan.Key
	chain string
	to    int64
	count int
}

// keep writes what items that have run for at least minAge have beyond what is
// in the log.
func (r *Runner) keep(ctx context.Context, minAge time.Duration) {
	writes, marks := r.unkept(minAge)
	var group errgroup.Group
	for partition, running := range writes {
		group.Go(func() error {
			if err := r.options.Jobs.Keep(ctx, partition, running); err != nil {
				r.options.Logger.Warn().Err(err).Int("partition", partition).Int("items", len(running)).
					Msg("progress not kept")
				return nil
			}
			r.markKept(marks[partition])
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
	state := &job.items[index]
	p := &state.progress
	if state.done || p.last == p.keptTo {
		return batchjobs.RunningItem{}, kept{}, false
	}
	key := batchplan.Key{Job: job.record.ID, Item: index}
	if running, runs := r.runs[key]; runs && now.Sub(running.started) < minAge {
		return batchjobs.RunningItem{}, kept{}, false
	}
	if p.chain == "" {
		r.chains++
		p.chain = r.options.Term + "." + strconv.Itoa(r.chains)
	}
	record := batch.ProgressRecord{
		Job: key.Job, Item: index, Chain: p.chain, Continues: p.continues,
		From: p.keptTo, To: p.last, Versions: slices.Clone(p.versions),
	}
	running := batchjobs.RunningItem{Record: record, Text: bytes.Join(p.events[p.keptEvents:], []byte{'\n'})}
	return running, kept{key, p.chain, p.last, len(p.events)}, true
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
		p := &job.items[mark.key.Item].progress
		if p.chain == mark.chain {
			p.keptTo, p.keptEvents, p.continues = mark.to, mark.count, ""
		}
	}
}

// carried is the output of an item whose job ended without using it. Its group
// may come again in a later job.
type carried struct {
	progress progress
	at       time.Time
}

// carry keeps the output of the groups of an ended job that were not whole; mu
// is held.
func (r *Runner) carry(job *openJob) {
	broken := make(map[string]bool)
	for i := range job.items {
		if !job.items[i].completed {
			broken[job.record.Items[i].Group] = true
		}
	}
	now := time.Now()
	for i := range job.items {
		state, record := &job.items[i], job.record.Items[i]
		if broken[record.Group] && len(state.progress.events) > 0 {
			kept := state.progress
			kept.chain, kept.continues, kept.keptTo, kept.keptEvents = "", "", 0, 0
			r.carriedOver[record.ID] = carried{progress: kept, at: now}
		}
	}
	for id, each := range r.carriedOver {
		if now.Sub(each.at) > carryTime {
			delete(r.carriedOver, id)
		}
	}
}

// takeCarried gives an item of a new job the output that an earlier job left, if
// its versions fit. It reports whether the item is whole; mu is held.
func (r *Runner) takeCarried(job *openJob, index int, single bool) bool {
	record, state := job.record.Items[index], &job.items[index]
	left, found := r.carriedOver[record.ID]
	if !found {
		return false
	}
	delete(r.carriedOver, record.ID)
	if len(state.progress.events) > 0 || !left.progress.fits(job.record.MinVersion, single) {
		return false
	}
	state.progress = left.progress
	return left.progress.whole
}
