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

// openJob is an observer that keeps the newest job.
type openJob struct{ job *batch.Job }

func (o *openJob) JobAdded(job *batch.Job)    { o.job = job }
func (o *openJob) ItemListed(*batch.Job, int) {}
func (o *openJob) JobEnded(*batch.Job)        {}

// keptJob writes parts of many items' outputs, each part of all items in one call as a leader
// does, and returns the progress that the next leader reads.
func keptJob(ctx context.Context, t *testing.T, service *Service, items, parts int) map[int]batch.Progress {
	t.Helper()
	var names []string
	for item := range items {
		names = append(names, fmt.Sprint("item", item))
	}
	assert.NilError(t, service.Accept(ctx, submission("j", names...)))
	for part := range parts {
		var running []RunningItem
		for item := range items {
			running = append(running, RunningItem{
				Record: batch.ProgressRecord{
					Job: "j", Item: item, Chain: "c", From: int64(part), To: int64(part + 1), Versions: []int64{1},
				},
				Text: fmt.Appendf(nil, "%d-%d", item, part+1),
			})
		}
		_, err := service.Keep(ctx, service.PartitionOf("j"), running)
		assert.NilError(t, err)
	}
	var observer openJob
	_, err := service.Results(ctx, "j", 0, 0)
	assert.NilError(t, err)
	service.partitionOf("j").state.Observe(&observer)
	kept := make(map[int]batch.Progress)
	for item := range items {
		progress, found := observer.job.Progress(item)
		assert.Assert(t, found)
		kept[item] = progress
	}
	return kept
}

// TestPartsThatLieTogetherAreReadTogether: forty items of five parts each take one read for
// each call that wrote them, not one for each part.
func TestPartsThatLieTogetherAreReadTogether(t *testing.T) {
	log := &countingLog{Log: memlog.New()}
	service := newService(log)
	kept := keptJob(t.Context(), t, service, 40, 5)
	before := log.dataReads.Load()
	texts, err := service.KeptTexts(t.Context(), batch.JobRecord{ID: "j"}, kept)
	assert.NilError(t, err)
	for item := range kept {
		assert.Equal(t, string(texts[item]), fmt.Sprintf("%[1]d-1\n%[1]d-2\n%[1]d-3\n%[1]d-4\n%[1]d-5", item))
	}
	reads := log.dataReads.Load() - before
	assert.Assert(t, reads <= 5, "%d reads", reads)
}

// TestTextsThatCanBeReadSurviveAFailedRead: an unreadable part affects its own items only.
func TestTextsThatCanBeReadSurviveAFailedRead(t *testing.T) {
	log := memlog.New()
	service := newService(log)
	kept := keptJob(t.Context(), t, service, 2, 1)
	lost := kept[1]
	lost.Parts = []batch.Span{{First: 1 << 30, Count: 1}}
	kept[1] = lost
	texts, err := service.KeptTexts(t.Context(), batch.JobRecord{ID: "j"}, kept)
	assert.ErrorContains(t, err, "no record")
	assert.Equal(t, string(texts[0]), "0-1")
	_, found := texts[1]
	assert.Assert(t, !found)
}

func TestJoinedPartsCoverAllOfThem(t *testing.T) {
	part := func(first int64, count int) keptPart { return keptPart{batch.Span{First: first, Count: count}, 10} }
	joined := joinParts([]keptPart{part(20, 2), part(1, 3), part(6, 1), part(5, 4)}, 2)
	assert.Equal(t, len(joined), 2)
	assert.Equal(t, joined[0], keptPart{batch.Span{First: 1, Count: 8}, 30})
	assert.Equal(t, joined[1], keptPart{batch.Span{First: 20, Count: 2}, 10})
}

// TestReadsOfKeptTextsAskForLittleMore: a read with the largest limit would also return the
// records that follow the needed ones.
func TestReadsOfKeptTextsAskForLittleMore(t *testing.T) {
	log := &countingLog{Log: memlog.New()}
	service := newService(log)
	kept := keptJob(t.Context(), t, service, 40, 5)
	log.dataBytes.Store(0)
	_, err := service.KeptTexts(t.Context(), batch.JobRecord{ID: "j"}, kept)
	assert.NilError(t, err)
	wanted := 0
	for _, progress := range kept {
		wanted += progress.TextBytes + recordOverhead*len(progress.Parts)
	}
	asked := int(log.dataBytes.Load())
	assert.Assert(t, asked <= 2*wanted, "asked for %d bytes of %d", asked, wanted)
}

var _ eventlog.Log = (*countingLog)(nil)
