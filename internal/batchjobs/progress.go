package batchjobs

import (
	"bytes"
	"context"
	"maps"
	"slices"
	"sync"

	"golang.org/x/sync/errgroup"

	"github.com/corkpulley/corkpulley/internal/core/batch"
)

const (
	// maxProgressReads bounds the concurrent reads of saved partial texts.
	maxProgressReads = 8
	// maxReadGapRecords bounds the unneeded records between two parts that are still read in one call.
	maxReadGapRecords = 4
)

// SavedTexts returns the saved partial texts by item. A leader saves the new parts of all running items in one
// append, so adjacent parts are read together. On an error it also returns the texts that could be read.
func (s *Service) SavedTexts(
	ctx context.Context, job batch.JobRecord, saved map[int]batch.Progress,
) (map[int][]byte, error) {
	dataPartition := s.partitionOf(job.ID).dataPartition(job.Homes)
	var mu sync.Mutex
	records := make(map[int64][]byte)
	var group errgroup.Group
	group.SetLimit(maxProgressReads)
	for _, part := range mergeParts(progressParts(saved), maxReadGapRecords) {
		group.Go(func() error {
			read, err := s.readData(ctx, dataPartition, part.span, min(part.bytes, readLimitBytes))
			if err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			for i, record := range read {
				records[part.span.First+int64(i)] = record
			}
			return nil
		})
	}
	err := group.Wait()
	texts := make(map[int][]byte, len(saved))
	for item, progress := range saved {
		if text, complete := joinText(progress.Parts, records); complete {
			texts[item] = text
		}
	}
	return texts, err
}

// progressPart is the log span of one part of a text and its approximate size in bytes.
type progressPart struct {
	span  batch.Span
	bytes int
}

// progressParts returns the parts of all texts. Only the total size of a text is known, so its parts are
// assumed to be of equal size.
func progressParts(saved map[int]batch.Progress) []progressPart {
	var parts []progressPart
	for progress := range maps.Values(saved) {
		for _, span := range progress.Parts {
			size := progress.TextBytes/len(progress.Parts) + recordOverheadBytes*span.Count
			parts = append(parts, progressPart{span, size})
		}
	}
	return parts
}

// mergeParts sorts parts by offset and merges those with at most gap records between them.
func mergeParts(parts []progressPart, gap int64) []progressPart {
	slices.SortFunc(parts, func(a, b progressPart) int { return int(a.span.First - b.span.First) })
	var merged []progressPart
	for _, part := range parts {
		if len(merged) == 0 || part.span.First-spanEnd(merged[len(merged)-1].span) > gap {
			merged = append(merged, part)
			continue
		}
		last := &merged[len(merged)-1]
		last.span.Count = int(max(spanEnd(last.span), spanEnd(part.span)) - last.span.First)
		last.bytes += part.bytes
	}
	return merged
}

// spanEnd returns the offset after a span's last record.
func spanEnd(span batch.Span) int64 { return span.First + int64(span.Count) }

// joinText returns the parts joined by line feeds, and false if a record is missing.
func joinText(parts []batch.Span, records map[int64][]byte) ([]byte, bool) {
	texts := make([][]byte, len(parts))
	for i, part := range parts {
		for offset := part.First; offset < spanEnd(part); offset++ {
			record, found := records[offset]
			if !found {
				return nil, false
			}
			texts[i] = append(texts[i], record...)
		}
	}
	return bytes.Join(texts, []byte{'\n'}), true
}
