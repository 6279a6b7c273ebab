package batchjobs

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/common/retry"
	"github.com/corkpulley/corkpulley/internal/core/batch"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/eventlog"
)

// appendRetries are the delays between attempts of an append.
var appendRetries = retry.Policy{First: 30 * time.Millisecond, Longest: 300 * time.Millisecond}

// appendIndex writes an index record. A record that is written twice has the effect of
// the first one, so a call without an answer is retried.
func (s *Service) appendIndex(ctx context.Context, target *partition, record batch.Record) error {
	raw, err := record.Encode()
	if err != nil {
		return err
	}
	if len(raw) > s.options.RecordBytes {
		return errkind.New(errkind.PayloadTooLarge, "an index record of %d bytes, at most %d", len(raw), s.options.RecordBytes)
	}
	_, err = s.appendUntilDone(ctx, target.index, [][]byte{raw})
	return err
}

// appendData writes records of the data topic. Copies that retries leave behind are
// never referenced.
func (s *Service) appendData(ctx context.Context, data eventlog.Partition, records [][]byte) (int64, error) {
	first, err := s.appendUntilDone(ctx, data, records)
	if err != nil {
		// No index record references these records, so they will never be executed.
		return 0, errkind.New(errkind.LogUnavailable, "%s", err.Error())
	}
	return first, nil
}

// appendUntilDone retries an append until it is acknowledged or ctx ends. The kind of its
// error says whether any attempt may have taken effect.
func (s *Service) appendUntilDone(ctx context.Context, partition eventlog.Partition, records [][]byte) (int64, error) {
	mayBeDone := false
	for delays := appendRetries.Delays(); ; {
		first, err := s.log.Append(ctx, partition, records)
		if err == nil {
			return first, nil
		}
		if !errors.Is(err, eventlog.ErrNotDone) {
			mayBeDone = true
		}
		retry.Sleep(ctx, delays.NextBackOff())
		if ctx.Err() == nil {
			continue
		}
		if mayBeDone {
			return 0, errkind.New(errkind.OutcomeUnknownRepeatable, "append to %s: %s", partition, err.Error())
		}
		return 0, errkind.New(errkind.LogUnavailable, "append to %s: %s", partition, err.Error())
	}
}

// FinishedItem is the outcome of one item, to be recorded.
type FinishedItem struct {
	JobID string
	// Homes are those of the job's record; they select the topic of its texts.
	Homes    []string
	Item     int
	Outcome  batch.Outcome
	Text     []byte
	Versions []int64
	// Score is the result of the item's scoring call; empty if it has none.
	Score string
}

// PartitionOf returns the number of the job's partition.
func (s *Service) PartitionOf(jobID string) int { return s.partitionOf(jobID).index.Number }

// Record writes outcomes of items of one partition, in as many calls as the log's limits
// require: the texts first, then the index record that references them. It returns how many of
// the items, from the first on, are recorded; without an error all are.
func (s *Service) Record(ctx context.Context, number int, finished []FinishedItem) (int, error) {
	target := s.partitions[number]
	texts := textAccess[FinishedItem]{
		size: func(item FinishedItem) int { return len(item.Text) },
		data: func(item FinishedItem) eventlog.Partition { return target.data(item.Homes) },
	}
	return writeBatches(finished, texts, s.options.CallBytes, func(batch []FinishedItem) error {
		return s.recordBatch(ctx, target, batch)
	})
}

// recordBatch writes outcomes of items whose texts fit into one call.
func (s *Service) recordBatch(ctx context.Context, target *partition, finished []FinishedItem) error {
	results := make([]batch.ResultRecord, len(finished))
	var records [][]byte
	for i, item := range finished {
		pieces := split(item.Text, s.options.RecordBytes)
		results[i] = batch.ResultRecord{
			Job: item.JobID, Item: item.Item, Outcome: item.Outcome, Versions: item.Versions,
			Text: batch.Span{First: int64(len(records)), Count: len(pieces)}, TextBytes: len(item.Text),
			Score: item.Score,
		}
		records = append(records, pieces...)
	}
	if len(records) > 0 {
		first, err := s.appendData(ctx, target.data(finished[0].Homes), records)
		if err != nil {
			return err
		}
		for i := range results {
			results[i].Text.First += first
		}
	}
	return s.appendIndex(ctx, target, batch.Record{Results: results})
}

// RunningItem is partial output of a running item, to be kept.
type RunningItem struct {
	// Homes are those of the job's record; they select the topic of its texts.
	Homes  []string
	Record batch.ProgressRecord
	Text   []byte
}

// Keep writes partial output of running items of one partition, in as many calls as the log's
// limits require. It returns how many of the items, from the first on, are kept; without an
// error all are.
func (s *Service) Keep(ctx context.Context, number int, running []RunningItem) (int, error) {
	target := s.partitions[number]
	texts := textAccess[RunningItem]{
		size: func(item RunningItem) int { return len(item.Text) },
		data: func(item RunningItem) eventlog.Partition { return target.data(item.Homes) },
	}
	return writeBatches(running, texts, s.options.CallBytes, func(batch []RunningItem) error {
		return s.keepBatch(ctx, target, batch)
	})
}

// keepBatch writes partial output that fits into one call.
func (s *Service) keepBatch(ctx context.Context, target *partition, running []RunningItem) error {
	progress := make([]batch.ProgressRecord, len(running))
	var records [][]byte
	for i, item := range running {
		pieces := split(item.Text, s.options.RecordBytes)
		progress[i] = item.Record
		progress[i].Text = batch.Span{First: int64(len(records)), Count: len(pieces)}
		progress[i].TextBytes = len(item.Text)
		records = append(records, pieces...)
	}
	if len(records) > 0 {
		first, err := s.appendData(ctx, target.data(running[0].Homes), records)
		if err != nil {
			return err
		}
		for i := range progress {
			progress[i].Text.First += first
		}
	}
	return s.appendIndex(ctx, target, batch.Record{Progress: progress})
}

// split cuts a text into pieces of at most size bytes.
func split(text []byte, size int) [][]byte {
	var pieces [][]byte
	for len(text) > size {
		pieces = append(pieces, text[:size])
		text = text[size:]
	}
	if len(text) > 0 {
		pieces = append(pieces, text)
	}
	return pieces
}
