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

// delayedLog is a log that can delay the responses to index reads.
type delayedLog struct {
	*memlog.Log
	mu    sync.Mutex
	delay time.Duration
	// answered counts the index reads since the last call of setDelay.
	answered int
}

func (l *delayedLog) setDelay(delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay, l.answered = delay, 0
}

func (l *delayedLog) answeredReads() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.answered
}

func (l *delayedLog) Read(
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

// Guards against a delayed read response that is taken as current, which hides a result that has been in the
// log for more than a second.
func TestDelayedReadIsNotTakenAsCurrent(t *testing.T) {
	t.Parallel()
	log := memlog.New()
	slowLog := &delayedLog{Log: log}
	writer, reader := newService(log), newService(slowLog)
	startService(t, writer)
	job := submission("j1", "i1")
	assert.NilError(t, writer.Accept(t.Context(), job))
	startService(t, reader)
	_, err := reader.Results(t.Context(), "j1", 0, 0)
	assert.NilError(t, err)
	// The response to a read without new records takes this long.
	const delay = 1200 * time.Millisecond
	slowLog.setDelay(delay)
	for slowLog.answeredReads() == 0 {
		time.Sleep(time.Millisecond)
	}
	_, err = writer.Record(t.Context(), writer.PartitionOf("j1"), []ItemResult{
		{JobID: "j1", Item: 0, Outcome: batch.Completed, Text: []byte("text")},
	})
	assert.NilError(t, err)
	recorded := time.Now()
	time.Sleep(delay) // until the response arrives
	const margin = 500 * time.Millisecond
	for time.Since(recorded) < delay+margin {
		elapsed := time.Since(recorded)
		results, err := reader.Results(t.Context(), "j1", 0, 0)
		if err == nil {
			assert.Equal(t, len(results.Results), 1, "%s after the result was recorded", elapsed)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against "not found" for an existing job whose record was trimmed before this node started.
func TestTrimmedJobIsNotReportedAsNotFound(t *testing.T) {
	t.Parallel()
	log := memlog.New()
	first := newService(log)
	startService(t, first)
	assert.NilError(t, first.Accept(t.Context(), submission("j1", "i1")))
	_, err := first.Results(t.Context(), "j1", 0, 0)
	assert.NilError(t, err)
	index := eventlog.Partition{Topic: indexTopic, Number: first.PartitionOf("j1")}
	log.Trim(index, log.End(index))
	second := newService(log)
	startService(t, second)
	_, err = second.Results(t.Context(), "j1", 0, 0)
	var failure *errkind.Error
	assert.Assert(t, errors.As(err, &failure), "%v", err)
	assert.Assert(t, failure.Kind != errkind.NotFound, "the job is reported as not found: %v", failure)
}
