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

// lookUp returns a copy of the job as of the call. It first reads to the end of the
// log, unless the job is known and the last such read is within freshness.
func (p *partition) lookUp(ctx context.Context, jobID string) (batch.Job, error) {
	calledAt := boottime.Now()
	p.activate()
	if job, found := p.snapshot(jobID, calledAt.Add(-freshness)); found {
		return job, nil
	}
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	for !p.readSince(calledAt) {
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
		return batch.Job{}, errkind.New(errkind.HistoryLost, "the log may have dropped batch job %s", jobID)
	}
	return batch.Job{}, errkind.New(errkind.NotFound, "no batch job %s", jobID)
}

// lookUpComplete is lookUp for queries of results: it fails unless every result and its position is known.
func (p *partition) lookUpComplete(ctx context.Context, jobID string) (batch.Job, error) {
	job, err := p.lookUp(ctx, jobID)
	if err == nil && job.Incomplete {
		return batch.Job{}, errkind.New(errkind.HistoryLost, "the log may have dropped results of batch job %s", jobID)
	}
	return job, err
}

// mayHaveMissed reports whether records of a job that is still within KeepJobs may have been dropped by
// the log before this node read them.
func (p *partition) mayHaveMissed(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.lostAt.IsZero() && now.Sub(p.lostAt) < p.keepJobs
}

// activate starts reading the partition.
func (p *partition) activate() {
	p.activateOnce.Do(func() { close(p.activated) })
}

func (p *partition) readSince(since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.readAt.Before(since)
}

func (p *partition) snapshot(jobID string, readAfter time.Time) (batch.Job, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	job := p.state.Job(jobID)
	if job == nil || p.readAt.Before(readAfter) {
		return batch.Job{}, false
	}
	return *job, true
}

// awaitResults blocks until a query for the positions from the given one on should
// be answered, or the wait is over.
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

func (p *partition) earlier(than *batch.JobRecord) []batch.EarlierJob {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Earlier(than)
}
