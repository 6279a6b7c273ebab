package batchjobs

import "github.com/corkpulley/corkpulley/internal/eventlog"

// maxBatchItems bounds the items of one index record, so that it stays within the log's record limit.
const maxBatchItems = 1000

// writeBatches writes items in order, in batches whose texts fit into one append, until a batch fails. It
// returns how many items were written. Results accumulate while the log is unavailable; a single append of
// all of them may exceed the log's limit and would be rejected on every retry.
func writeBatches[Item any](
	items []Item, texts textAccessors[Item], maxAppendBytes int, write func([]Item) error,
) (int, error) {
	written := 0
	for written < len(items) {
		count := firstBatchLen(items[written:], texts, maxAppendBytes)
		if err := write(items[written : written+count]); err != nil {
			return written, err
		}
		written += count
	}
	return written, nil
}

// textAccessors give the size and the target partition of an item's text.
type textAccessors[Item any] struct {
	// size returns the length of an item's text in bytes, dataPartition the partition that it is written to.
	size          func(Item) int
	dataPartition func(Item) eventlog.Partition
}

// firstBatchLen returns how many of the items belong to the first batch, at least one. All texts of a batch
// are written to the same partition.
func firstBatchLen[Item any](items []Item, texts textAccessors[Item], maxAppendBytes int) int {
	size := 0
	for i, item := range items {
		size += texts.size(item) + recordOverheadBytes
		if i > 0 && (size > maxAppendBytes || texts.dataPartition(item) != texts.dataPartition(items[0])) ||
			i == maxBatchItems {
			return i
		}
	}
	return len(items)
}
