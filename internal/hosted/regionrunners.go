package hosted

import (
	"context"
	"fmt"
	"sync"

	"github.com/corkpulley/corkpulley/internal/batchrun"
	"github.com/corkpulley/corkpulley/internal/coldpermits"
	"github.com/corkpulley/corkpulley/internal/core/homes"
	"github.com/corkpulley/corkpulley/internal/core/incarnation"
	"github.com/corkpulley/corkpulley/internal/leadership"
)

// homeLeasePrefix is the prefix of the topics that hold the leases of region-bound job runners.
const homeLeasePrefix = "corkpulley.lease."

// regionRunners takes part in the elections among nodes of home regions: for each set of regions to which batch
// jobs are bound, the nodes in these regions elect one that runs the jobs, so that job data stays in them.
type regionRunners struct {
	node *node
	// role is run while this node holds the lease of a set.
	role func(ctx context.Context, term leadership.Term, set homes.Set)
	// changed is signalled on each new configuration.
	changed chan struct{}
	// electionCount is the number of elections joined. Only Run's goroutine uses it.
	electionCount int

	mu       sync.Mutex
	electors map[homes.Set]*leadership.Elector
	// yielding and stopped are set during a planned stop.
	yielding bool
	stopped  bool
}

func newRegionRunners(n *node) *regionRunners {
	return &regionRunners{
		node: n, role: n.runRegionBoundJobs, changed: make(chan struct{}, 1), electors: make(map[homes.Set]*leadership.Elector),
	}
}

// NotifyTableChanged signals a new configuration. It never blocks.
func (h *regionRunners) NotifyTableChanged() {
	select {
	case h.changed <- struct{}{}:
	default:
	}
}

// election is an election that this node takes part in.
type election struct {
	// leave leaves the election. ended is closed once the role has ended and a release of the lease has been tried.
	leave func()
	ended <-chan struct{}
}

// Run takes part in the elections until ctx ends.
func (h *regionRunners) Run(ctx context.Context) error {
	var elections sync.WaitGroup
	joined, leaving := make(map[homes.Set]election), make(map[homes.Set]election)
	for ctx.Err() == nil {
		wanted := h.wanted()
		for set, each := range joined {
			if !wanted[set] {
				each.leave()
				leaving[set] = each
				delete(joined, set)
			}
		}
		for set := range wanted {
			if _, found := joined[set]; !found {
				joined[set] = h.join(ctx, set, leaving[set].ended, &elections)
				delete(leaving, set)
			}
		}
		select {
		case <-ctx.Done():
		case <-h.changed:
		}
	}
	elections.Wait()
	return nil
}

// wanted returns the region sets in whose elections this node takes part under the current configuration.
func (h *regionRunners) wanted() map[homes.Set]bool {
	wanted := make(map[homes.Set]bool)
	table := h.node.state.table()
	if table == nil {
		return wanted
	}
	for _, set := range table.BatchHomes() {
		if set.Allows(h.node.config.Node.Region) {
			wanted[set] = true
		}
	}
	return wanted
}

// join joins the election for a set once the previous one for it has ended (before; nil for none). Each election
// has its own holder ID: if a lease could not be released, the same holder would continue its term, and the records
// of two runners in one term could not be told apart.
func (h *regionRunners) join(
	ctx context.Context, set homes.Set, before <-chan struct{}, elections *sync.WaitGroup,
) election {
	n := h.node
	h.electionCount++
	options := n.leaseOptions()
	options.Topic = homeLeasePrefix + set.ID()
	options.Holder = fmt.Sprintf("%s.%d", n.holder, h.electionCount)
	options.Logger = n.logger.With().Stringer("homes", set).Logger()
	elector := leadership.New(n.log, options, func(ctx context.Context, term leadership.Term) {
		h.role(ctx, term, set)
	})
	if !h.add(set, elector) {
		return election{leave: func() {}, ended: before}
	}
	electing, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	elections.Go(func() {
		defer close(ended)
		defer cancel()
		defer h.remove(set, elector)
		if before != nil {
			<-before
		}
		if err := elector.Run(electing); err != nil {
			options.Logger.Error().Err(err).Msg("election of a runner ended")
		}
		releasing, released := context.WithTimeout(ctx, releaseTimeout)
		defer released()
		elector.Stop(releasing)
	})
	leave := func() {
		h.remove(set, elector)
		cancel()
	}
	return election{leave: leave, ended: ended}
}

// add registers an elector. It returns false if the node has stopped its elections.
func (h *regionRunners) add(set homes.Set, elector *leadership.Elector) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped {
		return false
	}
	if h.yielding {
		elector.DeferClaims()
	}
	h.electors[set] = elector
	return true
}

// remove unregisters an elector unless a newer one has replaced it.
func (h *regionRunners) remove(set homes.Set, elector *leadership.Elector) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.electors[set] == elector {
		delete(h.electors, set)
	}
}

// DeferClaims makes all electors delay their claims of free leases, since the node is about to stop.
func (h *regionRunners) DeferClaims() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.yielding = true
	for _, elector := range h.electors {
		elector.DeferClaims()
	}
}

// Stop releases all leases and prevents new claims.
func (h *regionRunners) Stop(ctx context.Context) {
	h.mu.Lock()
	h.stopped = true
	var stopping sync.WaitGroup
	for _, elector := range h.electors {
		stopping.Go(func() { elector.Stop(ctx) })
	}
	h.mu.Unlock()
	stopping.Wait()
}

// runRegionBoundJobs runs the items of the jobs that are bound to a set of regions. It shares engines with other
// runners, each of which counts only its own items; an engine without a free slot refuses.
//
// A cold engine accepts only requests that the leader has admitted, so this role asks for permits like any other
// sender.
func (n *node) runRegionBoundJobs(ctx context.Context, term leadership.Term, set homes.Set) {
	n.itemRunners.Add(1)
	defer n.itemRunners.Add(-1)
	var runner *batchrun.Runner
	permits := coldpermits.NewPool(ctx, coldpermits.PoolOptions{
		Ask: n.coldPermits.Ask, Find: n.fleet.Find, Granted: func() { runner.Wake() },
	})
	runner = batchrun.New(batchrun.Options{
		Jobs: n.jobs, Engines: n.engineCalls, Fleet: n.fleet, Scorer: n, Guard: n.crashGuard, Gate: n.gate,
		ColdStarts: permits, RouteOf: n.batchRoute,
		Homes: set, HomesOf: n.jobHomes, Config: n.configVersion,
		// The leader manages weight versions; an engine that is loading one refuses items.
		Loading: func(incarnation.ID) string { return "" }, AllLoading: func() map[incarnation.ID]string { return nil },
		Term:   fmt.Sprintf("%s.%d", set.ID(), term.Epoch),
		Logger: n.logger.With().Stringer("homes", set).Logger(),
	})
	gauge := n.metrics.runningHomes.WithLabelValues(set.String())
	gauge.Set(1)
	defer gauge.Set(0)
	runner.Run(ctx)
}
