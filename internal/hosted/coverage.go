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
	// coverageCheckPeriod is the interval at which the set of excluded services is recomputed.
	coverageCheckPeriod = 100 * time.Millisecond
	// unclaimedLeasePeriod is how long a lease must be unclaimed before nodes with a partial engine list load all
	// of it to stand for election: by then all nodes with the full list must have failed.
	unclaimedLeasePeriod = 5 * time.Second
)

// coverage tracks which part of the engine list this node follows. In a large cluster most nodes exclude engines
// that run only batch items: these are most of the list, and each node would process every change to them, with
// 1,000 nodes a thousand times as much as one. It is safe for concurrent use.
type coverage struct {
	mu sync.Mutex
	// excluded are the services that reads exclude from now on, excludedAtRead those excluded by the newest full
	// read.
	excluded       []string
	excludedAtRead []string
	isRead         bool
}

// excludedServices returns the services that reads exclude. The result must not be modified.
func (c *coverage) excludedServices() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.excluded
}

// isComplete reports whether this node holds the full engine list.
func (c *coverage) isComplete() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isRead && len(c.excludedAtRead) == 0 && len(c.excluded) == 0
}

func (c *coverage) excludes(service string) bool {
	return slices.Contains(c.excludedServices(), service)
}

// setExcluded sets the services that reads exclude from now on, and reports whether they changed.
func (c *coverage) setExcluded(excluded []string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if slices.Equal(c.excluded, excluded) {
		return false
	}
	c.excluded = excluded
	return true
}

// wasExcluded reports whether the newest full read excluded a service. Its engines may then have been listed
// before.
func (c *coverage) wasExcluded(service string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Contains(c.excludedAtRead, service)
}

// recordRead records a full read that excluded these services.
func (c *coverage) recordRead(excluded []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.excludedAtRead, c.isRead = excluded, true
}

// unneededServices returns the services whose engines this node does not need.
func (n *node) unneededServices() []string {
	table := n.state.table()
	if table == nil || n.needsFullList() {
		return nil
	}
	return table.BatchOnlyServices()
}

// needsFullList reports whether this node follows the full engine list: every node of a small cluster, and in a
// large one the replicas and the nodes that run batch items or may soon have to.
func (n *node) needsFullList() bool {
	return len(n.directory.Sources()) == 0 || n.runsItems() || n.elector.UnheldFor(unclaimedLeasePeriod)
}

// runsItems reports whether this node runs items of batch jobs.
func (n *node) runsItems() bool { return n.itemRunners.Load() > 0 }

// excludedClasses returns the record classes of a topic that this node excludes.
func (n *node) excludedClasses(topic string) []string {
	if topic != n.platform.EngineTopic() {
		return nil
	}
	return n.coverage.excludedServices()
}

// mayLead reports whether this node may stand for election. A leader needs the full engine list; reading it only
// after the election would delay the items of all jobs.
func (n *node) mayLead() bool { return n.coverage.isComplete() && n.needsFullList() }

// engineClass returns the class of an engine list entry, which is its service. An entry that cannot be decoded has
// the empty class, which no node excludes.
func (n *node) engineClass(record eventlog.KeyedRecord) string {
	engine, err := n.platform.DecodeEngine(record)
	if err != nil {
		return ""
	}
	return engine.Service
}

// followEngines follows the required part of the engine list until ctx ends.
func (n *node) followEngines(ctx context.Context) error {
	n.directory.AwaitSettled(ctx)
	// The configuration determines which engines this node needs.
	awaitWithTimeout(ctx, n.controlFollower.Loaded(), firstReadWait(n.controlFollower))
	n.coverage.setExcluded(n.unneededServices())
	var group errgroup.Group
	group.Go(func() error { return n.engineFollower.Run(ctx) })
	group.Go(func() error { return n.watchCoverage(ctx) })
	return group.Wait()
}

// watchCoverage reloads the engine list when this node needs another part of it.
func (n *node) watchCoverage(ctx context.Context) error {
	loaded := n.engineFollower.Loaded()
	for ctx.Err() == nil {
		excluded := n.coverage.excludedServices()
		select {
		case <-ctx.Done():
			return nil
		case <-loaded:
		}
		n.coverage.recordRead(excluded)
		n.logger.Info().Strs("left_out", excluded).Msg("engine list loaded")
		for retry.Sleep(ctx, coverageCheckPeriod) && !n.coverage.setExcluded(n.unneededServices()) {
			continue
		}
		loaded = n.engineFollower.Reload()
	}
	return nil
}
