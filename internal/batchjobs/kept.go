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
	// keptReads bounds the concurrent reads of kept texts.
	keptReads = 8
	// keptGap bounds the unneeded records that are read between two needed ones to save a call.
	keptGap = 4
)

// KeptTexts returns the texts of kept progress by item. A leader writes the new parts of all
// running items in one call, so adjacent parts are read together. On an error, the texts that
// could be read are returned as well.
func (s *Service) KeptTexts(
	ctx context.Context, job batch.JobRecord, kept map[int]batch.Progress,
) (map[int][]byte, error) {
	data := s.partitionOf(job.ID).data(job.Homes)
	var mu sync.Mutex
	records := make(map[int64][]byte)
	var group errgroup.Group
	group.SetLimit(keptReads)
	for _, part := range joinParts(partsOf(kept), keptGap) {
		group.Go(func() error {
			read, err := s.readData(ctx, data, part.span, min(part.bytes, readLimit))
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
	texts := make(map[int][]byte, len(kept))
	for item, progress := range kept {
		if text, complete := textOf(progress.Parts, records); complete {
			texts[item] = text
		}
	}
	return texts, err
}

// keptPart is the span of a part of a text, with its approximate size in bytes.
type keptPart struct {
	span  batch.Span
	bytes int
}

// partsOf returns the parts of all texts. Only the size of a complete text is known, so
// its parts are assumed to be of equal size.
func partsOf(kept map[int]batch.Progress) []keptPart {
	var parts []keptPart
	for progress := range maps.Values(kept) {
		for _, span := range progress.Parts {
			size := progress.TextBytes/len(progress.Parts) + recordOverhead*span.Count
			parts = append(parts, keptPart{span, size})
		}
	}
	return parts
}

// joinParts merges parts that have at most gap records between them.
func joinParts(parts []keptPart, gap int64) []keptPart {
	slices.SortFunc(parts, func(a, b keptPart) int { return int(a.span.First - b.span.First) })
	var joined []keptPart
	for _, part := range parts {
		if len(joined) == 0 || part.span.First-endOf(joined[len(joined)-1].span) > gap {
			joined = append(joined, part)
			continue
		}
		last := &joined[len(joined)-1]
		last.span.Count = int(max(endOf(last.span), endOf(part.span)) - last.span.First)
		last.bytes += part.bytes
	}
	return joined
}

// endOf returns the offset after a span's last record.
func endOf(span batch.Span) int64 { return span.First + int64(span.Count) }

// textOf returns the text of the parts, separated by line feeds, and false if a record
// is missing.
func textOf(parts []batch.Span, records map[int64][]byte) ([]byte, bool) {
	texts := make([][]byte, len(parts))
	for i, part := range parts {
		for offset := part.First; offset < endOf(part); offset++ {
			record, found := records[offset]
			if !found {
				return nil, false
			}
			texts[i] = append(texts[i], record...)
		}
	}
	return bytes.Join(texts, []byte{'\n'}), true
}
