package batchjobs

import "github.com/corkpulley/corkpulley/internal/eventlog"

// maxBatchItems bounds the items that one index record lists, so that it stays within the log's
// record limit.
const maxBatchItems = 1000

// writeBatches writes items in order, in batches whose texts fit into one call of the log, until
// a batch fails. It returns how many items were written.
//
// Results accumulate while the log is unavailable. A single call with all of them may exceed the
// log's limit and would be rejected on every retry.
func writeBatches[Item any](
	items []Item, texts textAccess[Item], callBytes int, write func([]Item) error,
) (int, error) {
	written := 0
	for written < len(items) {
		count := firstBatch(items[written:], texts, callBytes)
		if err := write(items[written : written+count]); err != nil {
			return written, err
		}
		written += count
	}
	return written, nil
}

// textAccess returns properties of the items' texts.
type textAccess[Item any] struct {
	// size returns the length of an item's text in bytes, data the partition it is written to.
	size func(Item) int
	data func(Item) eventlog.Partition
}

// firstBatch returns how many of the items go into the first batch, at least one. All texts of a batch
// are written to the same partition.
func firstBatch[Item any](items []Item, texts textAccess[Item], callBytes int) int {
	size := 0
	for i, item := range items {
		size += texts.size(item) + recordOverhead
		if i > 0 && (size > callBytes || texts.data(item) != texts.data(items[0])) || i == maxBatchItems {
			return i
		}
	}
	return len(items)
}
