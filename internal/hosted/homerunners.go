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

// homeLeasePrefix begins the topics that hold the leases of those who run jobs that are bound to regions.
const homeLeasePrefix = "corkpulley.lease."

// homeRunners takes part in elections among the nodes of home regions: for each set of regions to which
// batch jobs are bound, the nodes that lie there elect one that runs those jobs. So no other machine
// reads what they hold.
type homeRunners struct {
	node *node
	// role is what the holder of a set's lease does.
	role func(ctx context.Context, term leadership.Term, set homes.Set)
	// changed is told of each new configuration.
	changed chan struct{}
	// begun counts the elections; Run's alone.
	begun int

	mu       sync.Mutex
	electors map[homes.Set]*leadership.Elector
	// hesitant and stopped are those of a planned stop.
	hesitant bool
	stopped  bool
}

func newHomeRunners(n *node) *homeRunners {
	return &homeRunners{
		node: n, role: n.runAtHome, changed: make(chan struct{}, 1), electors: make(map[homes.Set]*leadership.Elector),
	}
}

// TableChanged tells of a new configuration.
func (h *homeRunners) TableChanged() {
	select {
	case h.changed <- struct{}{}:
	default:
	}
}

// election is one that this node takes part in.
type election struct {
	// end leaves it; ended is closed once the role is over and the lease was given up, if it could be.
	end   func()
	ended <-chan struct{}
}

// Run takes part in the elections until ctx ends.
func (h *homeRunners) Run(ctx context.Context) error {
	var elections sync.WaitGroup
	ongoing, left := make(map[homes.Set]election), make(map[homes.Set]election)
	for ctx.Err() == nil {
		wanted := h.wanted()
		for set, each := range ongoing {
			if !wanted[set] {
				each.end()
				left[set] = each
				delete(ongoing, set)
			}
		}
		for set := range wanted {
			if _, found := ongoing[set]; !found {
				ongoing[set] = h.begin(ctx, set, left[set].ended, &elections)
				delete(left, set)
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

// wanted returns the sets of regions in whose elections this node takes part now.
func (h *homeRunners) wanted() map[homes.Set]bool {
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

// begin takes part in one election, once the one before for the same set has ended; nil for none. Each has
// a holder of its own: to the holder of a lease that could not be given up, its term would go on, and what
// two runners of one term keep can't be told apart.
func (h *homeRunners) begin(
	ctx context.Context, set homes.Set, before <-chan struct{}, elections *sync.WaitGroup,
) election {
	n := h.node
	h.begun++
	options := n.leaseOptions()
	options.Topic = homeLeasePrefix + set.ID()
	options.Holder = fmt.Sprintf("%s.%d", n.holder, h.begun)
	options.Logger = n.logger.With().Stringer("homes", set).Logger()
	elector := leadership.New(n.log, options, func(ctx context.Context, term leadership.Term) {
		h.role(ctx, term, set)
	})
	if !h.add(set, elector) {
		return election{end: func() {}, ended: before}
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
	end := func() {
		h.remove(set, elector)
		cancel()
	}
	return election{end: end, ended: ended}
}

// add notes an elector, unless the node is about to stop.
func (h *homeRunners) add(set homes.Set, elector *leadership.Elector) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped {
		return false
	}
	if h.hesitant {
		elector.Hesitate()
	}
	h.electors[set] = elector
	return true
}

// remove drops an elector, unless a newer one took its place.
func (h *homeRunners) remove(set homes.Set, elector *leadership.Elector) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.electors[set] == elector {
		delete(h.electors, set)
	}
}

// Hesitate leaves free leases to others for a moment, since the node is about to stop.
func (h *homeRunners) Hesitate() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hesitant = true
	for _, elector := range h.electors {
		elector.Hesitate()
	}
}

// Stop gives up all leases, and claims none any more.
func (h *homeRunners) Stop(ctx context.Context) {
	h.mu.Lock()
	h.stopped = true
	var stopping sync.WaitGroup
	for _, elector := range h.electors {
		stopping.Go(func() { elector.Stop(ctx) })
	}
	h.mu.Unlock()
	stopping.Wait()
}

// runAtHome runs the items of the jobs that are bound to a set of regions. Engines are shared with the
// runners of other jobs, which count only what they run themselves; an engine that is full refuses.
//
// A cold engine takes only what the leader's pacer grants, so this role asks for permits as every other
// sender does.
func (n *node) runAtHome(ctx context.Context, term leadership.Term, set homes.Set) {
	n.itemRunners.Add(1)
	defer n.itemRunners.Add(-1)
	var runner *batchrun.Runner
	permits := coldpermits.NewStock(ctx, coldpermits.StockOptions{
		Ask: n.coldPermits.Ask, Find: n.fleet.Find, Granted: func() { runner.Wake() },
	})
	runner = batchrun.New(batchrun.Options{
		Jobs: n.jobs, Engines: n.engineCalls, Fleet: n.fleet, Scorer: n, Guard: n.guard, Gate: n.gate,
		ColdStarts: permits, RouteOf: n.batchRoute,
		Within: set, HomesOf: n.jobHomes, Config: n.configVersion,
		// The leader orders the weights; an engine that changes them refuses.
		Loading: func(incarnation.ID) string { return "" }, AllLoading: func() map[incarnation.ID]string { return nil },
		Term:   fmt.Sprintf("%s.%d", set.ID(), term.Epoch),
		Logger: n.logger.With().Stringer("homes", set).Logger(),
	})
	gauge := n.metrics.runningAtHome.WithLabelValues(set.String())
	gauge.Set(1)
	defer gauge.Set(0)
	runner.Run(ctx)
}
