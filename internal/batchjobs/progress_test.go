package batchjobs

import (
	"context"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/batch"
	"github.com/corkpulley/corkpulley/internal/eventlog"
	"github.com/corkpulley/corkpulley/internal/standin/memlog"
)

// latestJobObserver stores the job of its last notification.
type latestJobObserver struct{ job *batch.Job }

func (o *latestJobObserver) JobAdded(job *batch.Job)     { o.job = job }
func (o *latestJobObserver) ResultAdded(*batch.Job, int) {}
func (o *latestJobObserver) JobEnded(*batch.Job)         {}

// jobWithProgress saves parts of many items' outputs, one append per part for all items as a leader does, and
// returns the progress that the next leader reads.
func jobWithProgress(ctx context.Context, t *testing.T, service *Service, items, parts int) map[int]batch.Progress {
	t.Helper()
	var names []string
	for item := range items {
		names = append(names, fmt.Sprint("item", item))
	}
	assert.NilError(t, service.Accept(ctx, submission("j", names...)))
	for part := range parts {
		var running []ItemProgress
		for item := range items {
			running = append(running, ItemProgress{
				Record: batch.ProgressRecord{
					Job: "j", Item: item, Chain: "c", From: int64(part), To: int64(part + 1), Versions: []int64{1},
				},
				Text: fmt.Appendf(nil, "%d-%d", item, part+1),
			})
		}
		_, err := service.SaveProgress(ctx, service.PartitionOf("j"), running)
		assert.NilError(t, err)
	}
	var observer latestJobObserver
	_, err := service.Results(ctx, "j", 0, 0)
	assert.NilError(t, err)
	service.partitionOf("j").state.Observe(&observer)
	saved := make(map[int]batch.Progress)
	for item := range items {
		progress, found := observer.job.Progress(item)
		assert.Assert(t, found)
		saved[item] = progress
	}
	return saved
}

// Guards against one read per part: forty items of five parts each need one read per append.
func TestAdjacentProgressPartsAreReadTogether(t *testing.T) {
	log := &countingLog{Log: memlog.New()}
	service := newService(log)
	saved := jobWithProgress(t.Context(), t, service, 40, 5)
	before := log.dataReads.Load()
	texts, err := service.SavedTexts(t.Context(), batch.JobRecord{ID: "j"}, saved)
	assert.NilError(t, err)
	for item := range saved {
		assert.Equal(t, string(texts[item]), fmt.Sprintf("%[1]d-1\n%[1]d-2\n%[1]d-3\n%[1]d-4\n%[1]d-5", item))
	}
	reads := log.dataReads.Load() - before
	assert.Assert(t, reads <= 5, "%d reads", reads)
}

// Guards against a failed read that discards the texts of other items.
func TestReadableProgressTextsAreReturnedOnError(t *testing.T) {
	log := memlog.New()
	service := newService(log)
	saved := jobWithProgress(t.Context(), t, service, 2, 1)
	lost := saved[1]
	lost.Parts = []batch.Span{{First: 1 << 30, Count: 1}}
	saved[1] = lost
	texts, err := service.SavedTexts(t.Context(), batch.JobRecord{ID: "j"}, saved)
	assert.ErrorContains(t, err, "no record")
	assert.Equal(t, string(texts[0]), "0-1")
	_, found := texts[1]
	assert.Assert(t, !found)
}

func TestMergePartsCoversAllParts(t *testing.T) {
	part := func(first int64, count int) progressPart {
		return progressPart{batch.Span{First: first, Count: count}, 10}
	}
	merged := mergeParts([]progressPart{part(20, 2), part(1, 3), part(6, 1), part(5, 4)}, 2)
	assert.Equal(t, len(merged), 2)
	assert.Equal(t, merged[0], progressPart{batch.Span{First: 1, Count: 8}, 30})
	assert.Equal(t, merged[1], progressPart{batch.Span{First: 20, Count: 2}, 10})
}

// Guards against reads that return many records after the needed ones.
func TestProgressTextReadBytesAreBounded(t *testing.T) {
	log := &countingLog{Log: memlog.New()}
	service := newService(log)
	saved := jobWithProgress(t.Context(), t, service, 40, 5)
	log.dataBytes.Store(0)
	_, err := service.SavedTexts(t.Context(), batch.JobRecord{ID: "j"}, saved)
	assert.NilError(t, err)
	needed := 0
	for _, progress := range saved {
		needed += progress.TextBytes + recordOverheadBytes*len(progress.Parts)
	}
	requested := int(log.dataBytes.Load())
	assert.Assert(t, requested <= 2*needed, "requested %d bytes, needed %d", requested, needed)
}

var _ eventlog.Log = (*countingLog)(nil)
