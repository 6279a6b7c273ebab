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

// limitedLog rejects appends above maxAppendBytes, as the platform's log does, and all appends once appendsLeft is
// zero.
type limitedLog struct {
	*memlog.Log
	maxAppendBytes int
	appendsLeft    int
}

func (l *limitedLog) Append(
	ctx context.Context, partition eventlog.Partition, records [][]byte,
) (int64, error) {
	size := 0
	for _, record := range records {
		size += len(record) + 4
	}
	if size > l.maxAppendBytes {
		return 0, fmt.Errorf("append of %d bytes: %w", size, eventlog.ErrNotPerformed)
	}
	if l.appendsLeft == 0 {
		return 0, eventlog.ErrNotPerformed
	}
	l.appendsLeft--
	return l.Log.Append(ctx, partition, records)
}

const appendLimitBytes = 8192

// outageBacklog returns items that ended during a log outage, with ten times the bytes of one append.
func outageBacklog(t *testing.T, service *Service) ([]ItemResult, []ItemProgress) {
	t.Helper()
	var names []string
	var ended []ItemResult
	var running []ItemProgress
	for item := range 80 {
		names = append(names, fmt.Sprint("item", item))
		text := strings.Repeat(fmt.Sprintf("%02d", item), 512)
		ended = append(ended, finished("j", item, text)...)
		running = append(running, ItemProgress{
			Record: batch.ProgressRecord{Job: "j", Item: item, Chain: "c", To: 3, Versions: []int64{1}}, Text: []byte(text),
		})
	}
	assert.NilError(t, service.Accept(t.Context(), submission("j", names...)))
	return ended, running
}

// Guards against a backlog that is written in one append, which the log would reject on every retry.
func TestOutageBacklogIsWrittenInSeveralAppends(t *testing.T) {
	service := newService(&limitedLog{Log: memlog.New(), maxAppendBytes: appendLimitBytes, appendsLeft: 1000})
	ended, running := outageBacklog(t, service)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	saved, err := service.SaveProgress(ctx, service.PartitionOf("j"), running)
	assert.NilError(t, err)
	assert.Equal(t, saved, len(running))
	record(t, service, ended)
	results, err := service.Results(t.Context(), "j", 0, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(results.Results), len(ended))
	for i, result := range results.Results {
		assert.Equal(t, string(result.Text), string(ended[i].Text))
	}
}

// Guards against callers that write recorded items again after a partial failure.
func TestRecordReturnsCountWrittenBeforeFailure(t *testing.T) {
	log := &limitedLog{Log: memlog.New(), maxAppendBytes: appendLimitBytes, appendsLeft: 1000}
	service := newService(log)
	ended, _ := outageBacklog(t, service)
	// Two batches of two appends each, and the first append of the third.
	log.appendsLeft = 5
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	recorded, err := service.Record(ctx, service.PartitionOf("j"), ended)
	assert.Assert(t, err != nil)
	assert.Equal(t, recorded, 2*firstBatchLen(ended, finishedTexts, appendLimitBytes))
	log.appendsLeft = 1000
	record(t, service, ended[recorded:])
	results, err := service.Results(t.Context(), "j", 0, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(results.Results), len(ended))
}

// Guards against a batch that exceeds one append, that mixes data partitions, or that is empty.
func TestFirstBatchLenBounds(t *testing.T) {
	sizes := textAccessors[int]{
		size:          func(size int) int { return size },
		dataPartition: func(size int) eventlog.Partition { return eventlog.Partition{Number: size % 2} },
	}
	assert.Equal(t, firstBatchLen([]int{9000, 1}, sizes, appendLimitBytes), 1)
	assert.Equal(t, firstBatchLen([]int{4000, 4000, 4000}, sizes, appendLimitBytes), 2)
	assert.Equal(t, firstBatchLen(make([]int, 5000), sizes, 1<<20), maxBatchItems)
	assert.Equal(t, firstBatchLen([]int{1}, sizes, appendLimitBytes), 1)
	assert.Equal(t, firstBatchLen([]int{2, 4, 3}, sizes, appendLimitBytes), 2, "the third item belongs to another partition")
}

// finishedTexts are accessors for texts of a single partition.
var finishedTexts = textAccessors[ItemResult]{
	size:          func(item ItemResult) int { return len(item.Text) },
	dataPartition: func(ItemResult) eventlog.Partition { return eventlog.Partition{} },
}
