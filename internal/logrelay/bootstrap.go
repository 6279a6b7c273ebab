package logrelay

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/eventlog"
)

const (
	// recentRecords is how many announcements one step backwards covers, recentBytes about their size.
	recentRecords = 128
	recentBytes   = 16 << 10
	// endBytes bounds the read that finds the end of the directory.
	endBytes = 1 << 10
	// newShare is one in how many announcements may be of a node that later ones did not name, in as many as there are
	// nodes, once each node has been seen. Nodes that have restarted announce themselves more often than others, but
	// each of the others does so once in its period.
	newShare = 16
	// minPatience and maxPatience bound the wait of a read after an earlier one failed; the first has none. The records
	// exist, so that the wait only extends the read's timeout: an answer that arrives after it costs the log as much
	// again.
	minPatience = 500 * time.Millisecond
	maxPatience = 4 * time.Second
)

// bootstrap reads the directory from its end backwards, until it holds an announcement of each node. What lies
// before that is history, which grows with the time for which the log keeps records: a restart of all nodes at once
// would read it as many times as there are nodes.
type bootstrap struct {
	done bool
	// located is true once the end is known; low is the offset of the oldest record read since, high that of the
	// first one that is not read backwards.
	located   bool
	low, high int64
	// nodes are those who announced themselves in what was read, and steps how many announcements of new and of known
	// ones each step brought.
	nodes map[string]bool
	steps []bootstrapStep
	// patience is the wait of the next read; it doubles with each read that fails.
	patience time.Duration
}

// bootstrapStep counts what a step backwards read.
type bootstrapStep struct{ announcements, newNodes int }

// isComplete reports whether the oldest announcements read, as many as there are nodes, name about no node that later
// ones did not name.
func (b *bootstrap) isComplete() bool {
	announcements, newNodes := 0, 0
	for _, step := range slices.Backward(b.steps) {
		if announcements >= len(b.nodes) {
			break
		}
		announcements += step.announcements
		newNodes += step.newNodes
	}
	return announcements >= len(b.nodes) && newNodes*newShare <= announcements
}

// readRecent goes on with the bootstrap as far as the log answers, and reports whether that ended it.
func (d *Directory) readRecent(ctx context.Context) bool {
	partition := eventlog.Partition{Topic: directoryTopic}
	for !d.bootstrap.done {
		if err := d.stepBack(ctx, partition); err != nil {
			d.bootstrap.patience = min(max(minPatience, 2*d.bootstrap.patience), maxPatience)
			return false
		}
	}
	d.next = d.bootstrap.high
	if listed := len(d.bootstrap.nodes); listed > 0 {
		d.logger.Info().Int("listed", listed).Int("known", listed).Msg("nodes listed")
	}
	d.bootstrap = bootstrap{done: true}
	return true
}

// stepBack finds the end of the directory, or reads the records before those read so far.
func (d *Directory) stepBack(ctx context.Context, partition eventlog.Partition) error {
	state := &d.bootstrap
	if !state.located {
		return d.locateEnd(ctx, partition)
	}
	from := max(0, state.low-recentRecords)
	members, first, err := d.readRange(ctx, partition, from, state.low)
	if err != nil {
		return err
	}
	known := len(state.nodes)
	d.applyOlder(members)
	state.steps = append(state.steps, bootstrapStep{announcements: len(members), newNodes: len(state.nodes) - known})
	state.low = first
	d.recordRead()
	// The log keeps no older records if the read began later than requested.
	state.done = first > from || first == 0 || state.isComplete()
	return nil
}

// locateEnd reads a few of the oldest records, since a read also reports the partition's end.
func (d *Directory) locateEnd(ctx context.Context, partition eventlog.Partition) error {
	state := &d.bootstrap
	batch, err := d.log.Read(ctx, partition, 0, endBytes, state.patience)
	var gone *eventlog.GoneError
	if errors.As(err, &gone) {
		batch, err = d.log.Read(ctx, partition, gone.First, endBytes, state.patience)
	}
	if err != nil {
		return err
	}
	state.located, state.low, state.high = true, batch.End, batch.End
	state.nodes = make(map[string]bool)
	state.done = batch.End == 0
	return nil
}

// readRange returns the announcements at offsets [from, to), and the first offset of them that the log still keeps.
func (d *Directory) readRange(
	ctx context.Context, partition eventlog.Partition, from, to int64,
) (members []member, first int64, err error) {
	first = from
	for next := from; next < to; {
		batch, err := d.log.Read(ctx, partition, next, recentBytes, d.bootstrap.patience)
		var gone *eventlog.GoneError
		if errors.As(err, &gone) && gone.First > next {
			next = min(gone.First, to)
			first, members = next, nil
			continue
		}
		if err != nil {
			return nil, 0, err
		}
		records := batch.Records[:min(len(batch.Records), int(to-next))]
		if len(records) == 0 {
			return nil, 0, errors.Errorf("the directory has no record %d", next)
		}
		members = append(members, decodeMembers(records, next, d.logger)...)
		next += int64(len(records))
	}
	return members, first, nil
}

// applyOlder records announcements, the newest last, that lie before all that were read so far.
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
