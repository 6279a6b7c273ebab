package batchjobs

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/batch"
	"github.com/corkpulley/corkpulley/internal/eventlog"
	"github.com/corkpulley/corkpulley/internal/standin/memlog"
)

// boundedLog rejects appends above a number of bytes, as the platform's log does, and
// all appends after a number of calls.
type boundedLog struct {
	*memlog.Log
	callBytes int
	callsLeft int
}

func (l *boundedLog) Append(
	ctx context.Context, partition eventlog.Partition, records [][]byte,
) (int64, error) {
	size := 0
	for _, record := range records {
		size += len(record) + 4
	}
	if size > l.callBytes {
		return 0, fmt.Errorf("an append of %d bytes: %w", size, eventlog.ErrNotDone)
	}
	if l.callsLeft == 0 {
		return 0, eventlog.ErrNotDone
	}
	l.callsLeft--
	return l.Log.Append(ctx, partition, records)
}

const boundedCalls = 8192

// outageOf returns items that ended during an outage of the log: ten times the limit of a call.
func outageOf(t *testing.T, service *Service) ([]FinishedItem, []RunningItem) {
	t.Helper()
	var names []string
	var ended []FinishedItem
	var running []RunningItem
	for item := range 80 {
		names = append(names, fmt.Sprint("item", item))
		text := strings.Repeat(fmt.Sprintf("%02d", item), 512)
		ended = append(ended, finished("j", item, text)...)
		running = append(running, RunningItem{
			Record: batch.ProgressRecord{Job: "j", Item: item, Chain: "c", To: 3, Versions: []int64{1}}, Text: []byte(text),
		})
	}
	assert.NilError(t, service.Accept(t.Context(), submission("j", names...)))
	return ended, running
}

// TestWhatAnOutageLeftIsWrittenInSeveralCalls: a single call would be rejected on every retry.
func TestWhatAnOutageLeftIsWrittenInSeveralCalls(t *testing.T) {
	service := newService(&boundedLog{Log: memlog.New(), callBytes: boundedCalls, callsLeft: 1000})
	ended, running := outageOf(t, service)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	kept, err := service.Keep(ctx, service.PartitionOf("j"), running)
	assert.NilError(t, err)
	assert.Equal(t, kept, len(running))
	record(t, service, ended)
	results, err := service.Results(t.Context(), "j", 0, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(results.Results), len(ended))
	for i, result := range results.Results {
		assert.Equal(t, string(result.Text), string(ended[i].Text))
	}
}

// TestWhatWasWrittenBeforeAFailureIsTold: the caller does not write it again.
func TestWhatWasWrittenBeforeAFailureIsTold(t *testing.T) {
	log := &boundedLog{Log: memlog.New(), callBytes: boundedCalls, callsLeft: 1000}
	service := newService(log)
	ended, _ := outageOf(t, service)
	// Two batches of two calls each, and half of the third.
	log.callsLeft = 5
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	recorded, err := service.Record(ctx, service.PartitionOf("j"), ended)
	assert.Assert(t, err != nil)
	assert.Equal(t, recorded, 2*firstBatch(ended, finishedTexts, boundedCalls))
	log.callsLeft = 1000
	record(t, service, ended[recorded:])
	results, err := service.Results(t.Context(), "j", 0, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(results.Results), len(ended))
}

func TestABatchHasOneItemAtLeastAndABoundedNumber(t *testing.T) {
	sizes := textAccess[int]{
		size: func(size int) int { return size },
		data: func(size int) eventlog.Partition { return eventlog.Partition{Number: size % 2} },
	}
	assert.Equal(t, firstBatch([]int{9000, 1}, sizes, boundedCalls), 1)
	assert.Equal(t, firstBatch([]int{4000, 4000, 4000}, sizes, boundedCalls), 2)
	assert.Equal(t, firstBatch(make([]int, 5000), sizes, 1<<20), maxBatchItems)
	assert.Equal(t, firstBatch([]int{1}, sizes, boundedCalls), 1)
	assert.Equal(t, firstBatch([]int{2, 4, 3}, sizes, boundedCalls), 2, "the third is written elsewhere")
}

// finishedTexts accesses texts that all belong to one partition.
var finishedTexts = textAccess[FinishedItem]{
	size: func(item FinishedItem) int { return len(item.Text) },
	data: func(FinishedItem) eventlog.Partition { return eventlog.Partition{} },
}
