package hosted

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/corkpulley/corkpulley/internal/common/retry"
	"github.com/corkpulley/corkpulley/internal/eventlog"
)

const (
	// coveragePeriod is the time between two looks at what of the engine list this node needs.
	coveragePeriod = 100 * time.Millisecond
	// configurationWait bounds how long a node that starts waits for the configuration before it follows the
	// engine list: that tells which engines it needs.
	configurationWait = 3 * time.Second
	// unheldPeriod is how long a lease must have been free before nodes of a large cluster that do not hold the
	// whole engine list get it, to stand for election themselves: all those that hold it have failed together.
	unheldPeriod = 5 * time.Second
)

// coverage is which part of the engine list this node follows. In a large cluster most nodes leave out the
// engines that only batch items run at, which are nearly all: of 10,000 entries and their changes they would
// take each one, and 1,000 nodes a thousand times as much as one.
type coverage struct {
	mu sync.Mutex
	// leftOut are the services left out by the reads from now on, loaded those left out by the last whole one.
	leftOut []string
	loaded  []string
	isRead  bool
}

// leftOutNow returns the services that reads leave out.
func (c *coverage) leftOutNow() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leftOut
}

// isWhole tells whether this node holds the whole list.
func (c *coverage) isWhole() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isRead && len(c.loaded) == 0 && len(c.leftOut) == 0
}

// leaves tells whether a service is left out.
func (c *coverage) leaves(service string) bool { return slices.Contains(c.leftOutNow(), service) }

// change sets what reads leave out from now on, and tells whether that is new.
func (c *coverage) change(leftOut []string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if slices.Equal(c.leftOut, leftOut) {
		return false
	}
	c.leftOut = leftOut
	return true
}

// wasLeftOut reports whether the newest full read excluded a service, so that its engines may have been listed before.
func (c *coverage) wasLeftOut(service string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Contains(c.loaded, service)
}

// read notes a whole read that left out these services.
func (c *coverage) read(leftOut []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loaded, c.isRead = leftOut, true
}

// unneeded returns the services whose engines this node can do without.
func (n *node) unneeded() []string {
	table := n.state.table()
	if table == nil || n.needsWholeList() {
		return nil
	}
	return table.BatchOnly()
}

// needsWholeList tells whether this node follows the whole engine list: in a small cluster each one does, in a
// large one the replicas, and whoever runs batch items or is to.
func (n *node) needsWholeList() bool {
	return len(n.directory.Sources()) == 0 || n.runsItems() || n.elector.Unheld(unheldPeriod)
}

// runsItems tells whether this node runs items of batch jobs.
func (n *node) runsItems() bool { return n.itemRunners.Load() > 0 }

// leftOutOf returns the classes of a topic's records that this node does without.
func (n *node) leftOutOf(topic string) []string {
	if topic != n.platform.EngineTopic() {
		return nil
	}
	return n.coverage.leftOutNow()
}

// mayLead tells whether this node may stand for election: a leader needs the whole engine list, and reading it
// only then would leave the items of all jobs waiting.
func (n *node) mayLead() bool { return n.coverage.isWhole() && n.needsWholeList() }

// engineClass is the class of an entry of the engine list: its service. One that cannot be read is for all.
func (n *node) engineClass(record eventlog.KeyedRecord) string {
	engine, err := n.platform.DecodeEngine(record)
	if err != nil {
		return ""
	}
	return engine.Service
}

// followEngines follows the part of the engine list that this node needs, until ctx ends.
func (n *node) followEngines(ctx context.Context) error {
	n.directory.AwaitSettled(ctx)
	n.awaitConfiguration(ctx)
	n.coverage.change(n.unneeded())
	var group errgroup.Group
	group.Go(func() error { return n.engines.Run(ctx) })
	group.Go(func() error { return n.watchCoverage(ctx) })
	return group.Wait()
}

func (n *node) awaitConfiguration(ctx context.Context) {
	timer := time.NewTimer(configurationWait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-n.control.Loaded():
	}
}

// watchCoverage has the engine list read anew when this node needs another part of it.
func (n *node) watchCoverage(ctx context.Context) error {
	loaded := n.engines.Loaded()
	for ctx.Err() == nil {
		leftOut := n.coverage.leftOutNow()
		select {
		case <-ctx.Done():
			return nil
		case <-loaded:
		}
		n.coverage.read(leftOut)
		n.logger.Info().Strs("left_out", leftOut).Msg("engine list followed")
		for retry.Sleep(ctx, coveragePeriod) && !n.coverage.change(n.unneeded()) {
			continue
		}
		loaded = n.engines.Reload()
	}
	return nil
}
