package batchjobs

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/common/boottime"
	"github.com/corkpulley/corkpulley/internal/core/batch"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/eventlog"
	"github.com/corkpulley/corkpulley/internal/standin/memlog"
)

// gatedLog is a log whose index reads block while the gate is locked.
type gatedLog struct {
	*memlog.Log
	gate sync.Mutex
}

func (l *gatedLog) awaitGate() {
	l.gate.Lock()
	defer l.gate.Unlock()
}

func (l *gatedLog) Read(
	ctx context.Context, partition eventlog.Partition, from int64, limit int, wait time.Duration,
) (eventlog.Batch, error) {
	if partition.Topic == indexTopic {
		l.awaitGate()
	}
	return l.Log.Read(ctx, partition, from, limit, wait)
}

// Guards against another result at a known position after the log trimmed the record of the first result
// before this node read it. An error is allowed.
func TestResultPositionIsStableAfterLogTrim(t *testing.T) {
	t.Parallel()
	log := memlog.New()
	slowLog := &gatedLog{Log: log}
	writer, reader := newService(log), newService(slowLog)
	startService(t, writer)
	startService(t, reader)
	assert.NilError(t, writer.Accept(t.Context(), submission("j1", "i1", "i2")))
	_, err := reader.Results(t.Context(), "j1", 0, 0)
	assert.NilError(t, err)
	number := writer.PartitionOf("j1")
	record := func(item int) {
		_, err := writer.Record(t.Context(), number, []ItemResult{
			{JobID: "j1", Item: item, Outcome: batch.Completed, Text: []byte("text")},
		})
		assert.NilError(t, err)
	}
	slowLog.gate.Lock()
	record(0)
	known, err := writer.Results(t.Context(), "j1", 0, time.Second)
	assert.NilError(t, err)
	assert.Equal(t, known.Results[0].ItemID, "i1")
	index := eventlog.Partition{Topic: indexTopic, Number: number}
	log.Trim(index, log.End(index))
	record(1)
	slowLog.gate.Unlock()
	for began := time.Now(); time.Since(began) < 2*idleReadPeriod; time.Sleep(10 * time.Millisecond) {
		results, err := reader.Results(t.Context(), "j1", 0, 0)
		if err == nil && len(results.Results) > 0 {
			assert.Equal(t, results.Results[0].ItemID, "i1", "another result at position 0")
		}
	}
}

// trimIndex trims the index partition of a job. This leaves a gap for services that have not read it: records that
// were trimmed before they were read.
func trimIndex(log *memlog.Log, service *Service, jobID string) {
	index := eventlog.Partition{Topic: indexTopic, Number: service.PartitionOf(jobID)}
	log.Trim(index, log.End(index))
}

func TestUnknownJobAfterGapIsNotFoundOnceRetentionHasPassed(t *testing.T) {
	t.Parallel()
	log := memlog.New()
	assert.NilError(t, newService(log).Accept(t.Context(), submission("j", "a")))
	service := newService(log)
	trimIndex(log, service, "j")
	startService(t, service)
	assert.Equal(t, errkind.KindOf(service.End(t.Context(), "j")), errkind.HistoryLost)
	target := service.partitionOf("j")
	target.mu.Lock()
	target.historyLostAt = boottime.Now().Add(-service.options.JobRetention)
	target.mu.Unlock()
	assert.Equal(t, errkind.KindOf(service.End(t.Context(), "j")), errkind.NotFound)
}

// Guards against a cluster that serves no jobs after all nodes restarted and found trimmed records.
func TestNewJobAfterGapIsServed(t *testing.T) {
	t.Parallel()
	log := memlog.New()
	assert.NilError(t, newService(log).Accept(t.Context(), submission("old", "a")))
	service := newService(log)
	trimIndex(log, service, "old")
	startService(t, service)
	assert.NilError(t, service.Accept(t.Context(), submission("j", "a")))
	record(t, service, finished("j", 0, "text"))
	results, err := service.Results(t.Context(), "j", 0, 5*time.Second)
	assert.NilError(t, err)
	assert.Equal(t, string(results.Results[0].Text), "text")
}

// A gap makes only the positions of a known job's results uncertain.
func TestKnownJobAcrossGapCanBeEndedAndItsBodiesRead(t *testing.T) {
	t.Parallel()
	log := memlog.New()
	service, other := newService(log), newService(log)
	startService(t, service)
	assert.NilError(t, service.Accept(t.Context(), submission("j", "a", "b")))
	record(t, service, finished("j", 0, "text"))
	_, err := service.Results(t.Context(), "j", 0, 0)
	assert.NilError(t, err)
	target := service.partitionOf("j")
	target.skipTo(log.End(target.index))
	_, err = service.Results(t.Context(), "j", 0, 0)
	assert.Equal(t, errkind.KindOf(err), errkind.HistoryLost)
	body, err := service.Body(t.Context(), "j", "b")
	assert.NilError(t, err)
	assert.Equal(t, string(body), "body of b")
	assert.NilError(t, service.End(t.Context(), "j"))
	known, err := other.partitionOf("j").lookUp(t.Context(), "j")
	assert.NilError(t, err)
	assert.Assert(t, known.Ended)
}

// A job whose results are all known before the gap cannot have missed any.
func TestCompleteJobAcrossGapIsReadable(t *testing.T) {
	t.Parallel()
	log := memlog.New()
	service := newService(log)
	startService(t, service)
	assert.NilError(t, service.Accept(t.Context(), submission("j", "a")))
	record(t, service, finished("j", 0, "text"))
	_, err := service.Results(t.Context(), "j", 0, 0)
	assert.NilError(t, err)
	target := service.partitionOf("j")
	target.skipTo(log.End(target.index))
	results, err := service.Results(t.Context(), "j", 0, 0)
	assert.NilError(t, err)
	assert.Equal(t, string(results.Results[0].Text), "text")
}
