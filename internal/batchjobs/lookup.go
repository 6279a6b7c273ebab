package batchjobs

import (
	"context"
	"time"

	"github.com/corkpulley/corkpulley/internal/common/boottime"
	"github.com/corkpulley/corkpulley/internal/core/batch"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
)

// has tells whether the job is known without asking the log.
func (p *partition) has(jobID string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Job(jobID) != nil
}

// lookUp returns a copy of the job as of now: its results cannot change under
// the reader. It reads to the end of the log first, unless that was done just
// now and the job is known.
func (p *partition) lookUp(ctx context.Context, jobID string) (batch.Job, error) {
	asked := boottime.Now()
	p.follow()
	if job, found := p.snapshot(jobID, asked.Add(-freshness)); found {
		return job, nil
	}
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	for !p.readSince(asked) {
		if _, err := p.read(ctx, 0); err != nil {
			return batch.Job{}, unavailable(err)
		}
		if ctx.Err() != nil {
			return batch.Job{}, unavailable(ctx.Err())
		}
	}
	if job, found := p.snapshot(jobID, asked); found {
		return job, nil
	}
	if p.mayHaveMissed(asked) {
		return batch.Job{}, errkind.New(errkind.HistoryLost, "the log may have dropped batch job %s", jobID)
	}
	return batch.Job{}, errkind.New(errkind.NotFound, "no batch job %s", jobID)
}

// lookUpWhole is lookUp for whoever tells results: all of the job's must be known, in their places.
func (p *partition) lookUpWhole(ctx context.Context, jobID string) (batch.Job, error) {
	job, err := p.lookUp(ctx, jobID)
	if err == nil && job.Incomplete {
		return batch.Job{}, errkind.New(errkind.HistoryLost, "the log may have dropped results of batch job %s", jobID)
	}
	return job, err
}

// mayHaveMissed tells whether a job that may be asked for may stand in records that the log dropped
// before they were read here. A job that was handed in before that need not be known any more once
// KeepJobs has passed.
func (p *partition) mayHaveMissed(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.lostAt.IsZero() && now.Sub(p.lostAt) < p.keepJobs
}

// follow has the partition read from now on.
func (p *partition) follow() {
	p.asked.Do(func() { close(p.interest) })
}

func (p *partition) readSince(asked time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.readAt.Before(asked)
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

// awaitResults waits until a reader of the positions from the given one on should
// be answered, or the time is over.
func (p *partition) awaitResults(ctx context.Context, jobID string, position int, wait time.Duration) {
	p.wait(1)
	defer p.wait(-1)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		p.mu.Lock()
		job, changed := p.state.Job(jobID), p.changed
		done := job == nil || worthTelling(job, position)
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
