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
	// keptReads is how many reads of kept texts are under way at a time.
	keptReads = 8
	// keptGap is the most records between two wanted ones that are read along with
	// them: one more read costs as much as a few texts.
	keptGap = 4
)

// KeptTexts returns the texts of kept progress by item. A leader leaves the new parts
// of all running items in one call, so parts that lie together are read together. With
// an error, texts that could be read are returned as well.
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
		if text, whole := textOf(progress.Parts, records); whole {
			texts[item] = text
		}
	}
	return texts, err
}

// keptPart is where a part of a text lies, and about how many bytes it has.
type keptPart struct {
	span  batch.Span
	bytes int
}

// partsOf returns the parts of all texts. Only the size of a whole text is known, so
// its parts are taken to be alike.
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

// joinParts returns parts that cover all of the given ones, where those with at most
// gap records between them are one.
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

// endOf is the offset behind a span's last record.
func endOf(span batch.Span) int64 { return span.First + int64(span.Count) }

// textOf returns the text of the parts, separated by line feeds; false if a record
// of them is missing.
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
