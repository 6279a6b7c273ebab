package batchjobs

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/batch"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/eventlog"
	"github.com/corkpulley/corkpulley/internal/standin/memlog"
	"github.com/corkpulley/corkpulley/internal/testwait"
)

// countingLog counts reads of the index and of data, and the requested bytes of data.
type countingLog struct {
	*memlog.Log
	indexReads atomic.Int64
	dataReads  atomic.Int64
	dataBytes  atomic.Int64
}

func (l *countingLog) Read(
	ctx context.Context, partition eventlog.Partition, from int64, limit int, wait time.Duration,
) (eventlog.Batch, error) {
	switch partition.Topic {
	case indexTopic:
		l.indexReads.Add(1)
	case dataTopic:
		l.dataReads.Add(1)
		l.dataBytes.Add(int64(limit))
	}
	return l.Log.Read(ctx, partition, from, limit, wait)
}

func newService(log eventlog.Log) *Service {
	return New(log, Options{
		Partitions: 2, MaxRecordBytes: 4096, MaxAppendBytes: 8192, JobRetention: time.Minute, Logger: zerolog.Nop(),
	})
}

// startService runs the service until the end of the test.
func startService(t *testing.T, service *Service) {
	t.Helper()
	done := make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		defer close(done)
		_ = service.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

func submission(id string, items ...string) Submission {
	s := Submission{Job: batch.JobRecord{ID: id, Model: "m"}}
	for _, item := range items {
		s.Job.Items = append(s.Job.Items, batch.ItemRecord{ID: item})
		s.Payloads = append(s.Payloads, batch.Payload{Path: "/" + item, Body: []byte("body of " + item)})
	}
	return s
}

func finished(job string, item int, text string) []ItemResult {
	return []ItemResult{{JobID: job, Item: item, Outcome: batch.Completed, Text: []byte(text), Versions: []int64{1}}}
}

func record(t *testing.T, service *Service, items []ItemResult) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	recorded, err := service.Record(ctx, service.PartitionOf("j"), items)
	assert.NilError(t, err)
	assert.Equal(t, recorded, len(items))
}

// Guards against a node that answers from outdated state while it reads the partition at the idle rate.
func TestJobIsReadableOnOtherNode(t *testing.T) {
	log := memlog.New()
	one, other := newService(log), newService(log)
	startService(t, other)
	ctx := t.Context()
	assert.NilError(t, one.Accept(ctx, submission("j", "a", "b")))
	body, err := other.Body(ctx, "j", "b")
	assert.NilError(t, err)
	assert.Equal(t, string(body), "body of b")
	record(t, one, finished("j", 1, "text of b"))
	results, err := other.Results(ctx, "j", 0, 5*time.Second)
	assert.NilError(t, err)
	assert.Equal(t, results.Total, 2)
	assert.Equal(t, len(results.Results), 1)
	assert.Equal(t, string(results.Results[0].Text), "text of b")
}

func TestUnknownJobIsNotFoundOnlyAfterReadToEnd(t *testing.T) {
	log := memlog.New()
	service := newService(log)
	startService(t, service)
	_, err := service.Results(t.Context(), "none", 0, 0)
	assert.Equal(t, errkind.KindOf(err), errkind.NotFound)
	log.SetFault(func(memlog.Call) memlog.Fault { return memlog.Refused })
	_, err = service.Results(t.Context(), "none", 0, 0)
	assert.Equal(t, errkind.KindOf(err), errkind.LogUnavailable)
}

// A job that is submitted twice is accepted once, and the first result of an item counts.
func TestRepeatedRecordsAreIdempotent(t *testing.T) {
	log := memlog.New()
	one, other := newService(log), newService(log)
	ctx := t.Context()
	assert.NilError(t, one.Accept(ctx, submission("j", "a")))
	assert.NilError(t, other.Accept(ctx, submission("j", "a")))
	record(t, one, finished("j", 0, "first"))
	record(t, other, finished("j", 0, "second"))
	for _, service := range []*Service{one, other} {
		results, err := service.Results(ctx, "j", 0, 0)
		assert.NilError(t, err)
		assert.Equal(t, len(results.Results), 1)
		assert.Equal(t, string(results.Results[0].Text), "first")
	}
}

// Guards against an error that claims "not executed" although the index append may have taken effect.
func TestAcceptErrorKindByAppendFault(t *testing.T) {
	for name, each := range map[string]struct {
		fault memlog.Fault
		kind  errkind.Kind
	}{
		"refused":     {memlog.Refused, errkind.LogUnavailable},
		"lost answer": {memlog.LostResponse, errkind.OutcomeUnknownRepeatable},
		"late effect": {memlog.DelayedEffect, errkind.OutcomeUnknownRepeatable},
	} {
		t.Run(name, func(t *testing.T) {
			log := memlog.New()
			log.SetFault(func(call memlog.Call) memlog.Fault {
				if call.Append && call.Partition.Topic == indexTopic {
					return each.fault
				}
				return memlog.None
			})
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			err := newService(log).Accept(ctx, submission("j", "a"))
			assert.Equal(t, errkind.KindOf(err), each.kind, "%v", err)
		})
	}
}

func TestResultTextSpanningSeveralRecords(t *testing.T) {
	log := memlog.New()
	service := newService(log)
	ctx := t.Context()
	assert.NilError(t, service.Accept(ctx, submission("j", "a")))
	text := make([]byte, 3*4096+17)
	for i := range text {
		text[i] = byte('a' + i%26)
	}
	record(t, service, finished("j", 0, string(text)))
	results, err := service.Results(ctx, "j", 0, 0)
	assert.NilError(t, err)
	assert.Equal(t, string(results.Results[0].Text), string(text))
}

// Guards against index reads by nodes that serve live requests only.
func TestPartitionIsNotReadBeforeFirstQuery(t *testing.T) {
	log := &countingLog{Log: memlog.New()}
	assert.NilError(t, newService(log.Log).Accept(t.Context(), submission("j", "a")))
	service := newService(log)
	startService(t, service)
	time.Sleep(50 * time.Millisecond) // enough for a first read
	assert.Equal(t, log.indexReads.Load(), int64(0))
	results, err := service.Results(t.Context(), "j", 0, 0)
	assert.NilError(t, err)
	assert.Equal(t, results.Total, 1)
}

// observer records its notifications.
type observer struct {
	mu    sync.Mutex
	added []string
	ended []string
}

func (o *observer) JobAdded(job *batch.Job) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.added = append(o.added, job.ID)
}

func (o *observer) ResultAdded(*batch.Job, int) {}

func (o *observer) JobEnded(job *batch.Job) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ended = append(o.ended, job.ID)
}

func (o *observer) hasSeen(added, ended int) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.added) >= added && len(o.ended) >= ended
}

// Guards against notifying a new leader of ended jobs while it reads the index from the start.
func TestObserverIsNotifiedOfOpenJobsOnly(t *testing.T) {
	log := memlog.New()
	ctx, writer := t.Context(), newService(log)
	for _, job := range []string{"over-1", "over-2", "over-3", "over-4"} {
		assert.NilError(t, writer.Accept(ctx, submission(job, "a")))
		assert.NilError(t, writer.End(ctx, job))
	}
	assert.NilError(t, writer.Accept(ctx, submission("open", "a")))
	service, seen := newService(log), &observer{}
	startService(t, service)
	service.Observe(seen)
	testwait.Until(t, "the observer is notified of the open job", func() bool { return seen.hasSeen(1, 0) })
	assert.NilError(t, writer.Accept(ctx, submission("new", "a")))
	assert.NilError(t, writer.End(ctx, "open"))
	testwait.Until(t, "the observer is notified of the changes", func() bool { return seen.hasSeen(2, 1) })
	assert.DeepEqual(t, seen.added, []string{"open", "new"})
	assert.DeepEqual(t, seen.ended, []string{"open"})
}

// Without queries a node reads each partition once per idle period, regardless of the rate of new records.
func TestIdlePartitionReadRateIsBounded(t *testing.T) {
	log := &countingLog{Log: memlog.New()}
	idle := newService(log)
	startService(t, idle)
	for _, job := range []string{"a", "b", "c", "d", "e", "f"} { // covers all partitions
		_, err := idle.Results(t.Context(), job, 0, 0)
		assert.Equal(t, errkind.KindOf(err), errkind.NotFound)
	}
	began, before := time.Now(), log.indexReads.Load()
	for range 200 {
		assert.NilError(t, newService(log.Log).Accept(t.Context(), submission("j", "a")))
		time.Sleep(time.Millisecond) // long enough for a read of each record
	}
	reads := log.indexReads.Load() - before
	periods := int64(time.Since(began)/idleReadPeriod) + 2
	assert.Assert(t, reads <= periods*int64(idle.options.Partitions), "%d reads in %d periods", reads, periods)
}
