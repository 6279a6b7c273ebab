package logrelay

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/eventlog"
)

const (
	// backwardStepRecords is the number of announcements read per backward step; backwardReadBytes is their
	// approximate size.
	backwardStepRecords = 128
	backwardReadBytes   = 16 << 10
	// endReadBytes is the size limit of the read that locates the end of the directory.
	endReadBytes = 1 << 10
	// newNodeDivisor sets when the bootstrap ends: once at most 1/newNodeDivisor of the announcements are of nodes
	// not seen before. Recently restarted nodes announce themselves more often than others, so a few announcements
	// of known nodes do not mean that all nodes have been seen.
	newNodeDivisor = 16
	// minRetryReadWait and maxRetryReadWait bound the wait that a retried read requests; the first attempt requests
	// none. The records already exist, so the log replies at once, and the wait only extends the read's timeout: a
	// reply that arrives after the timeout has to be read again.
	minRetryReadWait = 500 * time.Millisecond
	maxRetryReadWait = 4 * time.Second
)

// bootstrap reads the directory backwards from its end until it has an announcement of each node. Older records are
// history that grows with the log's retention; reading all of it would make a restart of all nodes expensive.
type bootstrap struct {
	done bool
	// located is true once the end is known; low is the offset of the oldest record read so far, high that of the
	// end when it was located.
	located   bool
	low, high int64
	// nodes holds the nodes whose announcements were read so far; steps has an entry for each backward step.
	nodes map[string]bool
	steps []bootstrapStep
	// readWait is the wait that the next read requests; it doubles with each failed read.
	readWait time.Duration
}

// bootstrapStep counts the announcements read in a backward step, and the nodes first seen in it.
type bootstrapStep struct{ announcements, newNodes int }

// isComplete reports whether almost no new nodes were found in the most recent steps, which together have read at
// least as many announcements as there are nodes.
func (b *bootstrap) isComplete() bool {
	announcements, newNodes := 0, 0
	for _, step := range slices.Backward(b.steps) {
		if announcements >= len(b.nodes) {
			break
		}
		announcements += step.announcements
		newNodes += step.newNodes
	}
	return announcements >= len(b.nodes) && newNodes*newNodeDivisor <= announcements
}

// readRecent continues the bootstrap until it completes or a read fails; it reports whether it completed.
func (d *Directory) readRecent(ctx context.Context) bool {
	partition := eventlog.Partition{Topic: directoryTopic}
	for !d.bootstrap.done {
		if err := d.readOlder(ctx, partition); err != nil {
			d.bootstrap.readWait = min(max(minRetryReadWait, 2*d.bootstrap.readWait), maxRetryReadWait)
			return false
		}
	}
	d.next = d.bootstrap.high
	if listed := len(d.bootstrap.nodes); listed > 0 {
		d.logger.Info().Int("listed", listed).Int("known", listed).Msg("new node addresses read from the directory")
	}
	d.bootstrap = bootstrap{done: true}
	return true
}

// readOlder locates the end of the directory, or reads the records that precede those read so far.
func (d *Directory) readOlder(ctx context.Context, partition eventlog.Partition) error {
	state := &d.bootstrap
	if !state.located {
		return d.locateEnd(ctx, partition)
	}
	from := max(0, state.low-backwardStepRecords)
	members, first, err := d.readRange(ctx, partition, from, state.low)
	if err != nil {
		return err
	}
	known := len(state.nodes)
	d.applyOlder(members)
	state.steps = append(state.steps, bootstrapStep{announcements: len(members), newNodes: len(state.nodes) - known})
	state.low = first
	d.recordRead()
	// A read that began later than requested means that the log keeps no older records.
	state.done = first > from || first == 0 || state.isComplete()
	return nil
}

// locateEnd reads a few of the oldest records, because a read also reports the partition's end.
func (d *Directory) locateEnd(ctx context.Context, partition eventlog.Partition) error {
	state := &d.bootstrap
	batch, err := d.log.Read(ctx, partition, 0, endReadBytes, state.readWait)
	var trimmed *eventlog.TrimmedError
	if errors.As(err, &trimmed) {
		batch, err = d.log.Read(ctx, partition, trimmed.First, endReadBytes, state.readWait)
	}
	if err != nil {
		return err
	}
	state.located, state.low, state.high = true, batch.End, batch.End
	state.nodes = make(map[string]bool)
	state.done = batch.End == 0
	return nil
}

// readRange returns the announcements at offsets [from, to), and the first of these offsets that the log still
// keeps.
func (d *Directory) readRange(
	ctx context.Context, partition eventlog.Partition, from, to int64,
) (members []member, first int64, err error) {
	first = from
	for next := from; next < to; {
		batch, err := d.log.Read(ctx, partition, next, backwardReadBytes, d.bootstrap.readWait)
		var trimmed *eventlog.TrimmedError
		if errors.As(err, &trimmed) && trimmed.First > next {
			next = min(trimmed.First, to)
			first, members = next, nil
			continue
		}
		if err != nil {
			return nil, 0, err
		}
		records := batch.Records[:min(len(batch.Records), int(to-next))]
		if len(records) == 0 {
			return nil, 0, errors.Errorf("read of the node directory returned no record at offset %d", next)
		}
		members = append(members, decodeMembers(records, next, d.logger)...)
		next += int64(len(records))
	}
	return members, first, nil
}

// applyOlder adds announcements, newest last, that precede all those read so far.
func (d *Directory) applyOlder(announced []member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for _, each := range slices.Backward(announced) {
		if !d.bootstrap.nodes[each.Node] {
			d.bootstrap.nodes[each.Node] = true
			d.members[each.Node], d.seenAt[each.Node] = each, now
		}
	}
}
