package batchjobs

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/batch"
	"github.com/corkpulley/corkpulley/internal/eventlog"
	"github.com/corkpulley/corkpulley/internal/standin/memlog"
)

// slowReads is a log on which reads of the index wait while the gate is locked.
type slowReads struct {
	*memlog.Log
	gate sync.Mutex
}

func (s *slowReads) pass() {
	s.gate.Lock()
	defer s.gate.Unlock()
}

func (s *slowReads) Read(
	ctx context.Context, partition eventlog.Partition, from int64, limit int, wait time.Duration,
) (eventlog.Batch, error) {
	if partition.Topic == indexTopic {
		s.pass()
	}
	return s.Log.Read(ctx, partition, from, limit, wait)
}

// TestAPositionHoldsOneResultThoughTheLogForgot: a node that knows the job misses the record of
// its first result. It may tell nothing then, but no other result at that position.
func TestAPositionHoldsOneResultThoughTheLogForgot(t *testing.T) {
	t.Parallel()
	log := memlog.New()
	link := &slowReads{Log: log}
	writer, reader := newService(log), newService(link)
	follow(t, writer)
	follow(t, reader)
	assert.NilError(t, writer.Accept(t.Context(), submission("j1", "i1", "i2")))
	_, err := reader.Results(t.Context(), "j1", 0, 0)
	assert.NilError(t, err)
	number := writer.PartitionOf("j1")
	record := func(item int) {
		_, err := writer.Record(t.Context(), number, []FinishedItem{
			{JobID: "j1", Item: item, Outcome: batch.Completed, Text: []byte("text")},
		})
		assert.NilError(t, err)
	}
	link.gate.Lock()
	record(0)
	known, err := writer.Results(t.Context(), "j1", 0, time.Second)
	assert.NilError(t, err)
	assert.Equal(t, known.Results[0].ItemID, "i1")
	index := eventlog.Partition{Topic: indexTopic, Number: number}
	log.Trim(index, log.End(index))
	record(1)
	link.gate.Unlock()
	for began := time.Now(); time.Since(began) < 2*idleReadPeriod; time.Sleep(10 * time.Millisecond) {
		results, err := reader.Results(t.Context(), "j1", 0, 0)
		if err == nil && len(results.Results) > 0 {
			assert.Equal(t, results.Results[0].ItemID, "i1", "another result at position 0")
		}
	}
}
