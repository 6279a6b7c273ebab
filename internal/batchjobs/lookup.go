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
	return batch.Job{}, errkind.New(errkind.NotFound, "no batch job %s", jobID)
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
