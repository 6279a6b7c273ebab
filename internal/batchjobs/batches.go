package batchjobs

import "github.com/corkpulley/corkpulley/internal/eventlog"

// maxBatchItems bounds the items that one index record lists: some 150 bytes each, within
// the least record limit that platforms were seen to have (256 KB).
const maxBatchItems = 1000

// writeBatches writes items in batches whose texts fit into one call of the log, in their
// order, until one fails. It returns how many items were written.
//
// While the log is out of reach, ends of items gather. A call with all of them may pass
// the log's limit; it would be refused however often it is repeated.
func writeBatches[Item any](
	items []Item, texts texts[Item], callBytes int, write func([]Item) error,
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

// texts tells of the texts of items.
type texts[Item any] struct {
	// size is the bytes of an item's text, data where it is written.
	size func(Item) int
	data func(Item) eventlog.Partition
}

// firstBatch returns how many of the items go into the first batch, at least one. Texts that are written
// to different places are never in one.
func firstBatch[Item any](items []Item, texts texts[Item], callBytes int) int {
	size := 0
	for i, item := range items {
		size += texts.size(item) + recordOverhead
		if i > 0 && (size > callBytes || texts.data(item) != texts.data(items[0])) || i == maxBatchItems {
			return i
		}
	}
	return len(items)
}
