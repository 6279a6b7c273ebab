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

// openJob is an observer that keeps the newest job it heard of.
type openJob struct{ job *batch.Job }

func (o *openJob) JobAdded(job *batch.Job)    { o.job = job }
func (o *openJob) ItemListed(*batch.Job, int) {}
func (o *openJob) JobEnded(*batch.Job)        {}

// keptJob writes parts of many items' outputs in rounds, as a leader does, and returns
// what the log tells the next one of them.
func keptJob(ctx context.Context, t *testing.T, service *Service, items, rounds int) map[int]batch.Progress {
	t.Helper()
	var names []string
	for item := range items {
		names = append(names, fmt.Sprint("item", item))
	}
	assert.NilError(t, service.Accept(ctx, submission("j", names...)))
	for round := range rounds {
		var running []RunningItem
		for item := range items {
			running = append(running, RunningItem{
				Record: batch.ProgressRecord{
					Job: "j", Item: item, Chain: "c", From: int64(round), To: int64(round + 1), Versions: []int64{1},
				},
				Text: fmt.Appendf(nil, "%d-%d", item, round+1),
			})
		}
		_, err := service.Keep(ctx, service.PartitionOf("j"), running)
		assert.NilError(t, err)
	}
	var heard openJob
	_, err := service.Results(ctx, "j", 0, 0)
	assert.NilError(t, err)
	service.partitionOf("j").state.Observe(&heard)
	kept := make(map[int]batch.Progress)
	for item := range items {
		progress, found := heard.job.Progress(item)
		assert.Assert(t, found)
		kept[item] = progress
	}
	return kept
}

// TestPartsThatLieTogetherAreReadTogether: forty items of five parts each take one
// read for what was left in each round, not one for each part.
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

// TestTextsThatCanBeReadSurviveAFailedRead: one unreadable part costs its own items.
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

// TestReadsOfKeptTextsAskForLittleMore: a read that asks for as much as it may is
// answered with whatever else lies behind the wanted records.
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
