package batchjobs

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/corkpulley/corkpulley/internal/core/batch"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/eventlog"
)

// ResultText is the result of one item with its text.
type ResultText struct {
	ItemID   string
	Outcome  batch.Outcome
	Text     []byte
	Versions []int64
	// Score is the result of the item's scoring call; empty if it has none.
	Score string
}

// Results is the response to a query for results.
type Results struct {
	// Total is the number of items of the job.
	Total   int
	Results []ResultText
}

// Results returns the results from a position on, at least one if there is any. It waits up to the given time
// for all results that the submitter needs next, since a caller that receives only some of them polls again
// after a delay.
func (s *Service) Results(ctx context.Context, jobID string, from int, wait time.Duration) (Results, error) {
	target := s.partitionOf(jobID)
	job, err := target.lookUpComplete(ctx, jobID)
	if err != nil {
		return Results{}, err
	}
	if wait > 0 && !shouldAnswer(&job, from) {
		target.awaitResults(ctx, jobID, from, wait)
		if job, err = target.lookUpComplete(ctx, jobID); err != nil {
			return Results{}, err
		}
	}
	response := Results{Total: len(job.Items)}
	if from >= len(job.Results) {
		return response, nil
	}
	selected := selectResults(job.Results[from:])
	release, err := s.options.ReserveMemory(copiesPerRead * textBytes(selected))
	if err != nil {
		return Results{}, err
	}
	defer release()
	texts, err := s.readTexts(ctx, target.dataPartition(job.Homes), selected)
	if err != nil {
		return Results{}, err
	}
	for i, result := range selected {
		response.Results = append(response.Results, ResultText{
			ItemID:   job.Items[result.Item].ID,
			Outcome:  result.Outcome,
			Text:     texts[i],
			Versions: result.Versions,
			Score:    result.Score,
		})
	}
	return response, nil
}

// copiesPerRead is the number of copies of a text in memory during a read: its records and the joined text.
const copiesPerRead = 2

// textBytes returns the total size of the results' texts.
func textBytes(results []batch.Result) int {
	size := 0
	for _, result := range results {
		size += result.TextBytes
	}
	return size
}

// shouldAnswer reports whether a query for results from the given position on should be answered at once. If
// the job does not specify how many groups it needs, any new result suffices.
func shouldAnswer(job *batch.Job, from int) bool {
	switch {
	case job.Ended || len(job.Results) == len(job.Items):
		return true
	case job.Wanted <= 0:
		return len(job.Results) > from
	default:
		return job.Milestone() > from
	}
}

// selectResults returns the first results whose texts fit into maxResultBytes, at least one.
func selectResults(results []batch.Result) []batch.Result {
	size := 0
	for i, result := range results {
		size += result.TextBytes
		if i > 0 && size > maxResultBytes {
			return results[:i]
		}
	}
	return results
}

// Body returns the request body of an item.
func (s *Service) Body(ctx context.Context, jobID, itemID string) ([]byte, error) {
	target := s.partitionOf(jobID)
	job, err := target.lookUp(ctx, jobID)
	if err != nil {
		return nil, err
	}
	index, found := job.ItemIndex(itemID)
	if !found {
		return nil, errkind.New(errkind.NotFound, "batch job %s has no item %s", jobID, itemID)
	}
	release, err := s.options.ReserveMemory(s.options.MaxRecordBytes)
	if err != nil {
		return nil, err
	}
	defer release()
	payloads, err := s.readPayloads(ctx, target.dataPartition(job.Homes), []batch.Span{{First: job.PayloadOffset(index), Count: 1}}, bodyReadLimitBytes)
	if err != nil {
		return nil, err
	}
	return payloads[0].Body, nil
}

// Payloads returns the engine requests of a job's items.
func (s *Service) Payloads(ctx context.Context, job batch.JobRecord) ([]batch.Payload, error) {
	return s.readPayloads(ctx, s.partitionOf(job.ID).dataPartition(job.Homes), job.Payloads, readLimitBytes)
}

func (s *Service) readPayloads(
	ctx context.Context, dataPartition eventlog.Partition, spans []batch.Span, limit int,
) ([]batch.Payload, error) {
	var payloads []batch.Payload
	for _, span := range spans {
		records, err := s.readData(ctx, dataPartition, span, limit)
		if err != nil {
			return nil, err
		}
		for _, raw := range records {
			payload, err := batch.DecodePayload(raw)
			if err != nil {
				return nil, err
			}
			payloads = append(payloads, payload)
		}
	}
	return payloads, nil
}

// readData returns the records of a span, in reads of about limit bytes.
func (s *Service) readData(
	ctx context.Context, dataPartition eventlog.Partition, span batch.Span, limit int,
) ([][]byte, error) {
	var records [][]byte
	for next := span.First; len(records) < span.Count; {
		read, err := s.log.Read(ctx, dataPartition, next, limit, 0)
		if err != nil {
			return nil, unavailable(err)
		}
		if len(read.Records) == 0 {
			return nil, errkind.New(errkind.LogUnavailable, "%s has no record at offset %d", dataPartition, next)
		}
		wanted := min(len(read.Records), span.Count-len(records))
		records = append(records, read.Records[:wanted]...)
		next += int64(wanted)
	}
	return records, nil
}

// maxTextReads bounds the concurrent reads of a job's texts.
const maxTextReads = 8

// readTexts returns the texts of results. Texts that are adjacent in the log are read in one call; calls run
// concurrently.
func (s *Service) readTexts(
	ctx context.Context, dataPartition eventlog.Partition, results []batch.Result,
) ([][]byte, error) {
	texts := make([][]byte, len(results))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxTextReads)
	for start := 0; start < len(results); {
		end := start + 1
		span, size := results[start].Text, results[start].TextBytes
		for end < len(results) && results[end].Text.First == span.First+int64(span.Count) {
			span.Count += results[end].Text.Count
			size += results[end].TextBytes
			end++
		}
		adjacent, adjacentTexts := results[start:end], texts[start:end]
		group.Go(func() error {
			records, err := s.readData(ctx, dataPartition, span, min(size+recordOverheadBytes*span.Count, readLimitBytes))
			if err != nil {
				return err
			}
			for i := range adjacent {
				for range adjacent[i].Text.Count {
					adjacentTexts[i] = append(adjacentTexts[i], records[0]...)
					records = records[1:]
				}
			}
			return nil
		})
		start = end
	}
	return texts, group.Wait()
}
