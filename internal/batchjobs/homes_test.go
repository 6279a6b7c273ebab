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

// listeningLog records everything that is read from it.
type listeningLog struct {
	*memlog.Log
	mu   sync.Mutex
	read []byte
}

func (l *listeningLog) Read(
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

func (l *listeningLog) heard(text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return bytes.Contains(l.read, []byte(text))
}

// TestReadsBringNoNeighboursOfOtherHomes: a read of the log returns adjacent records as well, so the bodies,
// kept texts and results of a job must not be adjacent to those of a job with other homes.
func TestReadsBringNoNeighboursOfOtherHomes(t *testing.T) {
	log := &listeningLog{Log: memlog.New()}
	service := newService(log)
	follow(t, service)
	bound := submission("bound", "secret")
	bound.Job.Homes = []string{"north"}
	free := submission("free", "a")
	for service.PartitionOf("bound") != service.PartitionOf(free.Job.ID) {
		free.Job.ID += "e"
	}
	assert.NilError(t, service.Accept(t.Context(), free))
	assert.NilError(t, service.Accept(t.Context(), bound))
	_, err := service.Results(t.Context(), free.Job.ID, 0, 0)
	assert.NilError(t, err)
	_, err = service.Results(t.Context(), "bound", 0, 0)
	assert.NilError(t, err)
	both := append(finished(free.Job.ID, 0, "open text"), finished("bound", 0, "hidden text")...)
	both[1].Homes = bound.Job.Homes
	recorded, err := service.Record(t.Context(), service.PartitionOf("bound"), both)
	assert.NilError(t, err)
	assert.Equal(t, recorded, 2)

	_, err = service.Body(t.Context(), free.Job.ID, "a")
	assert.NilError(t, err)
	assert.Equal(t, textOfFirst(t, service, free.Job.ID), "open text")
	assert.Assert(t, !log.heard("body of secret") && !log.heard("hidden text"))

	body, err := service.Body(t.Context(), "bound", "secret")
	assert.NilError(t, err)
	assert.Equal(t, string(body), "body of secret")
	assert.Equal(t, textOfFirst(t, service, "bound"), "hidden text")
}

// textOfFirst returns the text of a job's first result, once it is listed.
func textOfFirst(t *testing.T, service *Service, job string) string {
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

// TestTextsOfAForgottenJobStayInTheTopicOfItsHomes: a late result may belong to a job that this node has forgotten.
func TestTextsOfAForgottenJobStayInTheTopicOfItsHomes(t *testing.T) {
	log := &listeningLog{Log: memlog.New()}
	service := newService(log)
	follow(t, service)
	bound := submission("bound", "secret")
	bound.Job.Homes = []string{"north"}
	assert.NilError(t, service.Accept(t.Context(), bound))
	assert.NilError(t, service.End(t.Context(), "bound"))
	target := service.partitionOf("bound")
	testwait.Until(t, "the job is forgotten", func() bool {
		target.forget(time.Now().Add(time.Hour))
		return !target.isKnown("bound")
	})
	late := finished("bound", 0, "hidden text")
	late[0].Homes = bound.Job.Homes
	_, err := service.Record(t.Context(), service.PartitionOf("bound"), late)
	assert.NilError(t, err)
	kept := RunningItem{Homes: bound.Job.Homes, Text: []byte("hidden part")}
	kept.Record.Job, kept.Record.To = "bound", 1
	_, err = service.Keep(t.Context(), service.PartitionOf("bound"), []RunningItem{kept})
	assert.NilError(t, err)
	open, err := log.Read(t.Context(), target.data(nil), 0, readLimit, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(open.Records), 0, "%q", open.Records)
}
