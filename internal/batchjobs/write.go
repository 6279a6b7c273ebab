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

// appendRetries are the delays between tries of an append.
var appendRetries = retry.Policy{First: 30 * time.Millisecond, Longest: 300 * time.Millisecond}

// appendIndex writes a record of the index. Records may be written twice: the
// first one wins, so a call without an answer is sent again.
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

// appendData writes records of the data topic. Copies that a lost answer leaves
// behind are never named.
func (s *Service) appendData(ctx context.Context, data eventlog.Partition, records [][]byte) (int64, error) {
	first, err := s.appendUntilDone(ctx, data, records)
	if err != nil {
		// No index record names these, so nothing of them will ever run.
		return 0, errkind.New(errkind.LogUnavailable, "%s", err.Error())
	}
	return first, nil
}

// appendUntilDone repeats an append until it is acknowledged or ctx ends. Its
// error says whether any of the calls may have had an effect.
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

// FinishedItem is the end of one item, to be recorded.
type FinishedItem struct {
	JobID string
	// Homes are those of the job's record, by which its texts are kept.
	Homes    []string
	Item     int
	Outcome  batch.Outcome
	Text     []byte
	Versions []int64
	// Score is what the item's scoring call brought; empty where it has none.
	Score string
}

// PartitionOf returns the number of the job's partition.
func (s *Service) PartitionOf(jobID string) int { return s.partitionOf(jobID).index.Number }

// Record writes the ends of items of one partition, in as many calls as the log's limits
// ask for: the texts first, then the record that lists them. It returns how many of
// them, from the first on, are recorded; all without an error.
func (s *Service) Record(ctx context.Context, number int, finished []FinishedItem) (int, error) {
	target := s.partitions[number]
	texts := texts[FinishedItem]{
		size: func(item FinishedItem) int { return len(item.Text) },
		data: func(item FinishedItem) eventlog.Partition { return target.data(item.Homes) },
	}
	return writeBatches(finished, texts, s.options.CallBytes, func(batch []FinishedItem) error {
		return s.recordBatch(ctx, target, batch)
	})
}

// recordBatch writes the ends of items whose texts go into one call.
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

// RunningItem is output of an item that still runs, to be kept.
type RunningItem struct {
	// Homes are those of the job's record, by which its texts are kept.
	Homes  []string
	Record batch.ProgressRecord
	Text   []byte
}

// Keep writes output of items of one partition that still run, in as many calls as the
// log's limits ask for. It returns how many of them, from the first on, are kept; all
// without an error.
func (s *Service) Keep(ctx context.Context, number int, running []RunningItem) (int, error) {
	target := s.partitions[number]
	texts := texts[RunningItem]{
		size: func(item RunningItem) int { return len(item.Text) },
		data: func(item RunningItem) eventlog.Partition { return target.data(item.Homes) },
	}
	return writeBatches(running, texts, s.options.CallBytes, func(batch []RunningItem) error {
		return s.keepBatch(ctx, target, batch)
	})
}

// keepBatch writes output of items that goes into one call.
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
