package batchjobs

import (
	"context"
	"time"

	"github.com/corkpulley/corkpulley/internal/common/boottime"
	"github.com/corkpulley/corkpulley/internal/core/batch"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
)

// isKnown reports whether the job is known, without reading the log.
func (p *partition) isKnown(jobID string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Job(jobID) != nil
}

// lookUp returns a copy of the job as of the call. It first reads to the end of the log, unless the job is
// known and the last such read is at most maxStaleness old.
func (p *partition) lookUp(ctx context.Context, jobID string) (batch.Job, error) {
	calledAt := boottime.Now()
	p.activate()
	if job, found := p.snapshot(jobID, calledAt.Add(-maxStaleness)); found {
		return job, nil
	}
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	for !p.isCurrentSince(calledAt) {
		if _, err := p.read(ctx, 0); err != nil {
			return batch.Job{}, unavailable(err)
		}
		if ctx.Err() != nil {
			return batch.Job{}, unavailable(ctx.Err())
		}
	}
	if job, found := p.snapshot(jobID, calledAt); found {
		return job, nil
	}
	if p.mayHaveMissed(calledAt) {
		return batch.Job{}, errkind.New(errkind.HistoryLost,
			"batch job %s not found, its records may have been trimmed from the log", jobID)
	}
	return batch.Job{}, errkind.New(errkind.NotFound, "batch job %s not found", jobID)
}

// lookUpComplete is lookUp for result queries: it fails unless every result and its position are known.
func (p *partition) lookUpComplete(ctx context.Context, jobID string) (batch.Job, error) {
	job, err := p.lookUp(ctx, jobID)
	if err == nil && job.Incomplete {
		return batch.Job{}, errkind.New(errkind.HistoryLost,
			"results of batch job %s may have been trimmed from the log", jobID)
	}
	return job, err
}

// mayHaveMissed reports whether the log may have trimmed records of a job within its retention period before
// this node read them.
func (p *partition) mayHaveMissed(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.historyLostAt.IsZero() && now.Sub(p.historyLostAt) < p.jobRetention
}

// activate starts the reads of the partition.
func (p *partition) activate() {
	p.activateOnce.Do(func() { close(p.active) })
}

// isCurrentSince reports whether the state is complete as of the given time.
func (p *partition) isCurrentSince(since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.readAt.Before(since)
}

// snapshot returns a copy of a known job, if the state is complete as of readAfter.
func (p *partition) snapshot(jobID string, readAfter time.Time) (batch.Job, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	job := p.state.Job(jobID)
	if job == nil || p.readAt.Before(readAfter) {
		return batch.Job{}, false
	}
	return *job, true
}

// awaitResults blocks until a query for results from the given position on should be answered, or until wait
// has elapsed.
func (p *partition) awaitResults(ctx context.Context, jobID string, position int, wait time.Duration) {
	p.addWaiters(1)
	defer p.addWaiters(-1)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		p.mu.Lock()
		job, changed := p.state.Job(jobID), p.changed
		done := job == nil || shouldAnswer(job, position)
		p.mu.Unlock()
		if done {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-changed:
		}
	}
}

func (p *partition) earlierJobs(job *batch.JobRecord) []batch.EarlierJob {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.EarlierJobs(job)
}
