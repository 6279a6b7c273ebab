package batchjobs

import (
	"bytes"
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/eventlog"
	"github.com/corkpulley/corkpulley/internal/standin/memlog"
	"github.com/corkpulley/corkpulley/internal/testwait"
)

// recordingLog records all bytes that are read from it.
type recordingLog struct {
	*memlog.Log
	mu   sync.Mutex
	read []byte
}

func (l *recordingLog) Read(
	ctx context.Context, partition eventlog.Partition, from int64, limit int, wait time.Duration,
) (eventlog.Batch, error) {
	read, err := l.Log.Read(ctx, partition, from, limit, wait)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, record := range read.Records {
		l.read = append(l.read, record...)
	}
	return read, err
}

func (l *recordingLog) hasRead(text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return bytes.Contains(l.read, []byte(text))
}

// Guards against data of a bound job that leaves its homes: a log read also returns adjacent records, so jobs
// with different homes must not share a topic.
func TestReadsReturnNoRecordsOfJobsWithOtherHomes(t *testing.T) {
	log := &recordingLog{Log: memlog.New()}
	service := newService(log)
	startService(t, service)
	bound := submission("bound", "secret")
	bound.Job.Homes = []string{"north"}
	unbound := submission("unbound", "a")
	for service.PartitionOf("bound") != service.PartitionOf(unbound.Job.ID) {
		unbound.Job.ID += "e"
	}
	assert.NilError(t, service.Accept(t.Context(), unbound))
	assert.NilError(t, service.Accept(t.Context(), bound))
	_, err := service.Results(t.Context(), unbound.Job.ID, 0, 0)
	assert.NilError(t, err)
	_, err = service.Results(t.Context(), "bound", 0, 0)
	assert.NilError(t, err)
	both := append(finished(unbound.Job.ID, 0, "open text"), finished("bound", 0, "hidden text")...)
	both[1].Homes = bound.Job.Homes
	recorded, err := service.Record(t.Context(), service.PartitionOf("bound"), both)
	assert.NilError(t, err)
	assert.Equal(t, recorded, 2)

	_, err = service.Body(t.Context(), unbound.Job.ID, "a")
	assert.NilError(t, err)
	assert.Equal(t, firstResultText(t, service, unbound.Job.ID), "open text")
	assert.Assert(t, !log.hasRead("body of secret") && !log.hasRead("hidden text"))

	body, err := service.Body(t.Context(), "bound", "secret")
	assert.NilError(t, err)
	assert.Equal(t, string(body), "body of secret")
	assert.Equal(t, firstResultText(t, service, "bound"), "hidden text")
}

// firstResultText waits for a job's first result and returns its text.
func firstResultText(t *testing.T, service *Service, job string) string {
	t.Helper()
	var text string
	testwait.Until(t, "job "+job+" has a result", func() bool {
		results, err := service.Results(t.Context(), job, 0, 0)
		if err != nil || len(results.Results) == 0 {
			return false
		}
		text = string(results.Results[0].Text)
		return true
	})
	return text
}

// Guards against a late result that is written outside the job's homes because this node has dropped the job.
func TestLateTextsOfExpiredJobStayInTopicOfItsHomes(t *testing.T) {
	log := &recordingLog{Log: memlog.New()}
	service := newService(log)
	startService(t, service)
	bound := submission("bound", "secret")
	bound.Job.Homes = []string{"north"}
	assert.NilError(t, service.Accept(t.Context(), bound))
	assert.NilError(t, service.End(t.Context(), "bound"))
	target := service.partitionOf("bound")
	testwait.Until(t, "the job is dropped", func() bool {
		target.expire(time.Now().Add(time.Hour))
		return !target.isKnown("bound")
	})
	late := finished("bound", 0, "hidden text")
	late[0].Homes = bound.Job.Homes
	_, err := service.Record(t.Context(), service.PartitionOf("bound"), late)
	assert.NilError(t, err)
	progress := ItemProgress{Homes: bound.Job.Homes, Text: []byte("hidden part")}
	progress.Record.Job, progress.Record.To = "bound", 1
	_, err = service.SaveProgress(t.Context(), service.PartitionOf("bound"), []ItemProgress{progress})
	assert.NilError(t, err)
	read, err := log.Read(t.Context(), target.dataPartition(nil), 0, readLimitBytes, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(read.Records), 0, "%q", read.Records)
}
