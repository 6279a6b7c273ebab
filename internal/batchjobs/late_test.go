package batchjobs

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/batch"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/eventlog"
	"github.com/corkpulley/corkpulley/internal/standin/memlog"
)

// lateLog is a log that can delay its answers to index reads.
type lateLog struct {
	*memlog.Log
	mu    sync.Mutex
	delay time.Duration
	// answered counts the delayed answers.
	answered int
}

func (l *lateLog) late(delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay, l.answered = delay, 0
}

func (l *lateLog) answers() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.answered
}

func (l *lateLog) Read(
	ctx context.Context, partition eventlog.Partition, from int64, limit int, wait time.Duration,
) (eventlog.Batch, error) {
	read, err := l.Log.Read(ctx, partition, from, limit, wait)
	if partition.Topic != indexTopic {
		return read, err
	}
	l.mu.Lock()
	delay := l.delay
	l.answered++
	l.mu.Unlock()
	time.Sleep(delay)
	return read, err
}

// TestAnOldAnswerIsNotThePresent: an answer without a new record may be in transit for more than
// a second, as through another node. A result that has been in the log for longer than that must
// be returned.
func TestAnOldAnswerIsNotThePresent(t *testing.T) {
	t.Parallel()
	log := memlog.New()
	link := &lateLog{Log: log}
	writer, reader := newService(log), newService(link)
	follow(t, writer)
	job := submission("j1", "i1")
	assert.NilError(t, writer.Accept(t.Context(), job))
	follow(t, reader)
	_, err := reader.Results(t.Context(), "j1", 0, 0)
	assert.NilError(t, err)
	// A read answers that there is nothing new, and its answer takes this long.
	const delay = 1200 * time.Millisecond
	link.late(delay)
	for link.answers() == 0 {
		time.Sleep(time.Millisecond)
	}
	_, err = writer.Record(t.Context(), writer.PartitionOf("j1"), []FinishedItem{
		{JobID: "j1", Item: 0, Outcome: batch.Completed, Text: []byte("text")},
	})
	assert.NilError(t, err)
	recorded := time.Now()
	time.Sleep(delay) // in which the answer arrives
	const settled = 500 * time.Millisecond
	for time.Since(recorded) < delay+settled {
		asked := time.Since(recorded)
		results, err := reader.Results(t.Context(), "j1", 0, 0)
		if err == nil {
			assert.Equal(t, len(results.Results), 1, "%s after the result was recorded", asked)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// TestAJobThatTheLogForgotIsNotDenied: a node that starts after the log has dropped the job's
// record cannot know that there is no such job.
func TestAJobThatTheLogForgotIsNotDenied(t *testing.T) {
	t.Parallel()
	log := memlog.New()
	first := newService(log)
	follow(t, first)
	assert.NilError(t, first.Accept(t.Context(), submission("j1", "i1")))
	_, err := first.Results(t.Context(), "j1", 0, 0)
	assert.NilError(t, err)
	index := eventlog.Partition{Topic: indexTopic, Number: first.PartitionOf("j1")}
	log.Trim(index, log.End(index))
	second := newService(log)
	follow(t, second)
	_, err = second.Results(t.Context(), "j1", 0, 0)
	var failure *errkind.Error
	assert.Assert(t, errors.As(err, &failure), "%v", err)
	assert.Assert(t, failure.Kind != errkind.NotFound, "the job is denied: %v", failure)
}
