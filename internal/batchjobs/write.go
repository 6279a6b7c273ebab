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

// appendRetries is the backoff between attempts of an append.
var appendRetries = retry.Policy{First: 30 * time.Millisecond, Longest: 300 * time.Millisecond}

// appendIndex writes an index record. Index records are idempotent, so an append with an unknown outcome is
// retried.
func (s *Service) appendIndex(ctx context.Context, target *partition, record batch.Record) error {
	raw, err := record.Encode()
	if err != nil {
		return err
	}
	if len(raw) > s.options.MaxRecordBytes {
		return errkind.New(errkind.PayloadTooLarge,
			"index record of %d bytes exceeds the limit of %d bytes", len(raw), s.options.MaxRecordBytes)
	}
	_, err = s.appendWithRetries(ctx, target.index, [][]byte{raw})
	return err
}

// appendData writes records to a data partition and returns the offset of the first. Duplicates left by
// retries are never referenced.
func (s *Service) appendData(ctx context.Context, dataPartition eventlog.Partition, records [][]byte) (int64, error) {
	first, err := s.appendWithRetries(ctx, dataPartition, records)
	if err != nil {
		// No index record references these records, so they have no effect.
		return 0, errkind.New(errkind.LogUnavailable, "%s", err.Error())
	}
	return first, nil
}

// appendWithRetries retries an append until it is acknowledged or ctx ends. The kind of its error states whether
// an attempt may have taken effect.
func (s *Service) appendWithRetries(ctx context.Context, partition eventlog.Partition, records [][]byte) (int64, error) {
	mayHaveTakenEffect := false
	for delays := appendRetries.Delays(); ; {
		first, err := s.log.Append(ctx, partition, records)
		if err == nil {
			return first, nil
		}
		if !errors.Is(err, eventlog.ErrNotPerformed) {
			mayHaveTakenEffect = true
		}
		retry.Sleep(ctx, delays.NextBackOff())
		if ctx.Err() == nil {
			continue
		}
		if mayHaveTakenEffect {
			return 0, errkind.New(errkind.OutcomeUnknownRepeatable, "append to %s: %s", partition, err.Error())
		}
		return 0, errkind.New(errkind.LogUnavailable, "append to %s: %s", partition, err.Error())
	}
}

// ItemResult is the result of one item, as passed to Record.
type ItemResult struct {
	JobID string
	// Homes are the home regions from the job's record. They determine the topic of the text.
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

// Record writes results of items of one partition, in as many appends as the log's limits require: the texts
// first, then the index record that references them. It returns how many of the items, from the first on,
// were recorded; without an error these are all.
func (s *Service) Record(ctx context.Context, number int, finished []ItemResult) (int, error) {
	target := s.partitions[number]
	texts := textAccessors[ItemResult]{
		size:          func(item ItemResult) int { return len(item.Text) },
		dataPartition: func(item ItemResult) eventlog.Partition { return target.dataPartition(item.Homes) },
	}
	return writeBatches(finished, texts, s.options.MaxAppendBytes, func(batch []ItemResult) error {
		return s.recordBatch(ctx, target, batch)
	})
}

// recordBatch writes results whose texts fit into one append.
func (s *Service) recordBatch(ctx context.Context, target *partition, finished []ItemResult) error {
	results := make([]batch.ResultRecord, len(finished))
	var records [][]byte
	for i, item := range finished {
		pieces := splitText(item.Text, s.options.MaxRecordBytes)
		results[i] = batch.ResultRecord{
			Job: item.JobID, Item: item.Item, Outcome: item.Outcome, Versions: item.Versions,
			Text: batch.Span{First: int64(len(records)), Count: len(pieces)}, TextBytes: len(item.Text),
			Score: item.Score,
		}
		records = append(records, pieces...)
	}
	if len(records) > 0 {
		first, err := s.appendData(ctx, target.dataPartition(finished[0].Homes), records)
		if err != nil {
			return err
		}
		for i := range results {
			results[i].Text.First += first
		}
	}
	return s.appendIndex(ctx, target, batch.Record{Results: results})
}

// ItemProgress is new partial output of a running item, as passed to SaveProgress.
type ItemProgress struct {
	// Homes are the home regions from the job's record. They determine the topic of the text.
	Homes  []string
	Record batch.ProgressRecord
	Text   []byte
}

// SaveProgress saves partial output of running items of one partition, in as many appends as the log's limits require.
// It returns how many of the items, from the first on, were saved; without an error these are all.
func (s *Service) SaveProgress(ctx context.Context, number int, running []ItemProgress) (int, error) {
	target := s.partitions[number]
	texts := textAccessors[ItemProgress]{
		size:          func(item ItemProgress) int { return len(item.Text) },
		dataPartition: func(item ItemProgress) eventlog.Partition { return target.dataPartition(item.Homes) },
	}
	return writeBatches(running, texts, s.options.MaxAppendBytes, func(batch []ItemProgress) error {
		return s.saveProgressBatch(ctx, target, batch)
	})
}

// saveProgressBatch saves partial output whose texts fit into one append.
func (s *Service) saveProgressBatch(ctx context.Context, target *partition, running []ItemProgress) error {
	progress := make([]batch.ProgressRecord, len(running))
	var records [][]byte
	for i, item := range running {
		pieces := splitText(item.Text, s.options.MaxRecordBytes)
		progress[i] = item.Record
		progress[i].Text = batch.Span{First: int64(len(records)), Count: len(pieces)}
		progress[i].TextBytes = len(item.Text)
		records = append(records, pieces...)
	}
	if len(records) > 0 {
		first, err := s.appendData(ctx, target.dataPartition(running[0].Homes), records)
		if err != nil {
			return err
		}
		for i := range progress {
			progress[i].Text.First += first
		}
	}
	return s.appendIndex(ctx, target, batch.Record{Progress: progress})
}

// splitText splits a text into pieces of at most size bytes.
func splitText(text []byte, size int) [][]byte {
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
